// Package capacity extrapolates measurements of each role at several fleet sizes to the size that the
// system is designed for (deploy/target.toml). It reads the records of scale runs, fits each metric
// over the size, and renders the tables of docs/CAPACITY.md.
package capacity

// Run is one run of a load profile at one size by `experiment scale`. A record file has one JSON object
// per line.
//
// Hollow agents run the agent's code without client traffic, many in one process (the term is from
// Kubernetes' kubemark). Real agents are processes of bin/agent.
type Run struct {
	Plan               string  `json:"plan"`   // the plan's name
	Commit             string  `json:"commit"` // of the program measured, with "-dirty" if the tree was modified
	Profile            Profile `json:"day"`
	Repeat             int     `json:"repeat"` // from 1
	Seed               uint64  `json:"seed"`
	Size               int     `json:"size"` // agents, hollow and real together
	Hollow             int     `json:"hollow"`
	Real               int     `json:"real"`
	DiscoveryInstances int     `json:"lists"`
	ListedServers      int     `json:"listed"`  // servers in the endpoint list
	RateFactor         float64 `json:"hurry"`   // rate of changes and restarts, divided by the target's scaled to Size
	Seconds            float64 `json:"seconds"` // duration of the measurement
	Changes            int     `json:"changes"` // acknowledged within Seconds
	// Converged is set if at the end all agents had the last change and the same membership snapshot.
	Converged bool                 `json:"settled"`
	Roles     map[Role]RoleMetrics `json:"roles"`
	// InForce has, by kind of change, the time from the acknowledgement of a change until it was in
	// force at an agent.
	InForce map[ChangeKind]Latencies `json:"in_force"`
	Missing []string                 `json:"missing,omitempty"` // what could not be measured, and why
	Invalid []string                 `json:"invalid,omitempty"` // why the run does not count
}

// Role is the role of a process in a run. Records contain roles under these names.
type Role string

// The roles of a run.
const (
	RoleHollow   Role = "hollow"        // one of the agents that share processes
	RoleReal     Role = "real"          // one process of bin/agent
	RoleLeader   Role = "list leader"   // the discovery instance that is the Raft leader at the end
	RoleFollower Role = "list follower" // any other discovery instance
	RoleHost     Role = "host"          // the machine that a run was made on, with all of its processes
)

// ChangeKind is the kind of a change. Records contain the kinds under these names.
type ChangeKind string

// The kinds of changes.
const (
	ChangeSettings ChangeKind = "settings" // a change of a service's settings
	ChangeList     ChangeKind = "list"     // a change of the endpoint list
)

// RoleMetrics holds the metrics of the members of a role over the run. A metric that was not measured
// has no entry.
type RoleMetrics struct {
	Count int                   `json:"count"` // number of members
	Mean  map[MetricKey]float64 `json:"mean"`  // over the members
	Max   map[MetricKey]float64 `json:"most"`  // the largest of any member
}

// MetricKey is the key of a role's metric in records.
type MetricKey string

// The metrics of a role. Traffic is the bytes and messages of control on its sockets (membership packets
// and streams, calls to discovery, Raft), without TCP, UDP and lower-layer headers.
const (
	CPU             MetricKey = "cpu"           // fraction of one core
	ResidentMB      MetricKey = "resident_mb"   // of the process, divided by the agents in it
	HeapMB          MetricKey = "heap_mb"       // live heap after a collection, divided by the agents in the process
	AllocKBps       MetricKey = "alloc_kb_s"    // KB allocated per second
	BytesIn         MetricKey = "bytes_in_s"    // per second
	BytesOut        MetricKey = "bytes_out_s"   // per second
	MessagesIn      MetricKey = "messages_in_s" // per second
	MessagesOut     MetricKey = "messages_out_s"
	MembershipBytes MetricKey = "view_bytes_s"      // of these, membership's, in both directions
	DiscoveryBytes  MetricKey = "discovery_bytes_s" // of these, calls to discovery, in both directions
	Descriptors     MetricKey = "descriptors"       // open file descriptors
	Goroutines      MetricKey = "goroutines"
	Members         MetricKey = "members" // members in the membership snapshot
	Servers         MetricKey = "servers" // entries of the endpoint list
)

// Latencies summarizes durations in ms, from an HDR histogram.
type Latencies struct {
	Count int64   `json:"n"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"worst"`
	// NeverInForce counts the pairs of a change and an agent in which the change was not in force at the
	// agent by the deadline, although the agent ran until then.
	NeverInForce int64 `json:"absent"`
	// Histogram is an HDR histogram in µs (V2 encoding, compressed, base64).
	Histogram string `json:"histogram,omitempty"`
}
