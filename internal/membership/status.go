package membership

import "time"

// Status is the answer of the admin endpoint's GET /ops/fleet.
type Status struct {
	*Snapshot
	Assessment
	// UnchangedMs is how long the snapshot has been the same.
	UnchangedMs int64 `json:"unchanged_ms"`
	// Member tells whether this process takes part; if not, another process of its agent has the address, or it
	// leaves.
	Member bool `json:"member"`
	// Health is Lifeguard's local health score: 0 is healthy; the higher it is, the slower this process suspects
	// others.
	Health int `json:"health"`
	// Traffic counts messages, bytes and events since the start.
	Traffic Traffic  `json:"traffic"`
	Changes []Change `json:"changes,omitempty"`
}

// WithoutMembers is the status without the members.
func (s Status) WithoutMembers() Status {
	brief := *s.Snapshot
	brief.Members = nil
	s.Snapshot = &brief
	return s
}

// Status is what this process knows, with the changes after the snapshot of number since.
func (m *Membership) Status(since uint64) Status {
	now := time.Now()
	m.mu.Lock()
	snapshot := m.table.snapshot
	changes := m.table.changesSince(since)
	leaving := m.leaving
	m.mu.Unlock()
	status := Status{
		Snapshot:    snapshot,
		Assessment:  snapshot.Assess(now),
		UnchangedMs: now.Sub(snapshot.changedAt).Milliseconds(),
		Traffic:     m.counters.traffic(m.log.dropped.Load()),
		Changes:     changes,
	}
	if list := m.list.Load(); list != nil {
		status.Member = !leaving
		status.Health = list.GetHealthScore()
	}
	return status
}
