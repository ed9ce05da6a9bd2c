package dispatch

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// orderRules are the rules of a non-idempotent class.
var orderRules = &balancer.RequestRules{
	Class: balancer.Class{
		Name:               "order",
		LatencyObjectiveMs: 2000,
		TotalTimeoutMs:     4000,
		Idempotency:        balancer.NonIdempotent,
	},
	MaxAttempts: 3,
}

// The backstop responds before the deadline if the policy does not.
func TestBackstop(t *testing.T) {
	cfg := agenttest.NewConfig(t, "127.0.0.1:1", agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1")))
	loop, err := New(t.Context(), cfg, Options{Pool: upstream.NewPool(cfg), OnServersReady: func() {}})
	if err != nil {
		t.Fatal(err)
	}
	// The policy has not received this request, as if it had lost it.
	incoming := &message.Request{
		Context:  t.Context(),
		Rules:    orderRules,
		Deadline: time.Now().Add(time.Second),
		Response: make(chan message.Response, 1),
	}
	r := &request{id: 1, incoming: incoming}
	loop.requests.byID[1] = r
	loop.requests.openCount = 1
	loop.backstopExpired(r)
	if response := <-incoming.Response; response.Kind != message.Failed || !response.TimedOut {
		t.Errorf("response %+v, want a failure by timeout", response)
	}
	loop.finish(r, message.Response{Kind: message.Served})
	openCount := loop.requests.openCount
	if len(incoming.Response) != 0 || loop.metrics.Backstops != 1 || openCount != 0 || len(loop.requests.byID) != 0 {
		t.Errorf("%d further responses, metrics %+v, %d open requests", len(incoming.Response), loop.metrics, openCount)
	}
}

// Attempts and rejections that violate the rules of a request are prevented even if the policy requests them.
func TestViolationsArePrevented(t *testing.T) {
	ready := &listedServer{addr: "127.0.0.1:1"}
	draining := &listedServer{addr: "127.0.0.1:1"}
	draining.SetAvailable(false)
	now := time.Now()
	inTime := now.Add(time.Second)
	for _, test := range []struct {
		name     string
		request  request
		server   *listedServer
		deadline time.Time
		allowed  bool
	}{
		{name: "allowed", server: ready, deadline: inTime, allowed: true},
		{name: "draining", server: draining, deadline: inTime},
		{name: "unlisted server", deadline: inTime},
		{name: "one in flight", request: request{inFlight: 1}, server: ready, deadline: inTime},
		{name: "closed", request: request{closed: true}, server: ready, deadline: inTime},
		{name: "may have executed", request: request{mayHaveExecuted: 1}, server: ready, deadline: inTime},
		{name: "fourth attempt", request: request{attempts: make([]*attempt, 4)}, server: ready, deadline: inTime},
		{name: "no time", server: ready, deadline: now},
	} {
		test.request.incoming = &message.Request{Context: t.Context(), Rules: orderRules}
		if err := checkRules(&test.request, test.server, now, test.deadline); (err == nil) != test.allowed {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	wantUnsafeRejectionFails(t)
}

// wantUnsafeRejectionFails checks that a rejection after an attempt that may have executed becomes a failure.
func wantUnsafeRejectionFails(t *testing.T) {
	t.Helper()
	loop := startLoop(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1")), nil)
	incoming := &message.Request{
		Context:  t.Context(),
		Rules:    orderRules,
		Response: make(chan message.Response, 1),
	}
	rejected := &request{id: 1 << 30, incoming: incoming, mayHaveExecuted: 1}
	loop.Post(func() { loop.reject(rejected, 1) })
	if response := <-incoming.Response; response.Kind != message.Failed {
		t.Errorf("response %+v, want a failure", response)
	}
}

// A blocked log writer does not block the event loop.
func TestLogNeverBlocksTheLoop(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	loop := startLoop(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), nil)
	blocked, release := make(chan struct{}), make(chan struct{})
	loop.logger.lines <- func(context.Context) {
		close(blocked)
		<-release
	}
	defer close(release)
	<-blocked
	done := make(chan struct{})
	loop.Post(func() {
		loop.logger.limit.SetLimit(rate.Inf)
		for range 2 * cap(loop.logger.lines) {
			loop.logger.logLimited(slog.LevelDebug, "line")
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(agenttest.Timeout):
		t.Fatal("event loop is blocked by the log")
	}
	status := agenttest.Send(t, agenttest.NewRequest(loop.addr, "order", "x")).Status
	agenttest.WantStatus(t, status, http.StatusOK)
}
