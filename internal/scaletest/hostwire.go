// Package scaletest plays the days of docs/CAPACITY.md on one machine: fleets of hollow agents (the
// agent's own code for all but client traffic, many in one process) beside real ones and the real
// list service, and records what each role took.
package scaletest

import "encoding/json"

// The words between `experiment scale` and its host processes (`experiment scale-host`): one JSON object a
// line, orders on the host's standard input, tellings on its standard output. Its end of input ends
// the host and all its agents.

// Order is what a host is to do.
type HostCommand struct {
	// Do is "start" (Config: an agent in the form of $PROXY_CONFIG), "stop" (in order, as SIGTERM
	// does), "kill" (its sockets are closed and nothing is told), "reload" (Config, as SIGHUP does)
	// or "report" (all agents; collects garbage first, so it is asked for seldom).
	Command string          `json:"do"`
	Agent   string          `json:"agent,omitempty"`
	Config  json.RawMessage `json:"config,omitempty"`
}

// Telling is what a host says; one of its parts is there.
type HostEvent struct {
	Started string          `json:"started,omitempty"` // an agent runs
	Ended   string          `json:"ended,omitempty"`   // an agent has ended
	Err     string          `json:"err,omitempty"`     // with Ended, or alone: an order that made no sense
	InForce *VersionInForce `json:"force,omitempty"`
	Report  *HostReport     `json:"report,omitempty"`
}

// Force says that a version is in force at an agent.
type VersionInForce struct {
	Agent   string `json:"agent"`
	Kind    string `json:"kind"` // "list" or "settings"
	Version uint64 `json:"version"`
	AtUs    int64  `json:"at_us"` // Unix time, µs
}

// Report is what a host process has taken since its start; the difference of two gives rates.
type HostReport struct {
	AtUs        int64                  `json:"at_us"`
	CPUSeconds  float64                `json:"cpu_s"` // user and system, without the report's own collection
	ResidentMB  float64                `json:"resident_mb"`
	HeapMB      float64                `json:"heap_mb"` // live, after a collection
	AllocBytes  uint64                 `json:"alloc_bytes"`
	Goroutines  int                    `json:"goroutines"`
	Descriptors int                    `json:"descriptors"`
	Agents      map[string]AgentReport `json:"agents"`
}

// Agent is what one agent has counted since its start.
type AgentReport struct {
	ViewIn, ViewOut       uint64 // bytes of the fleet view
	ViewMsgIn, ViewMsgOut uint64 // its packets, and streams
	ListIn, ListOut       uint64 // bytes of calls to discovery, HTTP headers counted
	ListCalls             uint64
	Members, Servers      int
	ListVersion           uint64
	SettingsVersion       uint64
	Digest                string // of the fleet view
	Settled               bool
}
