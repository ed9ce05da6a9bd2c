package policy_test

import (
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// newPolicy returns a Balancer with the settings and the seed.
func newPolicy(tb testing.TB, settings balancer.Settings, seed uint64) *policy.Balancer {
	tb.Helper()
	b, err := policy.New(settings, seed)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// serverAddress returns the address of the server with the index.
func serverAddress(i int) balancer.Addr {
	return balancer.Addr{10, 0, byte(i >> 8), byte(i), 0x13, 0x8b}
}

// readyEndpoint returns the entry of a ready server with a weight of 1 that started long ago.
func readyEndpoint(index int) balancer.Endpoint {
	return balancer.Endpoint{Server: serverAddress(index), State: balancer.Ready, Weight: 1}
}

// startedEndpoint returns the entry of a ready server that started at startedMs.
func startedEndpoint(index int, startedMs float64) balancer.Endpoint {
	e := readyEndpoint(index)
	e.StartedMs = startedMs
	return e
}

// drainingEndpoint returns the entry of a draining server.
func drainingEndpoint(index int) balancer.Endpoint {
	e := readyEndpoint(index)
	e.State = balancer.Draining
	return e
}

// readyEndpoints returns the entries of the first count servers, all ready.
func readyEndpoints(count int) []balancer.Endpoint {
	endpoints := make([]balancer.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = readyEndpoint(i)
	}
	return endpoints
}

// arrival returns the event of a new request.
func arrival(id balancer.RequestID, class int, key uint64, remainingMs float64) balancer.Event {
	return balancer.Event{
		Kind:        balancer.EventRequest,
		Request:     id,
		Class:       class,
		Key:         key,
		RemainingMs: remainingMs,
	}
}

// attemptDone returns the event of the end of an attempt. A successful attempt answers its request.
func attemptDone(
	id balancer.RequestID, attempt int, server balancer.Addr, status balancer.Status, responseMs float64,
) balancer.Event {
	return balancer.Event{
		Kind:        balancer.EventAttemptDone,
		Request:     id,
		Attempt:     attempt,
		Server:      server,
		Status:      status,
		LatencyMs:   responseMs,
		RequestDone: status == balancer.StatusOK,
	}
}

// The indices of the classes of testSettings.
const (
	idempotentClass = iota
	nonIdempotentClass
	byKeyClass // deduplicated within a cell for half a second
)

// testSettings returns settings with one class per idempotency.
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
