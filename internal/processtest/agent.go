package processtest

import (
	"encoding/json"
	"path/filepath"
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
	contract := map[string]any{"askWithinMs": 1600, "drainGraceMs": 250}
	if s.SlowStartMs != 0 {
		contract["coldMs"] = s.SlowStartMs
	}
	settings := map[string]any{
		"classes": []map[string]any{{
			"name": "order", "aimMs": 2000, "giveUpMs": 3000, "effect": "single_shot", "credit": 5, "lateShare": 0.2,
		}},
		"contract":       contract,
		"failureDomains": []string{"east"},
		"shapes":         []string{"big"},
		"replicasOfMe":   s.Agents,
		"limits": map[string]any{
			"cancelling": true, "connectTimeoutMs": 1000, "keepaliveMs": 30000, "maxAttempts": s.MaxAttempts,
			"maxRetryAfterMs": 600,
		},
		"membershipMode": "on_request",
		"objectiveMix":   map[string]any{"whole": 1},
		"roundMs":        5,
	}
	if s.Index != nil {
		settings["index"] = *s.Index
	}
	if s.Zone != nil {
		settings["zone"] = *s.Zone
	}
	return json.Marshal(settings)
}
