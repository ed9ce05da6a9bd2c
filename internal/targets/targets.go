// Package targets holds the shapes of the discovery protocol (PROTOCOL-fernbeam.md,
// "Discovery"): the answer of GET /api/targets and the entry of one backend. The agent
// reads them and the list service writes them.
package targets

// List is discovery's answer: the whole list (Full) or the entries changed since the
// version the watch named. Version only grows.
type List struct {
	Version uint64   `json:"version"`
	Full    bool     `json:"full"`
	Servers []Target `json:"servers"`
}

// Target is one backend as discovery lists it. State is "up", "draining" or, among
// changes only, "removed". StartedMs is Unix time in ms of its last start; 0: long ago.
// Region is optional; agents that do not know it ignore it.
type Target struct {
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
