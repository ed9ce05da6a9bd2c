package policy_test

import "fernbeam.example/fernbeam/internal/balancer"

// serverAddress is the address of the server with this index.
func serverAddress(i int) balancer.Addr {
	return balancer.Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b}
}

// The indices of the classes of testSettings.
const (
	idempotentClass = iota
	nonIdempotentClass
	byKeyClass // duplicates are dropped within a cell for half a second
)

// testSettings returns settings with a class of each idempotency.
func testSettings() balancer.Settings {
	s := balancer.Settings{
		Classes: []balancer.Class{
			{
				Name:               "idempotent",
				LatencyObjectiveMs: 300,
				TotalTimeoutMs:     1000,
				Idempotency:        balancer.Idempotent,
				PriorityWeight:     1,
			},
			{
				Name:               "non-idempotent",
				LatencyObjectiveMs: 300,
				TotalTimeoutMs:     1000,
				Idempotency:        balancer.NonIdempotent,
				PriorityWeight:     4,
			},
			{
				Name:               "idempotent by key",
				LatencyObjectiveMs: 300,
				TotalTimeoutMs:     1000,
				Idempotency:        balancer.IdempotentByKey,
				DedupScope:         balancer.DedupCell,
				DedupWindowMs:      500,
				PriorityWeight:     2,
			},
		},
		Limits: balancer.Limits{
			AttemptCancellation: true,
			MaxAttempts:         3,
			MaxRetryAfterMs:     500,
			HedgedRequests:      true,
			ConnectTimeoutMs:    100,
		},
		Contract: balancer.Contract{
			ResponseSlackMs:  20,
			PollWithinMs:     8000,
			SlowStartFrom:    0.2,
			SlowStartMs:      10000,
			DrainGraceMs:     500,
			OverloadMultiple: 3,
			OverloadWindowMs: 1000,
		},
		DiscoveryMode: balancer.DiscoveryPushed,
		FleetSize:     3,
		RoundTripMs:   5,
		WeightBy:      balancer.WeightByRequest,
		Weights:       balancer.WeightsNominal,
	}
	s.Clients.MarksRetry = true
	return s
}
