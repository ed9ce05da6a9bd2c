// Package scaletest runs the load profiles of docs/CAPACITY.md on one machine and records the resource usage of each
// role. A fleet consists of hollow agents, processes of the real agent and real discovery instances. Hollow agents run
// the agent's own code except for client traffic, many of them in one process; the term is from Kubernetes' kubemark.
package scaletest

import (
	"encoding/json"

	"fernbeam.example/fernbeam/internal/capacity"
)

// The protocol between "experiment scale" and its host processes ("experiment scale-host") has one JSON object per
// line: commands on the host's standard input, events on its standard output. When its input is closed, the host ends
// with all of its agents.

// HostCommand is a command to a host process.
type HostCommand struct {
	Command commandName     `json:"do"`
	Agent   string          `json:"agent,omitempty"`
	Config  json.RawMessage `json:"config,omitempty"` // in the format of the file that $PROXY_CONFIG names
}

// commandName is the name of a command to a host process.
type commandName string

// The commands.
const (
	commandStart  commandName = "start"  // start Agent with Config
	commandStop   commandName = "stop"   // stop Agent gracefully, as SIGTERM does
	commandKill   commandName = "kill"   // close Agent's sockets and send nothing, as SIGKILL does
	commandReload commandName = "reload" // reload Agent with Config, as SIGHUP does
	commandReport commandName = "report" // report on all agents; should be rare, because it first collects garbage
)

// HostEvent is an event of a host process. One field is set, except that Ended may come with Err.
type HostEvent struct {
	Started string          `json:"started,omitempty"` // name of an agent that has started
	Ended   string          `json:"ended,omitempty"`   // name of an agent that has ended
	Err     string          `json:"err,omitempty"`     // why the agent ended, or alone: why a command is invalid
	InForce *VersionInForce `json:"force,omitempty"`
	Report  *HostReport     `json:"report,omitempty"`
}

// VersionInForce reports that a version is in force at an agent.
type VersionInForce struct {
	Agent   string              `json:"agent"`
	Kind    capacity.ChangeKind `json:"kind"`
	Version uint64              `json:"version"`
	AtUs    int64               `json:"at_us"` // Unix time, µs
}

// HostReport is the resource usage of a host process and its agents. Its counters begin at the start of the process, so
// that the difference between two reports gives rates.
type HostReport struct {
	AtUs        int64                  `json:"at_us"`       // Unix time, µs
	CPUSeconds  float64                `json:"cpu_s"`       // user and system time, without that spent on reports
	ResidentMB  float64                `json:"resident_mb"` // resident memory
	HeapMB      float64                `json:"heap_mb"`     // live heap after a garbage collection
	AllocBytes  uint64                 `json:"alloc_bytes"` // bytes allocated since the start
	Goroutines  int                    `json:"goroutines"`
	Descriptors int                    `json:"descriptors"`
	Agents      map[string]AgentReport `json:"agents"`
}

// AgentReport has the counters of an agent since its start, and its state.
type AgentReport struct {
	MembershipIn          uint64 `json:"ViewIn"` // bytes of membership traffic
	MembershipOut         uint64 `json:"ViewOut"`
	MembershipMessagesIn  uint64 `json:"ViewMsgIn"` // membership packets and streams
	MembershipMessagesOut uint64 `json:"ViewMsgOut"`
	ListIn                uint64 `json:"ListIn"` // bytes of calls to discovery, including HTTP headers
	ListOut               uint64 `json:"ListOut"`
	ListCalls             uint64 `json:"ListCalls"`
	Members               int    `json:"Members"` // members in the membership snapshot
	Servers               int    `json:"Servers"` // entries of the endpoint list
	ListVersion           uint64 `json:"ListVersion"`
	SettingsVersion       uint64 `json:"SettingsVersion"`
	Digest                string `json:"Digest"`  // of the membership snapshot
	Settled               bool   `json:"Settled"` // the membership snapshot has not changed for the settle time
}
