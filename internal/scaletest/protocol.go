// Package scaletest runs the load profiles of docs/CAPACITY.md on one machine and records what each role
// takes. A fleet has hollow agents (the agent's own code for all but client traffic, many in one
// process; the term is that of Kubernetes' kubemark), processes of the real agent beside them, and real
// discovery instances.
package scaletest

import (
	"encoding/json"

	"fernbeam.example/fernbeam/internal/capacity"
)

// The protocol between `experiment scale` and its host processes (`experiment scale-host`) is one JSON
// object a line: commands on the host's standard input, events on its standard output. The end of its
// input ends the host and all of its agents.

// HostCommand is a command to a host process.
type HostCommand struct {
	Command commandName     `json:"do"`
	Agent   string          `json:"agent,omitempty"`
	Config  json.RawMessage `json:"config,omitempty"` // in the form of $PROXY_CONFIG
}

// commandName says what a host process is to do.
type commandName string

// The commands.
const (
	commandStart  commandName = "start"  // Agent with Config
	commandStop   commandName = "stop"   // Agent, gracefully, as SIGTERM does
	commandKill   commandName = "kill"   // Agent: its sockets are closed and nothing is sent, as SIGKILL does
	commandReload commandName = "reload" // Agent with Config, as SIGHUP does
	commandReport commandName = "report" // on all agents; it collects garbage first, so it should be rare
)

// HostEvent is an event of a host process; one of its parts is set.
type HostEvent struct {
	Started string          `json:"started,omitempty"` // the agent runs
	Ended   string          `json:"ended,omitempty"`   // the agent has ended
	Err     string          `json:"err,omitempty"`     // with Ended, or alone for an invalid command
	InForce *VersionInForce `json:"force,omitempty"`
	Report  *HostReport     `json:"report,omitempty"`
}

// VersionInForce says that a version is in force at an agent.
type VersionInForce struct {
	Agent   string              `json:"agent"`
	Kind    capacity.ChangeKind `json:"kind"`
	Version uint64              `json:"version"`
	AtUs    int64               `json:"at_us"` // Unix time, µs
}

// HostReport is what a host process has taken since its start; two of them give rates.
type HostReport struct {
	AtUs        int64                  `json:"at_us"`       // Unix time, µs
	CPUSeconds  float64                `json:"cpu_s"`       // user and system, without what reports took
	ResidentMB  float64                `json:"resident_mb"` // MB
	HeapMB      float64                `json:"heap_mb"`     // live, after a collection
	AllocBytes  uint64                 `json:"alloc_bytes"` // allocated
	Goroutines  int                    `json:"goroutines"`
	Descriptors int                    `json:"descriptors"`
	Agents      map[string]AgentReport `json:"agents"`
}

// AgentReport has the counters of one agent since its start, and its state.
type AgentReport struct {
	MembershipIn          uint64 `json:"ViewIn"` // bytes of membership
	MembershipOut         uint64 `json:"ViewOut"`
	MembershipMessagesIn  uint64 `json:"ViewMsgIn"` // membership's packets and streams
	MembershipMessagesOut uint64 `json:"ViewMsgOut"`
	ListIn                uint64 `json:"ListIn"` // bytes of calls to discovery, with HTTP headers
	ListOut               uint64 `json:"ListOut"`
	ListCalls             uint64 `json:"ListCalls"`
	Members               int    `json:"Members"` // members in the membership snapshot
	Servers               int    `json:"Servers"` // entries of the endpoint list
	ListVersion           uint64 `json:"ListVersion"`
	SettingsVersion       uint64 `json:"SettingsVersion"`
	Digest                string `json:"Digest"`  // of the membership snapshot
	Settled               bool   `json:"Settled"` // the membership snapshot has not changed for its settle time
}
