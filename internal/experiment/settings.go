package experiment

import (
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

// Agent settings that a scenario can't set.
const (
	responseSlackMs  = 20
	pollWithinMs     = 10_000
	connectTimeoutMs = 250
	maxAttempts      = 5
	maxRetryAfterMs  = 1500
	maxOpenRequests  = 20_000
	roundTripMs      = 5

	totalWeight       = 0.6
	worstClassWeight  = 0.35
	worstWindowWeight = 0.05

	crossZoneCost   = 0.03
	lateFailureCost = 0.05
	healthCheckCost = 0.0082
	wastedWorkCost  = 0.032

	// unusedDedupWindowMs is the deduplication window of classes that have no deduplication scope.
	unusedDedupWindowMs = 5000
	// serviceFamily is the family of the service. The agent does not read it.
	serviceFamily = "mesh"
)

// AgentLimits is the section "limits" of an agent's configuration: the resource limits of its process.
type AgentLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ServiceSettings are the settings that all agents of a service share. They have the keys of balancer.Settings, and
// the names of the zones and the kinds of servers.
type ServiceSettings struct {
	Classes       []balancer.Class        `json:"classes"`
	Clients       ClientSettings          `json:"clients"`
	Contract      balancer.Contract       `json:"contract"`
	Zones         []string                `json:"failureDomains"`
	Family        string                  `json:"family"`
	FamilyInfo    FamilyInfo              `json:"familyInfo"`
	Limits        balancer.Limits         `json:"limits"`
	DiscoveryMode balancer.DiscoveryMode  `json:"membershipMode"`
	Objective     balancer.Objective      `json:"objectiveMix"`
	Costs         CostSettings            `json:"prices"`
	FleetSize     int                     `json:"replicasOfMe"`
	RoundTripMs   float64                 `json:"roundMs"`
	ServerKinds   []string                `json:"shapes"`
	Weights       balancer.WeightAccuracy `json:"weights"`
	WeightBy      balancer.WeightBasis    `json:"worthBy"`
}

// AgentSettings are the settings of one agent.
type AgentSettings struct {
	ServiceSettings
	Index int `json:"index"`
	Zone  int `json:"zone"`
}

// ClientSettings describe the behavior of clients.
type ClientSettings struct {
	MarksRetry bool `json:"marksRetry"`
}

// FamilyInfo describes the behavior of servers.
type FamilyInfo struct {
	WarmKeys bool `json:"warmKeys"`
}

// CostSettings holds the costs that are not 0; see balancer.Costs.
type CostSettings struct {
	CrossZone   float64 `json:"crossZone"`
	LateFailure float64 `json:"lateFail"`
	HealthCheck float64 `json:"probe"`
	WastedWork  float64 `json:"waste"`
}

// Limits returns the resource limits of each agent.
func (s *Scenario) Limits() AgentLimits {
	return AgentLimits{Cores: s.Fleet.Cores, MemoryMB: s.Fleet.MemoryMB, Sockets: s.Fleet.Sockets}
}

// Settings returns the settings of the agent with the given index in the fleet and the given zone index. agents is the
// fleet size.
func (s *Scenario) Settings(index, zone, agents int) AgentSettings {
	return AgentSettings{ServiceSettings: s.ServiceSettings(agents), Index: index, Zone: zone}
}

// ServiceSettings returns the settings that all agents of the fleet share. agents is the fleet size.
func (s *Scenario) ServiceSettings(agents int) ServiceSettings {
	return ServiceSettings{
		Classes:       s.classSettings(),
		Clients:       ClientSettings{MarksRetry: true},
		Contract:      s.contractSettings(),
		Zones:         s.Fleet.Zones,
		Family:        serviceFamily,
		FamilyInfo:    FamilyInfo{WarmKeys: s.cachesKeys()},
		Limits:        policyLimits(),
		DiscoveryMode: balancer.DiscoveryPushed,
		Objective: balancer.Objective{
			Total:       totalWeight,
			WorstClass:  worstClassWeight,
			WorstWindow: worstWindowWeight,
		},
		Costs: CostSettings{
			CrossZone:   crossZoneCost,
			LateFailure: lateFailureCost,
			HealthCheck: healthCheckCost,
			WastedWork:  wastedWorkCost,
		},
		FleetSize:   agents,
		RoundTripMs: roundTripMs,
		ServerKinds: s.serverKinds(),
		Weights:     balancer.WeightsNominal,
		WeightBy:    balancer.WeightByWork,
	}
}

// policyLimits returns the limits that the site sets on the agents' policy.
func policyLimits() balancer.Limits {
	return balancer.Limits{
		AttemptCancellation: true,
		ConnectTimeoutMs:    connectTimeoutMs,
		KeepaliveMs:         clock.Milliseconds(keepAlive),
		MaxAttempts:         maxAttempts,
		MaxRetryAfterMs:     maxRetryAfterMs,
		HealthChecks:        true,
		MaxOpenRequests:     maxOpenRequests,
	}
}

// contractSettings returns the parameters of the operating rules.
func (s *Scenario) contractSettings() balancer.Contract {
	return balancer.Contract{
		ResponseSlackMs:  responseSlackMs,
		PollWithinMs:     pollWithinMs,
		SlowStartFrom:    s.Contract.SlowStartFrom,
		SlowStartMs:      clock.Milliseconds(s.Contract.SlowStartFor),
		DrainGraceMs:     clock.Milliseconds(s.Contract.DrainGrace),
		OverloadMultiple: s.Contract.OverloadMultiple,
		OverloadWindowMs: clock.Milliseconds(s.Contract.OverloadWindow),
	}
}

// cachesKeys reports whether any server model does less work for keys that it has served before.
func (s *Scenario) cachesKeys() bool {
	return slices.ContainsFunc(s.Models, func(model Model) bool { return model.CacheSaving > 0 })
}

// serverKinds returns the kinds of the server models, as discovery lists them.
func (s *Scenario) serverKinds() (kinds []string) {
	for _, model := range s.Models {
		kinds = append(kinds, model.Kind)
	}
	return kinds
}

// classSettings returns the settings of the classes.
func (s *Scenario) classSettings() (classes []balancer.Class) {
	for i := range s.Classes {
		class := &s.Classes[i]
		settings := balancer.Class{
			Name:               class.Name,
			LatencyObjectiveMs: clock.Milliseconds(class.LatencyObjective),
			TotalTimeoutMs:     clock.Milliseconds(class.TotalTimeout),
			Idempotency:        class.Idempotency,
			DedupScope:         class.DedupScope,
			DedupWindowMs:      clock.Milliseconds(class.DedupWindow),
			PriorityWeight:     class.PriorityWeight,
			LateFraction:       class.LateFraction,
		}
		if class.DedupScope == "" {
			settings.DedupScope = balancer.DedupFleet
			settings.DedupWindowMs = unusedDedupWindowMs
		}
		classes = append(classes, settings)
	}
	return classes
}
