package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of a member in a snapshot, as in SWIM (Das, Gupta and Motivala, 2002).
type State string

// The states of a member.
const (
	Alive   State = "alive"   // it responds to probes of this process or of other members
	Suspect State = "suspect" // it did not respond to a probe, but can still refute the suspicion
	Dead    State = "dead"    // it did not refute the suspicion in time, or its address refused connections
	Left    State = "left"    // it announced that it is shutting down
)

// isPresent reports whether a member in this state counts as present. A suspected member does.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// Member is one agent as this process sees it.
type Member struct {
	Name string `json:"name"`
	// Process identifies the process of the agent: 16 hexadecimal digits, generated at each start.
	Process  string `json:"process"`
	Zone     string `json:"zone,omitempty"`
	Version  string `json:"version,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	State    State  `json:"state"`
	// Incarnation is SWIM's incarnation number. It grows when the member refutes a suspicion or changes its metadata.
	Incarnation uint32 `json:"incarnation"`
	Addr        string `json:"addr"`

	// stateSince is when this process first saw the member with its current State and Process.
	stateSince time.Time
	// returnedAt is when the process was last seen again after it had been dead or suspected for long; zero if never.
	returnedAt time.Time
}

// isStable reports whether a member has been alive, without a suspicion, for the settle time.
func (m *Member) isStable(now time.Time, settleTime time.Duration) bool {
	return m.State == Alive && now.Sub(m.stateSince) >= settleTime
}

// isReturning reports whether a member returned so recently that a suspicion of the given duration, which it may have
// started on the other side of a partition, can still be running.
func (m *Member) isReturning(now time.Time, suspicion time.Duration) bool {
	return !m.returnedAt.IsZero() && now.Sub(m.returnedAt) < suspicion
}

// compareNames orders members by their names.
func compareNames(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// Snapshot is one process's view of all members at one time. It is immutable.
type Snapshot struct {
	Self    string `json:"self"`
	Process string `json:"process"`
	Site    string `json:"site"`
	// Number grows by one with each new snapshot of this process. Numbers of different processes are unrelated.
	Number uint64 `json:"number"`
	// Digest is a hash of the names and processes of the members that are alive or suspected. Two agents with equal
	// digests see the same members as present.
	Digest string `json:"digest"`
	// Size is the fleet size: the number of agents according to the service settings.
	Size int `json:"size"`
	// Present is the number of members that are alive or suspected; Suspects is the number of suspected ones.
	Present  int `json:"present"`
	Suspects int `json:"suspects"`
	// Members are ordered by name.
	Members []Member `json:"members,omitempty"`

	digest      uint64
	settleTime  time.Duration
	changedAt   time.Time
	digestSince time.Time
}

// Assessment has the conclusions that can safely be drawn from a snapshot at a given time. A member counts as certainly
// present once it has been alive, without a suspicion, for the settle time, so that members that are joining, suspected
// or flapping are not counted. An agent that is not in the snapshot may still be serving on the other side of a
// partition, so up to Size agents may be present, or more if the snapshot has more. A member that is dead in the
// snapshot may still be sending messages.
type Assessment struct {
	// AtLeast and AtMost bound the number of present agents, including this one.
	AtLeast int `json:"at_least"`
	AtMost  int `json:"at_most"`
	// Quorate is true if AtLeast is a majority of the fleet size.
	Quorate bool `json:"quorate"`
	// Settled is true if the snapshot has not changed for the settle time.
	Settled bool `json:"settled"`
}

// Assess returns the assessment of the snapshot at a time of this process's clock.
func (s *Snapshot) Assess(now time.Time) Assessment {
	assessment := Assessment{
		AtMost:  max(s.Size, s.Present),
		Settled: now.Sub(s.changedAt) >= s.settleTime,
	}
	for i := range s.Members {
		member := &s.Members[i]
		if member.Name == s.Self || member.isStable(now, s.settleTime) {
			assessment.AtLeast++
		}
	}
	assessment.Quorate = assessment.AtLeast > s.Size-assessment.AtLeast
	return assessment
}

// Member returns the member with the given name, and whether there is one.
func (s *Snapshot) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, name, func(member Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// digest returns a hash of the names and processes of the present members. The members must be ordered by name.
func digest(members []Member) uint64 {
	hash := xxhash.New()
	for i := range members {
		if members[i].State.isPresent() {
			_, _ = fmt.Fprintf(hash, "%s\x00%s\n", members[i].Name, members[i].Process) // writing to a hash never fails
		}
	}
	return hash.Sum64()
}

// formatDigest returns a digest in the form of Snapshot.Digest.
func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// DigestOf returns the digest of a snapshot with these members.
func DigestOf(members []Member) string {
	sorted := slices.SortedFunc(slices.Values(members), compareNames)
	return formatDigest(digest(sorted))
}
