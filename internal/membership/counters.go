package membership

import "sync/atomic"

// Traffic has the value of each counter.
type Traffic map[Counter]uint64

// Counter is the name of a counter, as it appears in the admin endpoint's response.
type Counter string

// The counters, which count from the start of the process.
const (
	PacketsIn       Counter = "packets_in"
	BytesIn         Counter = "bytes_in" // in packets
	PacketsOut      Counter = "packets_out"
	BytesOut        Counter = "bytes_out" // in packets
	Streams         Counter = "streams"   // opened and accepted
	StreamsOut      Counter = "streams_out"
	StreamBytesIn   Counter = "stream_bytes_in"
	StreamBytesOut  Counter = "stream_bytes_out"
	BadPackets      Counter = "bad_packets"   // dropped: no member sends such a packet
	BadStreams      Counter = "bad_streams"   // closed: no member sends such a message
	ForeignSite     Counter = "foreign"       // messages with the label of another site
	RejectedMembers Counter = "rejected"      // messages about members that are not admitted
	DemotedDeaths   Counter = "hearsay"       // death reports turned into suspicions
	Reconnects      Counter = "reconnects"    // attempts to reach a dead member or a seed
	Exchanges       Counter = "syncs"         // push/pulls with members
	DeclaredDead    Counter = "declared_gone" // members whose address refused connections
	Stalls          Counter = "stalls"        // of this process
	DroppedLogLines Counter = "unlogged"
)

// counters holds the counters of a running process; the Counter constants say what each one counts.
type counters struct {
	packetsIn      atomic.Uint64
	bytesIn        atomic.Uint64
	packetsOut     atomic.Uint64
	bytesOut       atomic.Uint64
	streams        atomic.Uint64
	streamsOut     atomic.Uint64
	streamBytesIn  atomic.Uint64
	streamBytesOut atomic.Uint64
	badPackets     atomic.Uint64
	badStreams     atomic.Uint64
	foreignSite    atomic.Uint64
	rejected       atomic.Uint64
	demotedDeaths  atomic.Uint64
	reconnects     atomic.Uint64
	exchanges      atomic.Uint64
	declaredDead   atomic.Uint64
	stalls         atomic.Uint64
}

// traffic returns the current values, with the given number of dropped log lines.
func (c *counters) traffic(droppedLogLines uint64) Traffic {
	return Traffic{
		PacketsIn:       c.packetsIn.Load(),
		BytesIn:         c.bytesIn.Load(),
		PacketsOut:      c.packetsOut.Load(),
		BytesOut:        c.bytesOut.Load(),
		Streams:         c.streams.Load(),
		StreamsOut:      c.streamsOut.Load(),
		StreamBytesIn:   c.streamBytesIn.Load(),
		StreamBytesOut:  c.streamBytesOut.Load(),
		BadPackets:      c.badPackets.Load(),
		BadStreams:      c.badStreams.Load(),
		ForeignSite:     c.foreignSite.Load(),
		RejectedMembers: c.rejected.Load(),
		DemotedDeaths:   c.demotedDeaths.Load(),
		Reconnects:      c.reconnects.Load(),
		Exchanges:       c.exchanges.Load(),
		DeclaredDead:    c.declaredDead.Load(),
		Stalls:          c.stalls.Load(),
		DroppedLogLines: droppedLogLines,
	}
}
