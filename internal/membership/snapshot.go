package membership

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what a member is in a view, as in SWIM (Das, Gupta and Motivala, 2002).
type State string

const (
	Alive   State = "alive"   // it answers, or others say that it does
	Suspect State = "suspect" // it did not answer; it can still refute that
	Dead    State = "dead"    // it refuted nothing in time, or its address refused calls
	Left    State = "left"    // it said that it ends
)

// present tells whether a member of this state counts as there: suspicion alone takes
// nobody out.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// Member is one agent as this process sees it.
type Member struct {
	Name        string `json:"name"`
	Process     string `json:"process"` // of this start of it: 16 hexadecimal digits
	Zone        string `json:"zone,omitempty"`
	Version     string `json:"version,omitempty"`
	Draining    bool   `json:"draining,omitempty"`
	State       State  `json:"state"`
	Incarnation uint32 `json:"incarnation"` // grows when the member refutes or changes
	Addr        string `json:"addr"`

	stateSince time.Time // of State and Process, on this process's clock
	returnedAt time.Time // when this process, or its predecessor as it, came back from the dead or a long doubt; zero: never
}

// surely tells whether a member has been alive without a doubt for the settle time.
func (member *Member) isStable(now time.Time, settle time.Duration) bool {
	return member.State == Alive && now.Sub(member.stateSince) >= settle
}

// View is what one process knows of its fleet. It is never changed once it is made.
type Snapshot struct {
	Self    string `json:"self"`
	Process string `json:"process"`
	Site    string `json:"site"`
	// Number grows by one with each change of this process's view; it says nothing to
	// another process.
	Number uint64 `json:"number"`
	// Digest is a hash of the names and processes that are alive or suspected: two agents
	// that show the same see the same fleet.
	Digest string `json:"digest"`
	// Size is the number of agents that the configuration names.
	Size     int      `json:"size"`
	Present  int      `json:"present"`
	Suspects int      `json:"suspects"`          // of those that are present
	Members  []Member `json:"members,omitempty"` // by name

	digest      uint64
	settleTime  time.Duration
	changedAt   time.Time
	digestSince time.Time // since when the digest is this
}

// Conclusion is all that may be concluded from a view at a time. The rule: a member counts
// as surely there once it has been alive without a doubt for the settle time, so that what
// is just joining, doubted or flapping is not counted on; and an agent that is not seen may
// still be there, serving, on the other side of a cut, so at most all that the configuration
// names (or more, if more are seen) are there. That a member is dead in the view never
// means that it sends nothing.
type Assessment struct {
	AtLeast int  `json:"at_least"` // agents, this one included
	AtMost  int  `json:"at_most"`
	Quorate bool `json:"quorate"` // AtLeast is a majority of the size that is configured
	// Settled tells that the view has not changed for the settle time.
	Settled bool `json:"settled"`
}

// Conclude is what may be concluded from the view at a time of this process's clock.
func (snapshot *Snapshot) Assess(now time.Time) Assessment {
	c := Assessment{AtMost: max(snapshot.Size, snapshot.Present), Settled: now.Sub(snapshot.changedAt) >= snapshot.settleTime}
	for i := range snapshot.Members {
		member := &snapshot.Members[i]
		if member.Name == snapshot.Self || member.isStable(now, snapshot.settleTime) {
			c.AtLeast++
		}
	}
	c.Quorate = 2*c.AtLeast > snapshot.Size
	return c
}

// Member is a member by its name.
func (snapshot *Snapshot) Member(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(snapshot.Members, name, func(member Member, n string) int { return strings.Compare(member.Name, n) })
	if !ok {
		return Member{}, false
	}
	return snapshot.Members[i], true
}

// Change is one step of this process's view.
type Change struct {
	Number uint64 `json:"number"` // of the view that it led to
	// UnixUs is the process's wall clock in microseconds: for people and for experiments
	// on one machine; no decision rests on it.
	UnixUs      int64  `json:"unix_us"`
	Name        string `json:"name"`
	Process     string `json:"process"`
	From        State  `json:"from,omitempty"` // empty: it was not known, or another process
	To          State  `json:"to,omitempty"`   // empty: it is forgotten
	Incarnation uint32 `json:"incarnation"`
	Digest      string `json:"digest"` // of the view that it led to
	Draining    bool   `json:"draining,omitempty"`
	// By is, where To is dead, who said so; empty: this process itself, or nobody.
	ReportedBy string `json:"by,omitempty"`
}

// keptChanges is how many changes a process remembers for GET /ops/fleet.
const maxChanges = 8192

// table makes views of what memberlist's list says, one snapshot after another. One
// goroutine uses it.
type memberTable struct {
	cfg      *Config
	process  string
	snapshot *Snapshot
	changes  []Change
	// retired are the processes that a name had before, the latest first, a few each.
	retired map[string][]retiredProcess
	// accusers are who last said of a member that it is dead, until it is alive or gone.
	deathReporters map[string]string
}

func newMemberTable(cfg *Config, process string, now time.Time) *memberTable {
	t := &memberTable{cfg: cfg, process: process, retired: map[string][]retiredProcess{}, deathReporters: map[string]string{}}
	t.snapshot = t.newSnapshot(nil, now)
	return t
}

// make is a view of these members, which has no number yet.
func (t *memberTable) newSnapshot(members []Member, now time.Time) *Snapshot {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	snapshot := &Snapshot{Self: t.cfg.Name, Process: t.process, Site: t.cfg.Site, Size: t.cfg.Size,
		Members: members, settleTime: milliseconds(t.cfg.SettleMs), changedAt: now}
	for i := range members {
		if members[i].State.isPresent() {
			snapshot.Present++
		}
		if members[i].State == Suspect {
			snapshot.Suspects++
		}
	}
	snapshot.digest = digest(members)
	snapshot.Digest = fmt.Sprintf("%016x", snapshot.digest)
	return snapshot
}

// digest is a hash of the names and processes that are present, in the order of names.
func digest(members []Member) uint64 {
	h := xxhash.New()
	for i := range members {
		if members[i].State.isPresent() {
			fmt.Fprintf(h, "%s\x00%s\n", members[i].Name, members[i].Process)
		}
	}
	return h.Sum64()
}

// DigestOf is the digest of a view in which exactly these members are present.
func DigestOf(members []Member) string {
	sorted := slices.SortedFunc(slices.Values(members), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return fmt.Sprintf("%016x", digest(sorted))
}

// update takes a snapshot of memberlist's list and tells whether the view changed. Dead
// members that memberlist has forgotten stay, so that they can be sought, for
// ReconnectForMs; those that left go with it.
func (t *memberTable) update(list []Member, now time.Time) bool {
	var changes []Change
	seen := map[string]bool{}
	next := make([]Member, 0, len(list))
	for _, member := range list {
		old, known := t.snapshot.Member(member.Name)
		seen[member.Name] = true
		member.stateSince = now
		same := known && old.Process == member.Process
		if same {
			member.returnedAt = old.returnedAt
		}
		if same && old.State == member.State {
			member.stateSince = old.stateSince
		}
		// A doubt that lasted, too, may have been a cut, with doubts on its other side.
		lasted := known && old.State == Suspect && member.State == Alive && now.Sub(old.stateSince) >= milliseconds(t.cfg.SuspectTimeoutMs)/2
		if lasted || known && old.State == Dead && member.State.isPresent() {
			member.returnedAt = now
		}
		if known && !same {
			t.retire(member.Name, retiredProcess{old.Process, now})
		}
		next = append(next, member)
		if member.State == Alive {
			delete(t.deathReporters, member.Name)
		}
		if !same || old.State != member.State || old.Draining != member.Draining || old.Incarnation != member.Incarnation {
			c := Change{Name: member.Name, Process: member.Process, To: member.State, Incarnation: member.Incarnation, Draining: member.Draining}
			if same {
				c.From = old.State
			}
			if member.State == Dead {
				c.ReportedBy = t.deathReporters[member.Name]
			}
			changes = append(changes, c)
		}
	}
	for _, member := range t.snapshot.Members {
		switch {
		case seen[member.Name]:
		case member.State == Dead && now.Sub(member.stateSince) < milliseconds(t.cfg.ReconnectForMs), member.State.isPresent():
			// Present and forgotten cannot be but between two snapshots: it died.
			if member.State.isPresent() {
				changes = append(changes, Change{Name: member.Name, Process: member.Process, From: member.State, To: Dead, Incarnation: member.Incarnation})
				member.State, member.stateSince = Dead, now
			}
			next = append(next, member)
		default:
			delete(t.deathReporters, member.Name)
			changes = append(changes, Change{Name: member.Name, Process: member.Process, From: member.State, Incarnation: member.Incarnation})
		}
	}
	if len(changes) == 0 {
		return false
	}
	snapshot := t.newSnapshot(next, now)
	snapshot.Number, snapshot.digestSince = t.snapshot.Number+1, now
	if snapshot.digest == t.snapshot.digest {
		snapshot.digestSince = t.snapshot.digestSince
	}
	t.snapshot = snapshot
	for _, c := range changes {
		c.Number, c.UnixUs, c.Digest = snapshot.Number, t.cfg.clock().Wall().UnixMicro(), snapshot.Digest
		t.changes = append(t.changes, c)
	}
	if over := len(t.changes) - maxChanges; over > 0 {
		t.changes = slices.Clone(t.changes[over:])
	}
	return true
}

// meta is what a member tells of itself, at most 512 bytes as JSON.
type meta struct {
	Process  string `json:"p"`
	Zone     string `json:"z,omitempty"`
	Version  string `json:"v,omitempty"`
	Draining bool   `json:"d,omitempty"`
}

func (parsed meta) bytes() []byte {
	b, _ := json.Marshal(parsed) // strings and a bool cannot fail
	return b
}

// parseMeta reads what a member told of itself; what no member of ours says is an error.
func parseMeta(b []byte) (parsed meta, err error) {
	if err := json.Unmarshal(b, &parsed); err != nil {
		return parsed, fmt.Errorf("meta: %w", err)
	}
	if len(parsed.Process) != 16 || len(parsed.Zone) > 64 || len(parsed.Version) > 64 {
		return parsed, fmt.Errorf("meta: process, zone or version of a length that none has")
	}
	return parsed, nil
}

// metaCache keeps what members told of themselves, read: the same bytes come again with
// each word about them.
type metaCache struct {
	mu     sync.Mutex
	parsed map[string]meta
}

// maxMetas bounds the cache; past it, it begins anew.
const maxCachedMetas = 4096

func (c *metaCache) parse(b []byte) (meta, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if parsed, ok := c.parsed[string(b)]; ok {
		return parsed, nil
	}
	parsed, err := parseMeta(b)
	if err != nil {
		return parsed, err
	}
	if c.parsed == nil || len(c.parsed) >= maxCachedMetas {
		c.parsed = map[string]meta{}
	}
	c.parsed[string(b)] = parsed
	return parsed, nil
}
