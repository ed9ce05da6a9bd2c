// Package endpoint holds the shapes of the discovery protocol (PROTOCOL-fernbeam.md,
// "Discovery"): the answer of GET /api/targets and the entry of one backend. The agent
// reads them and the list service writes them.
package endpoint

import "encoding/json"

// List is discovery's answer: the whole list (Full) or the entries changed since the
// version the watch named. Version only grows.
type List struct {
	Version uint64     `json:"version"`
	Full    bool       `json:"full"`
	Servers []Endpoint `json:"servers"`
	// Settings are those of the service that the call named, where they are newer than what
	// the caller has in force or refused; nil: nothing newer, or none was named.
	Settings *Settings `json:"settings,omitempty"`
}

// Settings are the whole settings of a service's agents, in the form of the agent's
// configuration without what is each agent's own (index and zone). Version is that of the
// write, by the same count as the list's.
type Settings struct {
	Service string          `json:"service"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Query keys by which a call of a watch asks for settings and tells what the caller has. The
// list service answers as without them where Service is not there.
const (
	QueryService  = "service"  // whose settings
	QueryAgent    = "agent"    // the caller's name
	QueryInForce  = "in_force" // the version that it has in force; 0 or none: those of its file
	QueryRejected = "refused"  // the last version that it could not take, if that is newer
	QueryReason   = "why"      // and why: one line, 200 bytes at most
)

// Target is one backend as discovery lists it. State is "up", "draining" or, among
// changes only, "removed". StartedMs is Unix time in ms of its last start; 0: long ago.
// Region is optional; agents that do not know it ignore it.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Region    string  `json:"region,omitempty"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}
