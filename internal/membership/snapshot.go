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
	Alive   State = "alive"   // it answers, or other members say that it does
	Suspect State = "suspect" // it did not answer; it can still refute the suspicion
	Dead    State = "dead"    // it refuted nothing in time, or its address refused connections
	Left    State = "left"    // it announced that it ends
)

// isPresent tells whether a member in this state counts as present: a suspicion alone removes nobody.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// Member is one agent as this process sees it.
type Member struct {
	Name string `json:"name"`
	// Process identifies the run of the agent: 16 hexadecimal digits, drawn at each start.
	Process  string `json:"process"`
	Zone     string `json:"zone,omitempty"`
	Version  string `json:"version,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	State    State  `json:"state"`
	// Incarnation is SWIM's number: it grows when the member refutes a suspicion or changes its metadata.
	Incarnation uint32 `json:"incarnation"`
	Addr        string `json:"addr"`

	// stateSince is when this process first saw the member with this State and Process.
	stateSince time.Time
	// returnedAt is when the process last became alive again after it had been dead, or suspected for long;
	// zero: never.
	returnedAt time.Time
}

// isStable tells whether a member has been alive, without a suspicion, for the settle time.
func (m *Member) isStable(now time.Time, settleTime time.Duration) bool {
	return m.State == Alive && now.Sub(m.stateSince) >= settleTime
}

// isReturning tells whether a member returned so lately that a suspicion of the given length, which it may
// have begun on the other side of a partition, can still run.
func (m *Member) isReturning(now time.Time, suspicion time.Duration) bool {
	return !m.returnedAt.IsZero() && now.Sub(m.returnedAt) < suspicion
}

// compareNames orders members by their names.
func compareNames(a, b Member) int { return strings.Compare(a.Name, b.Name) }

// Snapshot is what one process knows of all members at a time. It is immutable.
type Snapshot struct {
	Self    string `json:"self"`
	Process string `json:"process"`
	Site    string `json:"site"`
	// Number grows by one with each change of this process's snapshot; it has no meaning for another process.
	Number uint64 `json:"number"`
	// Digest is a hash of the names and processes that are alive or suspected: two agents with equal digests
	// see the same members.
	Digest string `json:"digest"`
	// Size is the number of agents that the configuration names.
	Size int `json:"size"`
	// Present is the number of members that are alive or suspected, Suspects that of the suspected ones.
	Present  int `json:"present"`
	Suspects int `json:"suspects"`
	// Members are ordered by name.
	Members []Member `json:"members,omitempty"`

	digest      uint64
	settleTime  time.Duration
	changedAt   time.Time
	digestSince time.Time
}

// Assessment is all that may be concluded from a snapshot at a time. A member counts as certainly present once
// it has been alive, without a suspicion, for the settle time, so that a member that is joining, suspected or
// flapping is not counted. An agent that is not seen may still serve on the other side of a partition, so up
// to as many agents as the configuration names (or more, if more are seen) may be present. A member that is
// dead in the snapshot may still send.
type Assessment struct {
	// AtLeast and AtMost bound the number of agents that are present, this one included.
	AtLeast int `json:"at_least"`
	AtMost  int `json:"at_most"`
	// Quorate tells that AtLeast is a majority of the configured size.
	Quorate bool `json:"quorate"`
	// Settled tells that the snapshot has not changed for the settle time.
	Settled bool `json:"settled"`
}

// Assess tells what may be concluded from the snapshot at a time of this process's clock.
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

// Member returns the member with a name, and whether there is one.
func (s *Snapshot) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(s.Members, name, func(member Member, name string) int {
		return strings.Compare(member.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return s.Members[i], true
}

// digest hashes the names and processes of the present members, which are ordered by name.
func digest(members []Member) uint64 {
	hash := xxhash.New()
	for i := range members {
		if members[i].State.isPresent() {
			_, _ = fmt.Fprintf(hash, "%s\x00%s\n", members[i].Name, members[i].Process) // a hash takes every write
		}
	}
	return hash.Sum64()
}

// formatDigest is the digest as Snapshot.Digest shows it.
func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }

// DigestOf is the digest of a snapshot in which exactly these members are present.
func DigestOf(members []Member) string {
	sorted := slices.SortedFunc(slices.Values(members), compareNames)
	return formatDigest(digest(sorted))
}
