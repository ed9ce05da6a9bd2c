package membership

import "time"

// Status is the response of the admin endpoint to GET /ops/fleet.
type Status struct {
	*Snapshot
	Assessment
	// UnchangedMs is the time since the snapshot last changed.
	UnchangedMs int64 `json:"unchanged_ms"`
	// Member is true if this process participates. Otherwise another process of its agent has the address, or this
	// process is leaving.
	Member bool `json:"member"`
	// Health is Lifeguard's local health score. 0 is healthy; a process with a higher score is slower to suspect others.
	Health int `json:"health"`
	// Traffic counts messages, bytes and events since the start.
	Traffic Traffic  `json:"traffic"`
	Changes []Change `json:"changes,omitempty"`
}

// WithoutMembers returns a copy of the status without the list of members.
func (s Status) WithoutMembers() Status {
	brief := *s.Snapshot
	brief.Members = nil
	s.Snapshot = &brief
	return s
}

// Status returns the current status, with the changes after the snapshot with number since.
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
