// Package capacity holds what was measured of each role at several sizes to the size that the
// operators told (deploy/target.toml): records, fits and the tables of docs/CAPACITY.md.
package capacity

// Run is one day played at one size by `experiment scale`; a record file has one JSON object a line.
type Run struct {
	Plan               string  `json:"plan"`   // the plan's name
	Commit             string  `json:"commit"` // of the program that was measured, "-dirty" after it where the tree was changed
	Day                string  `json:"day"`    // quiet, ordinary, rollout, zone, region, control
	Repeat             int     `json:"repeat"` // from 1
	Seed               uint64  `json:"seed"`
	Size               int     `json:"size"`    // agents, hollow and real together
	Hollow             int     `json:"hollow"`  // agents without client traffic, many in one process
	Real               int     `json:"real"`    // processes of bin/agent
	DiscoveryInstances int     `json:"lists"`   // instances of the list service
	ListedServers      int     `json:"listed"`  // servers on the list
	RateFactor         float64 `json:"hurry"`   // rates of changes and restarts over the target's, scaled to Size
	Seconds            float64 `json:"seconds"` // measured
	Changes            int     `json:"changes"` // acknowledged within them
	// Settled tells that all agents had the last change, and one fleet view, at the end.
	Converged bool                   `json:"settled"`
	Roles     map[string]RoleMetrics `json:"roles"`    // by Hollow, Real, Leader, Follower, Host
	InForce   map[string]Latencies   `json:"in_force"` // by kind of change ("list", "settings"): from acknowledged to in force at an agent
	// Missing says what this run could not measure, and why; Invalid why it does not count.
	Missing []string `json:"missing,omitempty"`
	Invalid []string `json:"invalid,omitempty"`
}

// The roles of a run.
const (
	RoleHollow   = "hollow"        // one agent of those that share processes
	RoleReal     = "real"          // one process of bin/agent
	RoleLeader   = "list leader"   // the instance of the list service that leads at the end
	RoleFollower = "list follower" // each other instance
)

// Role is what one member of a role took over the run: the mean over its members of each figure,
// by the names below; what was not measured has no entry.
type RoleMetrics struct {
	Count int                `json:"count"`
	Mean  map[string]float64 `json:"mean"`
	Max   map[string]float64 `json:"most"` // the member with the most of each
}

// The figures of a role. Traffic counts bytes and messages of control on its sockets (the fleet
// view's packets and streams, calls to discovery, Raft), without headers below TCP and UDP.
const (
	CPU         = "cpu"           // share of one core
	ResidentMB  = "resident_mb"   // of the process, over the agents in it
	HeapMB      = "heap_mb"       // live after a collection, over the agents in it
	AllocKBps   = "alloc_kb_s"    // allocated
	BytesIn     = "bytes_in_s"    // a second
	BytesOut    = "bytes_out_s"   // a second
	MessagesIn  = "messages_in_s" // a second
	MessagesOut = "messages_out_s"
	ViewBytes   = "view_bytes_s"      // of these, the fleet view's, both ways
	ListBytes   = "discovery_bytes_s" // of these, calls to discovery, both ways
	Descriptors = "descriptors"
	Goroutines  = "goroutines"
	Members     = "members" // entries of the fleet view
	Servers     = "servers" // entries of the list
)

// Times are durations in ms, as an HDR histogram gives them.
type Latencies struct {
	Count int64   `json:"n"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"worst"`
	// Absent counts the pairs of change and agent for which it never was: the agent was there
	// for the whole time allowed and did not have the change in force.
	NeverInForce int64 `json:"absent"`
	// Histogram is the whole of it, encoded by hdrhistogram (V2, compressed, base64), of µs.
	Histogram string `json:"histogram,omitempty"`
}
