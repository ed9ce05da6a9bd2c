// Package endpoint defines the interface between the discovery service and its clients: the messages of
// the discovery protocol (PROTOCOL-fernbeam.md, "Discovery"), the URL paths of the service, and the
// query parameters. The messages are the response to GET /api/targets and a server's entry in it.
package endpoint

import "encoding/json"

// State is the state of a server in the endpoint list.
type State string

// The values of State.
const (
	// StateUp is the state of a server that takes requests.
	StateUp State = "up"
	// StateDraining is the state of a server that takes no new requests.
	StateDraining State = "draining"
	// StateRemoved marks the removal of a server from the list. It appears only in a List that is
	// not Full.
	StateRemoved State = "removed"
)

// List is the discovery service's response to a poll or a watch: the full endpoint list (Full), or
// the entries that have changed since the version given by the watch. Version never decreases.
type List struct {
	Version uint64     `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
	// Settings are the settings of the service given in the request, if they are newer than those
	// that the agent has in force or has rejected; nil otherwise, or if no service is given.
	Settings *Settings `json:"settings,omitempty"`
}

// Settings are the complete settings for the agents of a service, in the format of the agent's
// configuration, but without index and zone, which are set per agent.
type Settings struct {
	Service string          `json:"service"`
	Version uint64          `json:"version"` // of the write, in the same sequence as List.Version
	Value   json.RawMessage `json:"value"`
}

// Query parameters of ListPath.
const (
	// QueryIndex is the list version since which a watch requests changes; absent: a poll of the full list.
	QueryIndex = "index"
	// QueryWait is how long a watch waits for a change, in milliseconds.
	QueryWait = "wait"
)

// Query parameters of the other paths.
const (
	// QueryConsistent, if "true", requests the leader's status after it has applied all committed writes.
	QueryConsistent = "consistent"
	// QueryVerified, if "true", requests the leader's status after a round of heartbeats, which shows that it still is
	// the leader.
	QueryVerified = "verified"
	// QueryVersion requests a stored version of a service's settings; absent: the newest.
	QueryVersion = "version"
)

// Query parameters with which a watch requests settings and reports the state of its agent's
// settings. Without QueryService the discovery service ignores the others.
const (
	// QueryService names the service whose settings are requested.
	QueryService = "service"
	// QueryAgent is the agent's name.
	QueryAgent = "agent"
	// QueryInForce is the version in force; 0 or absent: the settings in the agent's configuration file.
	QueryInForce = "in_force"
	// QueryRejected is the last version that the agent rejected, if it is newer than QueryInForce.
	QueryRejected = "refused"
	// QueryReason is the reason for the rejection, on one line of at most 200 bytes.
	QueryReason = "why"
)

// Endpoint is the entry of one server in the endpoint list.
type Endpoint struct {
	ID   string `json:"id"`
	Addr string `json:"addr"` // host:port
	Zone string `json:"zone"`
	// Region is optional. Agents of versions without this field ignore it.
	Region string `json:"region,omitempty"`
	Kind   string `json:"kind"` // machine kind
	Cell   int    `json:"cell"`
	State  State  `json:"state"`
	// Weight is the server's capacity relative to the other servers in the list.
	Weight float64 `json:"weight"`
	// StartedMs is the Unix time of the server's last start in milliseconds; 0: not recent.
	StartedMs float64 `json:"started_ms"`
}
