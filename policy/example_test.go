package policy_test

import (
	"fmt"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

func ExampleBalancer() {
	settings := balancer.Settings{
		Classes: []balancer.Class{{
			Name:               "read",
			LatencyObjectiveMs: 200,
			TotalTimeoutMs:     800,
			Idempotency:        balancer.Idempotent,
			PriorityWeight:     1,
		}},
		Limits:        balancer.Limits{MaxAttempts: 3},
		DiscoveryMode: balancer.DiscoveryPushed,
		RoundTripMs:   5,
	}
	b, err := policy.New(settings, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 1000.0
	b.Start(now, nil)
	address := balancer.Addr{10, 0, 0, 1, 0x1f, 0x90}
	list := balancer.Event{
		Kind:       balancer.EventList,
		ListUpdate: balancer.ListFull,
		Endpoints:  []balancer.Endpoint{{Server: address, State: balancer.Ready, Weight: 1}},
	}
	b.Handle(now, &list, nil)
	request := balancer.Event{Kind: balancer.EventRequest, Request: 1, Key: 7, RemainingMs: 800}
	for _, a := range b.Handle(now, &request, nil) {
		if a.Kind == balancer.ActionForward {
			fmt.Println("send request", a.Request, "to", a.Server)
		}
	}
	// Output: send request 1 to [10 0 0 1 31 144]
}
