package experiment

import (
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
)

// unusedDedupWindowMs is the deduplication window, in ms, in the settings of a class that has no scope.
const unusedDedupWindowMs = 5000

// Limits returns the "limits" of an agent's configuration.
func (s *Scenario) Limits() map[string]any {
	return map[string]any{
		"cores":     s.Fleet.Cores,
		"memory_mb": s.Fleet.MemoryMB,
		"sockets":   s.Fleet.Sockets,
	}
}

// Settings returns the "settings" of the configuration of the agent with an index, in the zone with an index, of a
// fleet of so many agents. They are maps, as an arm may override any key.
func (s *Scenario) Settings(index, zone, agents int) map[string]any {
	var classes, models []any
	for i := range s.Classes {
		classes = append(classes, classSettings(&s.Classes[i]))
	}
	cachesKeys := false
	for _, model := range s.Models {
		models = append(models, model.Kind)
		cachesKeys = cachesKeys || model.CacheSaving > 0
	}
	return map[string]any{
		"classes": classes,
		"clients": map[string]any{"marksRetry": true},
		"contract": map[string]any{
			"answerSlackMs": 20,
			"askWithinMs":   10000,
			"coldFrom":      s.Contract.SlowStartFrom,
			"coldMs":        inMilliseconds(s.Contract.SlowStartFor),
			"drainGraceMs":  inMilliseconds(s.Contract.DrainGrace),
			"fallMultiple":  s.Contract.OverloadMultiple,
			"tipAfterMs":    inMilliseconds(s.Contract.OverloadWindow),
		},
		"failureDomains": s.Fleet.Zones,
		"family":         "mesh",
		"familyInfo":     map[string]any{"warmKeys": cachesKeys},
		"index":          index,
		"limits": map[string]any{
			"cancelling":       true,
			"connectTimeoutMs": 250,
			"keepaliveMs":      inMilliseconds(keepAlive),
			"maxAttempts":      5,
			"maxRetryAfterMs":  1500,
			"openCap":          20000,
			"parallelTries":    false,
			"probing":          true,
			"retryAfter":       false,
		},
		"membershipMode": "pushed",
		"objectiveMix":   map[string]any{"whole": 0.6, "worstClass": 0.35, "worstWindow": 0.05},
		"prices":         map[string]any{"crossZone": 0.03, "lateFail": 0.05, "probe": 0.0082, "waste": 0.032},
		"replicasOfMe":   agents,
		"roundMs":        5,
		"shapes":         models,
		"weights":        "nominal",
		"worthBy":        "work",
		"zone":           zone,
	}
}

// classSettings returns the settings of a class.
func classSettings(class *emulator.Class) map[string]any {
	scope := class.DedupScope
	window := inMilliseconds(class.DedupWindow)
	if scope == "" {
		scope = emulator.DedupFleet
		window = unusedDedupWindowMs
	}
	return map[string]any{
		"name":      class.Name,
		"aimMs":     inMilliseconds(class.LatencyObjective),
		"giveUpMs":  inMilliseconds(class.TotalTimeout),
		"credit":    class.PriorityWeight,
		"effect":    class.Idempotency,
		"group":     scope,
		"keyTtlMs":  window,
		"lateShare": class.LateFraction,
		"streamed":  false,
	}
}

// inMilliseconds returns a time in ms.
func inMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
