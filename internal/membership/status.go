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

// Traffic are counts by what they count.
type Traffic map[Counter]uint64

// Counter names one count of Traffic; the names are part of the admin endpoint's answer.
type Counter string

// The counters, all since the start.
const (
	PacketsIn       Counter = "packets_in"
	BytesIn         Counter = "bytes_in" // in packets
	PacketsOut      Counter = "packets_out"
	BytesOut        Counter = "bytes_out" // in packets
	Streams         Counter = "streams"   // opened and accepted
	StreamsOut      Counter = "streams_out"
	StreamBytesIn   Counter = "stream_bytes_in"
	StreamBytesOut  Counter = "stream_bytes_out"
	BadPackets      Counter = "bad_packets"   // dropped, as no member sends such a packet
	BadStreams      Counter = "bad_streams"   // closed, as no member sends such a message
	ForeignSite     Counter = "foreign"       // messages with the label of another site
	RejectedMembers Counter = "rejected"      // claims of members that are not admitted
	DemotedDeaths   Counter = "hearsay"       // death reports that became suspicions
	Reconnects      Counter = "reconnects"    // attempts to reach a dead member or a seed
	Exchanges       Counter = "syncs"         // exchanges of lists with members
	DeclaredDead    Counter = "declared_gone" // members whose addresses refused connections
	Stalls          Counter = "stalls"        // of this process
	DroppedLogLines Counter = "unlogged"
)

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
		Traffic:     m.counts(),
		Changes:     changes,
	}
	if list := m.list.Load(); list != nil {
		status.Member = !leaving
		status.Health = list.GetHealthScore()
	}
	return status
}

// counts are the counts of Status.Traffic.
func (m *Membership) counts() Traffic {
	return Traffic{
		PacketsIn:       m.traffic.packetsIn.Load(),
		BytesIn:         m.traffic.bytesIn.Load(),
		PacketsOut:      m.traffic.packetsOut.Load(),
		BytesOut:        m.traffic.bytesOut.Load(),
		Streams:         m.traffic.streams.Load(),
		StreamsOut:      m.traffic.streamsOut.Load(),
		StreamBytesIn:   m.traffic.streamBytesIn.Load(),
		StreamBytesOut:  m.traffic.streamBytesOut.Load(),
		BadPackets:      m.traffic.badPackets.Load(),
		BadStreams:      m.traffic.badStreams.Load(),
		ForeignSite:     m.traffic.foreignSite.Load(),
		RejectedMembers: m.traffic.rejected.Load(),
		DemotedDeaths:   m.traffic.demotedDeaths.Load(),
		Reconnects:      m.reconnects.Load(),
		Exchanges:       m.exchanges.Load(),
		DeclaredDead:    m.declaredDead.Load(),
		Stalls:          m.stalls.Load(),
		DroppedLogLines: m.log.dropped.Load(),
	}
}
