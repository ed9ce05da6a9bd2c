package membership

import (
	"slices"
	"time"
)

// Change is a change of one member in this process's snapshot.
type Change struct {
	// Number is the number of the first snapshot with this change, and Digest is its digest.
	Number uint64 `json:"number"`
	// UnixUs is this process's wall-clock time in microseconds, for operators and for experiments on one machine. No
	// decision depends on it.
	UnixUs  int64  `json:"unix_us"`
	Name    string `json:"name"`
	Process string `json:"process"`
	// From is empty if the member was unknown or had another process.
	From State `json:"from,omitempty"`
	// To is empty if the member was forgotten.
	To          State  `json:"to,omitempty"`
	Incarnation uint32 `json:"incarnation"`
	Digest      string `json:"digest"`
	Draining    bool   `json:"draining,omitempty"`
	// ReportedBy is, if To is Dead, the member whose death report this process believed. It is empty if there was no
	// such report, for example if this process itself declared the death.
	ReportedBy string `json:"by,omitempty"`
}

// maxChanges is the number of changes that a process keeps for GET /ops/fleet.
const maxChanges = 8192

// memberTable turns memberlist's list into snapshots. It is not safe for concurrent use.
type memberTable struct {
	cfg      *Config
	process  string
	snapshot *Snapshot
	changes  []Change
	// retired has the earlier processes of each name, the latest first, at most maxRetiredPerName of them.
	retired map[string][]retiredProcess
	// deathReporters has, by the name of a member that was reported dead, the name of its last reporter. An entry is kept
	// until the reported member is alive or forgotten.
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

// newSnapshot returns a snapshot of the members, without a number. It sorts the members in place.
func (t *memberTable) newSnapshot(members []Member, now time.Time) *Snapshot {
	slices.SortFunc(members, compareNames)
	snapshot := &Snapshot{
		Self:       t.cfg.Name,
		Process:    t.process,
		Site:       t.cfg.Site,
		Size:       t.cfg.fleetSize(),
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

// update applies memberlist's list and the fleet size, and reports whether the snapshot changed.
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
	if len(changes) == 0 && t.snapshot.Size == t.cfg.fleetSize() {
		return false
	}
	t.replaceSnapshot(members, now)
	t.recordChanges(changes)
	return true
}

// updateListed merges a member of memberlist's list with that of the snapshot. The returned change is nil if nothing
// changed.
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

// hasReturned reports whether a member is present again after it was dead, or alive again after a long suspicion. A
// long suspicion counts because its cause may also have been a partition, with suspicions on the other side.
func (t *memberTable) hasReturned(old, member *Member, now time.Time) bool {
	if old.State == Dead {
		return member.State.isPresent()
	}
	return old.State == Suspect && member.State == Alive && now.Sub(old.stateSince) >= t.cfg.halfSuspicion()
}

// updateUnlisted updates a member that memberlist has forgotten. A dead member is kept for ReconnectForMs, so that
// reconnects can find it. One that left is forgotten, and the returned member is nil. The returned change is nil if
// nothing changed.
func (t *memberTable) updateUnlisted(member Member, now time.Time) (*Member, *Change) {
	change := &Change{
		Name:        member.Name,
		Process:     member.Process,
		From:        member.State,
		Incarnation: member.Incarnation,
	}
	switch {
	case member.State.isPresent():
		// The member died and was forgotten between two reads of the list.
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

// replaceSnapshot replaces the current snapshot with one of the given members.
func (t *memberTable) replaceSnapshot(members []Member, now time.Time) {
	next := t.newSnapshot(members, now)
	next.Number = t.snapshot.Number + 1
	next.digestSince = now
	if next.digest == t.snapshot.digest {
		next.digestSince = t.snapshot.digestSince
	}
	t.snapshot = next
}

// recordChanges records the changes that led to the current snapshot, and drops the oldest ones beyond maxChanges.
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

// changesSince returns the recorded changes after the snapshot with the given number, or nil if there are none.
func (t *memberTable) changesSince(number uint64) []Change {
	var changes []Change
	for _, change := range t.changes {
		if change.Number > number {
			changes = append(changes, change)
		}
	}
	return changes
}
