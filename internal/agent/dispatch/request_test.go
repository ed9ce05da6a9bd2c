package dispatch

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/balancer"
)

// orderRules are those of a class that must never execute twice.
var orderRules = &balancer.RequestRules{Class: balancer.Class{Name: "order", LatencyObjectiveMs: 2000, TotalTimeoutMs: 4000, Idempotency: balancer.NonIdempotent}, MaxAttempts: 3}

// The backstop responds before the deadline where the policy does not.
func TestBackstop(t *testing.T) {
	cfg := agenttest.NewConfig(t, "127.0.0.1:1", agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1")))
	l, err := New(t.Context(), cfg, upstream.NewPool(cfg), func() {}, nil)
	if err != nil {
		t.Fatal(err)
	}
	// A request that the policy never got stands for one that it forgot.
	c := &message.Request{Context: t.Context(), Rules: orderRules, Deadline: time.Now().Add(time.Second), Response: make(chan message.Response, 1)}
	r := &request{id: 1, incoming: c}
	l.requests.byID[1], l.requests.unanswered = r, 1
	l.backstopExpired(r)
	if a := <-c.Response; a.Kind != message.Failed || !a.TimedOut {
		t.Errorf("answered %+v, want a late failure", a)
	}
	l.finish(r, message.Response{Kind: message.Served})
	if len(c.Response) != 0 || l.metrics.Backstops != 1 || l.requests.unanswered != 0 || len(l.requests.byID) != 0 {
		t.Errorf("%d further answers, figures %+v, %d open", len(c.Response), l.metrics, l.requests.unanswered)
	}
}

// The rules of a request apply whatever the policy decides.
func TestViolationsArePrevented(t *testing.T) {
	up := func() *listedServer { return &listedServer{addr: "127.0.0.1:1"} }
	drained := up()
	drained.SetAvailable(false)
	now := time.Now()
	l := startLoop(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1")), nil)
	for _, test := range []struct {
		name  string
		r     request
		b     *listedServer
		until time.Time
		want  bool
	}{
		{"allowed", request{}, up(), now.Add(time.Second), true},
		{"drained", request{}, drained, now.Add(time.Second), false},
		{"unknown backend", request{}, nil, now.Add(time.Second), false},
		{"one out", request{inFlight: 1}, up(), now.Add(time.Second), false},
		{"answered", request{answered: true}, up(), now.Add(time.Second), false},
		{"may have run", request{mayHaveRun: 1}, up(), now.Add(time.Second), false},
		{"fourth attempt", request{attempts: make([]*attempt, 4)}, up(), now.Add(time.Second), false},
		{"no time", request{}, up(), now, false},
	} {
		test.r.incoming = &message.Request{Context: t.Context(), Rules: orderRules}
		if err := checkRules(&test.r, test.b, now, test.until); (err == nil) != test.want {
			t.Errorf("%s: %v", test.name, err)
		}
	}
	// A refusal after an attempt that may have run is turned into a failure.
	c := &message.Request{Context: t.Context(), Rules: orderRules, Response: make(chan message.Response, 1)}
	done := make(chan bool)
	l.Post(func() { l.reject(&request{id: 1 << 30, incoming: c, mayHaveRun: 1}, 1); close(done) })
	<-done
	if a := <-c.Response; a.Kind != message.Failed {
		t.Errorf("answered %+v, want a failure", a)
	}
}

// A log that nobody reads does not block the event loop.
func TestLogNeverBlocksTheLoop(t *testing.T) {
	l := startLoop(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", agenttest.NewServer(t, agenttest.RespondOK).Addr)), nil)
	blocked, held := make(chan struct{}), make(chan struct{})
	l.lines.lines <- func(context.Context) { close(held); <-blocked }
	defer close(blocked)
	<-held
	done := make(chan struct{})
	l.Post(func() {
		l.lines.limit.SetLimit(rate.Inf)
		for range 2 * cap(l.lines.lines) {
			l.lines.limited(slog.LevelDebug, "line")
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(agenttest.Timeout):
		t.Fatal("the loop waits for the log")
	}
	status, _, _ := agenttest.Do(t, agenttest.NewRequest(l.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
}
