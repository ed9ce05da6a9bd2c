package processtest

import (
	"cmp"
	"encoding/json"
	"os"
	"path/filepath"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/membership"
)

// Values that are the same in all configurations of agents, in the units of their keys.
const (
	pollWithinMs       = 1600
	drainGraceMs       = 250
	latencyObjectiveMs = 2000
	totalTimeoutMs     = 3000
	priorityWeight     = 5
	lateFraction       = 0.2
	connectTimeoutMs   = 1000
	keepAliveMs        = 30_000
	maxRetryAfterMs    = 600
	roundTripMs        = 5
	agentMemoryMB      = 64
	agentSockets       = 256
)

// agentFileMode is the mode of an agent's configuration file.
const agentFileMode = 0o600

// AgentEnv returns a Config.Env for agents whose configuration files are DIR/NAME.json. It clears the variables that
// override values of the file, and sets TMPDIR so that agents of one directory share their lock files.
func AgentEnv(dir string) func(name string) []string {
	return func(name string) []string {
		return []string{
			"PROXY_CONFIG=" + agentFilePath(dir, name),
			"PROXY_NAME=",
			"PROXY_LISTEN=",
			"PROXY_DISCOVERY=",
			"PROXY_MANAGEMENT=",
			"PROXY_LISTEN_FD=",
			"TMPDIR=" + dir,
		}
	}
}

// agentFilePath returns the path of the configuration file of an agent's process.
func agentFilePath(dir, process string) string { return filepath.Join(dir, process+".json") }

// AgentFile is the part of an agent's configuration file that tests use.
type AgentFile struct {
	Name       string             `json:"name"`
	Listen     string             `json:"listen"`
	Management string             `json:"management,omitempty"` // address of the admin endpoint; empty means none
	Discovery  string             `json:"discovery"`
	Seed       string             `json:"seed"` // hexadecimal
	Limits     AgentLimits        `json:"limits"`
	Known      AgentList          `json:"known"`
	Control    *AgentControl      `json:"control,omitempty"` // nil means that it watches no settings
	Fleet      *membership.Config `json:"fleet,omitempty"`   // nil means that it does not join the membership
	Settings   AgentSettings      `json:"settings"`
}

// AgentLimits are the resources of the machine that an agent may use.
type AgentLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// AgentLimitsFor returns the limits of an agent under test that may use the given number of processor cores.
func AgentLimitsFor(cores float64) AgentLimits {
	return AgentLimits{Cores: cores, MemoryMB: agentMemoryMB, Sockets: agentSockets}
}

// AgentList is the empty endpoint list that an agent starts with.
type AgentList struct {
	Version int         `json:"version"`
	Full    bool        `json:"full,omitempty"`
	Servers [0]struct{} `json:"servers"` // an empty array, because a nil slice is encoded as null
}

// AgentControl identifies the service settings that an agent watches and the addresses of discovery.
type AgentControl struct {
	Service   string   `json:"service"`
	Addresses []string `json:"addresses"`
}

// Write writes the configuration file of an agent's process to the path that AgentEnv sets.
func (f AgentFile) Write(dir, process string) error {
	text, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return os.WriteFile(agentFilePath(dir, process), text, agentFileMode)
}

// AgentSettings are minimal valid settings of agents, with one class "order".
type AgentSettings struct {
	// Index and Zone are those of a single agent. Nil omits them, as in settings for all agents of a service.
	Index, Zone *int
	// Agents is the number of agents (key replicasOfMe).
	Agents int
	// MaxAttempts is the maximum number of attempts per request.
	MaxAttempts int
	// SlowStartMs is the duration of the slow start (key contract.coldMs). Zero omits the key.
	SlowStartMs int
	// DiscoveryMode is how lists reach the policy. Empty means balancer.DiscoveryOnRequest.
	DiscoveryMode balancer.DiscoveryMode
}

// The JSON encoding of AgentSettings.
type (
	settingsJSON struct {
		Classes        []classJSON            `json:"classes"`
		Contract       contractJSON           `json:"contract"`
		FailureDomains []string               `json:"failureDomains"`
		Index          *int                   `json:"index,omitempty"`
		Limits         limitsJSON             `json:"limits"`
		MembershipMode balancer.DiscoveryMode `json:"membershipMode"`
		ObjectiveMix   objectiveJSON          `json:"objectiveMix"`
		ReplicasOfMe   int                    `json:"replicasOfMe"`
		RoundMs        int                    `json:"roundMs"`
		Shapes         []string               `json:"shapes"`
		Zone           *int                   `json:"zone,omitempty"`
	}
	classJSON struct {
		AimMs     int                  `json:"aimMs"`
		Credit    int                  `json:"credit"`
		Effect    balancer.Idempotency `json:"effect"`
		GiveUpMs  int                  `json:"giveUpMs"`
		LateShare float64              `json:"lateShare"`
		Name      string               `json:"name"`
	}
	contractJSON struct {
		AskWithinMs  int `json:"askWithinMs"`
		ColdMs       int `json:"coldMs,omitempty"`
		DrainGraceMs int `json:"drainGraceMs"`
	}
	limitsJSON struct {
		Cancelling       bool `json:"cancelling"`
		ConnectTimeoutMs int  `json:"connectTimeoutMs"`
		KeepaliveMs      int  `json:"keepaliveMs"`
		MaxAttempts      int  `json:"maxAttempts"`
		MaxRetryAfterMs  int  `json:"maxRetryAfterMs"`
	}
	objectiveJSON struct {
		Whole int `json:"whole"`
	}
)

// MarshalJSON implements json.Marshaler with the keys of the agent's configuration.
func (s AgentSettings) MarshalJSON() ([]byte, error) {
	return json.Marshal(settingsJSON{
		Classes: []classJSON{{
			AimMs:     latencyObjectiveMs,
			Credit:    priorityWeight,
			Effect:    balancer.NonIdempotent,
			GiveUpMs:  totalTimeoutMs,
			LateShare: lateFraction,
			Name:      "order",
		}},
		Contract: contractJSON{
			AskWithinMs:  pollWithinMs,
			ColdMs:       s.SlowStartMs,
			DrainGraceMs: drainGraceMs,
		},
		FailureDomains: []string{"east"},
		Index:          s.Index,
		Limits: limitsJSON{
			Cancelling:       true,
			ConnectTimeoutMs: connectTimeoutMs,
			KeepaliveMs:      keepAliveMs,
			MaxAttempts:      s.MaxAttempts,
			MaxRetryAfterMs:  maxRetryAfterMs,
		},
		MembershipMode: cmp.Or(s.DiscoveryMode, balancer.DiscoveryOnRequest),
		ObjectiveMix:   objectiveJSON{Whole: 1},
		ReplicasOfMe:   s.Agents,
		RoundMs:        roundTripMs,
		Shapes:         []string{"big"},
		Zone:           s.Zone,
	})
}
