// Package endpoint defines what the discovery service and its clients agree on: the messages of the
// discovery protocol (PROTOCOL-fernbeam.md, "Discovery"), which are the answer to GET /api/targets
// and a server's entry in it, the paths of the service, and the query parameters.
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
	// StateRemoved marks the change by which a server was removed from the list. It appears only
	// in a List that is not Full.
	StateRemoved State = "removed"
)

// List is discovery's answer to a poll or a watch: the full endpoint list (Full), or the entries
// that have changed since the version that the watch named. Version never decreases.
type List struct {
	Version uint64     `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
	// Settings are those of the service that the request named, if they are newer than the ones
	// that the agent has in force or has rejected. Otherwise, or if it named none, nil.
	Settings *Settings `json:"settings,omitempty"`
}

// Settings are all settings of a service's agents, in the form of the agent's configuration without
// index and zone, which each agent has of its own.
type Settings struct {
	Service string          `json:"service"`
	Version uint64          `json:"version"` // of the write, in the same sequence as a List's
	Value   json.RawMessage `json:"value"`
}

// Query parameters of ListPath.
const (
	// QueryIndex is the list version from which on a watch wants changes; absent: a poll of the full list.
	QueryIndex = "index"
	// QueryWait is how long a watch waits for a change, in milliseconds.
	QueryWait = "wait"
)

// Query parameters of the other paths.
const (
	// QueryConsistent requests the leader's status after all that was committed is applied, if it is "true".
	QueryConsistent = "consistent"
	// QueryVersion requests a stored version of a service's settings; absent: the newest.
	QueryVersion = "version"
)

// Query parameters by which a watch requests settings and reports those that its agent has. Without
// QueryService the discovery service ignores the others.
const (
	// QueryService names the service whose settings are requested.
	QueryService = "service"
	// QueryAgent is the agent's name.
	QueryAgent = "agent"
	// QueryInForce is the version in force; 0 or absent: the settings of the agent's own file.
	QueryInForce = "in_force"
	// QueryRejected is the last version that the agent rejected, if it is newer.
	QueryRejected = "refused"
	// QueryReason says why it was rejected, on one line of at most 200 bytes.
	QueryReason = "why"
)

// Endpoint is the entry of one server in the endpoint list.
type Endpoint struct {
	ID   string `json:"id"`
	Addr string `json:"addr"` // host:port
	Zone string `json:"zone"`
	// Region is optional. Agents that do not know the field ignore it.
	Region string `json:"region,omitempty"`
	Kind   string `json:"kind"` // the kind of machine
	Cell   int    `json:"cell"`
	State  State  `json:"state"`
	// Weight is the server's capacity relative to others of the list.
	Weight float64 `json:"weight"`
	// StartedMs is the Unix time in milliseconds of the server's last start; 0: long ago.
	StartedMs float64 `json:"started_ms"`
}
