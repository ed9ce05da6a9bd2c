package processtest

import (
	"encoding/json"
	"path/filepath"
)

// The values of AgentSettings that no test varies, in the units of the agent's configuration.
const (
	pollWithinMs       = 1600
	drainGraceMs       = 250
	latencyObjectiveMs = 2000
	totalTimeoutMs     = 3000
	classPriority      = 5
	classLateFraction  = 0.2
	connectTimeoutMs   = 1000
	keepAliveMs        = 30_000
	maxRetryAfterMs    = 600
	roundTripMs        = 5
)

// AgentEnv is the environment of agents whose configuration files are DIR/NAME.json. Without the other variables the
// file alone counts; agents of one directory find their lock files in it.
func AgentEnv(dir string) func(name string) []string {
	return func(name string) []string {
		return []string{
			"PROXY_CONFIG=" + filepath.Join(dir, name+".json"),
			"PROXY_NAME=",
			"PROXY_LISTEN=",
			"PROXY_DISCOVERY=",
			"PROXY_MANAGEMENT=",
			"PROXY_LISTEN_FD=",
			"TMPDIR=" + dir,
		}
	}
}

// AgentSettings are the least settings that an agent takes, with one class "order".
type AgentSettings struct {
	// Index and Zone are an agent's own; nil: left out, as in settings for all agents of a service.
	Index, Zone *int
	// Agents is the number of agents (replicasOfMe).
	Agents int
	// MaxAttempts of a request.
	MaxAttempts int
	// SlowStartMs is the contract's coldMs; 0: the key is left out.
	SlowStartMs int
}

// MarshalJSON writes the settings with the keys of the agent's configuration.
func (s AgentSettings) MarshalJSON() ([]byte, error) {
	contract := map[string]any{"askWithinMs": pollWithinMs, "drainGraceMs": drainGraceMs}
	if s.SlowStartMs != 0 {
		contract["coldMs"] = s.SlowStartMs
	}
	settings := map[string]any{
		"classes": []map[string]any{{
			"name":      "order",
			"aimMs":     latencyObjectiveMs,
			"giveUpMs":  totalTimeoutMs,
			"effect":    "single_shot",
			"credit":    classPriority,
			"lateShare": classLateFraction,
		}},
		"contract":       contract,
		"failureDomains": []string{"east"},
		"shapes":         []string{"big"},
		"replicasOfMe":   s.Agents,
		"limits": map[string]any{
			"cancelling":       true,
			"connectTimeoutMs": connectTimeoutMs,
			"keepaliveMs":      keepAliveMs,
			"maxAttempts":      s.MaxAttempts,
			"maxRetryAfterMs":  maxRetryAfterMs,
		},
		"membershipMode": "on_request",
		"objectiveMix":   map[string]any{"whole": 1},
		"roundMs":        roundTripMs,
	}
	if s.Index != nil {
		settings["index"] = *s.Index
	}
	if s.Zone != nil {
		settings["zone"] = *s.Zone
	}
	return json.Marshal(settings)
}
