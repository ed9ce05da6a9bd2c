package policy_test

import (
	"fmt"
	"slices"

	"pgregory.net/rapid"

	"fernbeam.example/fernbeam/internal/balancer"
)

// drawSettings draws a variant of testSettings. Each value is drawn separately under its key, so that rapid
// can shrink a failure to the settings that cause it.
func drawSettings(t *rapid.T) balancer.Settings {
	s := testSettings()
	s.Limits.HedgedRequests = rapid.Bool().Draw(t, "limits.parallelTries")
	s.Limits.AttemptCancellation = rapid.Bool().Draw(t, "limits.cancelling")
	s.Limits.HealthChecks = rapid.Bool().Draw(t, "limits.probing")
	s.Limits.MaxAttempts = rapid.IntRange(1, 5).Draw(t, "limits.maxAttempts")
	s.FleetSize = rapid.IntRange(1, 80).Draw(t, "replicasOfMe")
	s.Classes[byKeyClass].DedupScope = rapid.SampledFrom([]balancer.DedupScope{
		balancer.DedupFleet, balancer.DedupZone, balancer.DedupCell,
	}).Draw(t, "classes[2].group")
	s.Classes[byKeyClass].DedupWindowMs = rapid.Float64Range(100, 1000).Draw(t, "classes[2].keyTtlMs")
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMs = rapid.Float64Range(50, 450).Draw(t,
			fmt.Sprintf("classes[%d].aimMs", i))
		s.Classes[i].LateFraction = rapid.SampledFrom([]float64{0, 0.2}).Draw(t,
			fmt.Sprintf("classes[%d].lateShare", i))
	}
	s.DiscoveryMode = rapid.SampledFrom([]balancer.DiscoveryMode{
		balancer.DiscoveryPushed, balancer.DiscoveryOnRequest,
	}).Draw(t, "membershipMode")
	s.Clients.MarksRetry = rapid.Bool().Draw(t, "clients.marksRetry")
	return s
}

// changeEndpoint changes the entry of a random server.
func (s *randomScenario) changeEndpoint() {
	server := serverAddress(s.random.IntN(scenarioServers))
	states := []balancer.EndpointState{balancer.Ready, balancer.Ready, balancer.Draining, balancer.Removed}
	endpoint := balancer.Endpoint{
		Server: server,
		Zone:   int(server[3]) % 2,
		Cell:   int(server[3]) % 3,
		Weight: 1 + s.random.Float64(),
		State:  states[s.random.IntN(len(states))],
	}
	if s.random.IntN(3) == 0 {
		endpoint.StartedMs = s.now - 100*s.random.Float64()
	}
	s.endpoints[server] = endpoint
	if endpoint.State == balancer.Ready {
		delete(s.unusableSince, server)
	} else if _, known := s.unusableSince[server]; !known {
		s.unusableSince[server] = s.now
	}
	s.handle(balancer.Event{
		Kind:       balancer.EventList,
		ListUpdate: balancer.ListDelta,
		Endpoints:  []balancer.Endpoint{endpoint},
	})
}

// changeSettings removes, adds and changes classes and changes the maximum number of attempts. It also checks
// that invalid settings are rejected. The discovery mode and the other settings stay the same.
func (s *randomScenario) changeSettings() {
	for _, class := range s.settings.Classes {
		rules := balancer.RequestRules{Class: class, MaxAttempts: s.settings.Limits.MaxAttempts}
		s.earlierRules = append(s.earlierRules, rules)
	}
	settings := s.settings
	settings.Limits.MaxAttempts = 1 + s.random.IntN(5)
	settings.Classes = s.drawClasses()
	invalid := settings
	invalid.Limits.MaxAttempts = 0
	if s.policy.UpdateSettings(invalid) == nil {
		s.t.Fatal("UpdateSettings accepted settings without attempts")
	}
	if err := s.policy.UpdateSettings(settings); err != nil {
		s.t.Fatal(err)
	}
	s.settings = settings
}

// drawClasses draws some classes of testSettings with different rules, and sometimes a new class.
func (s *randomScenario) drawClasses() []balancer.Class {
	classes := slices.Clone(testSettings().Classes)
	for i := range classes {
		classes[i].LatencyObjectiveMs = 50 + 400*s.random.Float64()
	}
	classes = classes[s.random.IntN(len(classes)):]
	idempotencies := []balancer.Idempotency{
		balancer.Idempotent, balancer.NonIdempotent, balancer.IdempotentByKey,
	}
	first := &classes[0]
	first.Idempotency = idempotencies[s.random.IntN(len(idempotencies))]
	first.DedupScope = balancer.DedupCell
	first.DedupWindowMs = 300
	if s.random.IntN(3) == 0 {
		classes = append(classes, balancer.Class{
			Name:               "new",
			LatencyObjectiveMs: 200,
			TotalTimeoutMs:     800,
			Idempotency:        balancer.NonIdempotent,
		})
	}
	return classes
}
