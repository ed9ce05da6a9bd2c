package main

import (
	"encoding/json"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// anyAddress is a loopback address with a port chosen by the system.
	anyAddress = "127.0.0.1:0"
	// zone and kind are the zone and the kind of every server that newConfig lists.
	zone = "east"
	kind = "big"
)

// agentConfig is the content of the agent's configuration file.
type agentConfig struct {
	Name       string        `json:"name"`
	Listen     string        `json:"listen"`
	Discovery  string        `json:"discovery"`
	Management string        `json:"management,omitempty"`
	Seed       string        `json:"seed"`
	Limits     agentLimits   `json:"limits"`
	Known      endpoint.List `json:"known"`
	Settings   agentSettings `json:"settings"`
}

// agentLimits holds the resource limits of the agent's process.
type agentLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// agentSettings holds the policy settings and the names of zones and kinds, which the policy knows only by number.
type agentSettings struct {
	balancer.Settings

	Zones []string `json:"failureDomains"`
	Kinds []string `json:"shapes"`
}

// newConfig returns the configuration of an agent that calls the discovery service at the address discovery and
// initially knows the given servers.
func newConfig(discovery string, servers ...endpoint.Endpoint) agentConfig {
	return agentConfig{
		Name:      "n1",
		Listen:    anyAddress,
		Discovery: discovery,
		Seed:      "1",
		Limits:    agentLimits{Cores: 1, MemoryMB: 64, Sockets: 256},
		Known:     endpoint.List{Version: 1, Full: true, Servers: servers},
		Settings:  newSettings(),
	}
}

// newSettings returns settings whose only class is orderClass.
func newSettings() agentSettings {
	return agentSettings{
		Settings: balancer.Settings{
			Classes: []balancer.Class{{
				Name:               orderClass,
				LatencyObjectiveMs: 2000,
				TotalTimeoutMs:     3000,
				Idempotency:        balancer.NonIdempotent,
				PriorityWeight:     5,
				LateFraction:       0.2,
			}},
			Limits: balancer.Limits{
				AttemptCancellation: true,
				ConnectTimeoutMs:    1000,
				KeepaliveMs:         30000,
				MaxAttempts:         3,
				MaxRetryAfterMs:     600,
			},
			Contract:      balancer.Contract{PollWithinMs: 1600, DrainGraceMs: 250},
			Objective:     balancer.Objective{Total: 1},
			DiscoveryMode: balancer.DiscoveryOnRequest,
			FleetSize:     1,
			RoundTripMs:   5,
		},
		Zones: []string{zone},
		Kinds: []string{kind},
	}
}

// listedServer returns the endpoint of a server that is ready.
func listedServer(id, addr string) endpoint.Endpoint {
	return endpoint.Endpoint{ID: id, Addr: addr, Zone: zone, Kind: kind, State: endpoint.StateUp, Weight: 1}
}

// text returns the text of the configuration file.
func (c agentConfig) text(t *testing.T) []byte {
	t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
