package membership

import (
	"slices"
	"time"
)

// Change is one change of a member in this process's snapshot.
type Change struct {
	// Number is that of the snapshot that has the change, Digest its digest.
	Number uint64 `json:"number"`
	// UnixUs is the process's wall clock in microseconds: for operators, and for experiments on one machine.
	// No decision rests on it.
	UnixUs  int64  `json:"unix_us"`
	Name    string `json:"name"`
	Process string `json:"process"`
	// From is empty if the member was not known, or was another process.
	From State `json:"from,omitempty"`
	// To is empty if the member is forgotten.
	To          State  `json:"to,omitempty"`
	Incarnation uint32 `json:"incarnation"`
	Digest      string `json:"digest"`
	Draining    bool   `json:"draining,omitempty"`
	// ReportedBy is the member that reported the death, where To is Dead; empty: this process or nobody did.
	ReportedBy string `json:"by,omitempty"`
}

// maxChanges is how many changes a process keeps for GET /ops/fleet.
const maxChanges = 8192

// memberTable makes snapshots of memberlist's list. One goroutine at a time uses it.
type memberTable struct {
	cfg      *Config
	process  string
	snapshot *Snapshot
	changes  []Change
	// retired are the processes that a name had before, the latest first, at most maxRetiredPerName each.
	retired map[string][]retiredProcess
	// deathReporters are the members that last reported a member dead, by its name, until it is alive or
	// forgotten.
	deathReporters map[string]string
}

func newMemberTable(cfg *Config, process string, now time.Time) *memberTable {
	t := &memberTable{
		cfg:            cfg,
		process:        process,
		retired:        map[string][]retiredProcess{},
		deathReporters: map[string]string{},
	}
	t.snapshot = t.newSnapshot(nil, now)
	return t
}

// newSnapshot is a snapshot of the members, which it sorts; it has no number yet.
func (t *memberTable) newSnapshot(members []Member, now time.Time) *Snapshot {
	slices.SortFunc(members, compareNames)
	snapshot := &Snapshot{
		Self:       t.cfg.Name,
		Process:    t.process,
		Site:       t.cfg.Site,
		Size:       t.cfg.Size,
		Members:    members,
		settleTime: milliseconds(t.cfg.SettleMs),
		changedAt:  now,
	}
	for i := range members {
		if members[i].State.isPresent() {
			snapshot.Present++
		}
		if members[i].State == Suspect {
			snapshot.Suspects++
		}
	}
	snapshot.digest = digest(members)
	snapshot.Digest = formatDigest(snapshot.digest)
	return snapshot
}

// update takes memberlist's list and tells whether the snapshot changed.
func (t *memberTable) update(list []Member, now time.Time) bool {
	members := make([]Member, 0, len(list))
	listed := make(map[string]bool, len(list))
	var changes []Change
	for _, member := range list {
		listed[member.Name] = true
		updated, change := t.updateListed(member, now)
		members = append(members, updated)
		if change != nil {
			changes = append(changes, *change)
		}
	}
	for _, member := range t.snapshot.Members {
		if listed[member.Name] {
			continue
		}
		updated, change := t.updateUnlisted(member, now)
		if updated != nil {
			members = append(members, *updated)
		}
		if change != nil {
			changes = append(changes, *change)
		}
	}
	if len(changes) == 0 {
		return false
	}
	t.replaceSnapshot(members, now)
	t.recordChanges(changes)
	return true
}

// updateListed merges a member of memberlist's list with what is known of it; the change is nil if there is none.
func (t *memberTable) updateListed(member Member, now time.Time) (Member, *Change) {
	old, known := t.snapshot.Member(member.Name)
	sameProcess := known && old.Process == member.Process
	if known && !sameProcess {
		t.retire(member.Name, retiredProcess{old.Process, now})
	}
	member.stateSince = now
	if sameProcess {
		member.returnedAt = old.returnedAt
		if old.State == member.State {
			member.stateSince = old.stateSince
		}
	}
	if known && t.hasReturned(&old, &member, now) {
		member.returnedAt = now
	}
	if member.State == Alive {
		delete(t.deathReporters, member.Name)
	}
	unchanged := sameProcess && old.State == member.State &&
		old.Draining == member.Draining && old.Incarnation == member.Incarnation
	if unchanged {
		return member, nil
	}
	change := &Change{
		Name:        member.Name,
		Process:     member.Process,
		To:          member.State,
		Incarnation: member.Incarnation,
		Draining:    member.Draining,
	}
	if sameProcess {
		change.From = old.State
	}
	if member.State == Dead {
		change.ReportedBy = t.deathReporters[member.Name]
	}
	return member, change
}

// hasReturned tells whether a member is present again after it was dead, or after a suspicion that lasted: that,
// too, may have been a partition, with suspicions on its other side.
func (t *memberTable) hasReturned(old, member *Member, now time.Time) bool {
	if old.State == Dead {
		return member.State.isPresent()
	}
	return old.State == Suspect && member.State == Alive && now.Sub(old.stateSince) >= t.cfg.halfSuspicion()
}

// updateUnlisted decides about a member that memberlist has forgotten. A dead one stays for ReconnectForMs, so
// that reconnects can find it; one that left is forgotten too (the member is nil). The change is nil if there is
// none.
func (t *memberTable) updateUnlisted(member Member, now time.Time) (*Member, *Change) {
	change := &Change{
		Name:        member.Name,
		Process:     member.Process,
		From:        member.State,
		Incarnation: member.Incarnation,
	}
	switch {
	case member.State.isPresent():
		// It died and was forgotten between two readings of the list.
		change.To = Dead
		member.State = Dead
		member.stateSince = now
		return &member, change
	case member.State == Dead && now.Sub(member.stateSince) < milliseconds(t.cfg.ReconnectForMs):
		return &member, nil
	default:
		delete(t.deathReporters, member.Name)
		return nil, change
	}
}

// replaceSnapshot puts a snapshot of the members in the place of the current one.
func (t *memberTable) replaceSnapshot(members []Member, now time.Time) {
	next := t.newSnapshot(members, now)
	next.Number = t.snapshot.Number + 1
	next.digestSince = now
	if next.digest == t.snapshot.digest {
		next.digestSince = t.snapshot.digestSince
	}
	t.snapshot = next
}

// recordChanges keeps the changes that led to the current snapshot, and drops the oldest ones over maxChanges.
func (t *memberTable) recordChanges(changes []Change) {
	for _, change := range changes {
		change.Number = t.snapshot.Number
		change.UnixUs = t.cfg.clock().Wall().UnixMicro()
		change.Digest = t.snapshot.Digest
		t.changes = append(t.changes, change)
	}
	if excess := len(t.changes) - maxChanges; excess > 0 {
		t.changes = slices.Clone(t.changes[excess:])
	}
}

// changesSince are the kept changes after the snapshot of a number; nil if there are none.
func (t *memberTable) changesSince(number uint64) []Change {
	var changes []Change
	for _, change := range t.changes {
		if change.Number > number {
			changes = append(changes, change)
		}
	}
	return changes
}
