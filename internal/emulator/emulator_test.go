package emulator

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestEngineWaitsAsQueueingTheorySays lets a machine serve a Poisson stream in a time of its own
// and compares its mean wait with what is known exactly: Erlang's C for M/M/k and
// Pollaczek and Khinchine's formula for M/G/1.
func TestEngineWaitsAsQueueingTheorySays(t *testing.T) {
	for _, c := range []struct {
		name  string
		cores int
		load  float64
		draw  func(*rand.Rand) float64 // service, of mean 1 s
		want  float64                  // mean wait, s
	}{
		{"M/M/1", 1, 0.7, (*rand.Rand).ExpFloat64, 0.7 / 0.3},
		{"M/M/3", 3, 0.8, (*rand.Rand).ExpFloat64, ErlangC(3, 0.8*3) / (3 * 0.2)},
		{"M/G/2", 2, 0.6, func(r *rand.Rand) float64 { // log-normal, cv 0.5
			s2 := math.Log(1.25)
			return math.Exp(r.NormFloat64()*math.Sqrt(s2) - s2/2)
		}, MeanWait(2, 0.6, 1, 0.5)},
		{"M/D/1", 1, 0.7, func(*rand.Rand) float64 { return 1 }, 0.7 / 0.3 / 2},
	} {
		draw := rand.New(rand.NewPCG(1, 1))
		e := newEngine(Model{Cores: c.cores, Speed: 1, Slots: c.cores, Queue: math.MaxInt}, 0, -1)
		var at time.Duration
		var waits float64
		const n = 60_000
		for range n {
			at += time.Duration(draw.ExpFloat64() / (c.load * float64(c.cores)) * 1e9)
			e.advance(at)
			// First come, first served: what is before it, and on how many cores, is its wait.
			waits += clearTime(e)
			if !e.submit(&job{remaining: c.draw(draw), done: make(chan struct{})}) {
				t.Fatal("an endless queue is full")
			}
		}
		if got := waits / n; math.Abs(got-c.want) > 0.06*c.want {
			t.Errorf("%s: mean wait %.3f s, theory %.3f s", c.name, got, c.want)
		}
	}
}

// clearTime is when a core comes free for one who comes now.
func clearTime(e *engine) float64 {
	if len(e.jobs[jobRunning]) < e.model.Cores {
		return 0
	}
	var free []float64
	for _, w := range e.jobs[jobRunning] {
		free = append(free, w.remaining)
	}
	for _, w := range e.jobs[jobQueued] {
		i := slices.Index(free, slices.Min(free))
		free[i] += w.remaining
	}
	return slices.Min(free)
}

// TestMachine: what a node's machine does when cold, crowded, choked, slow and full.
func TestMachine(t *testing.T) {
	const s = time.Second
	serve := func(m Model, started time.Duration, slow float64, n int) time.Duration {
		e := newEngine(m, 0, started)
		e.slowFactor = slow
		var last *job
		for range n {
			last = &job{remaining: 1, dependencyWait: s, done: make(chan struct{})}
			if !e.submit(last) {
				return -1
			}
		}
		for at := time.Duration(0); ; at += s / 100 {
			e.advance(at)
			select {
			case <-last.done:
				return at
			default:
			}
		}
	}
	base := Model{Cores: 2, Speed: 1, Slots: 8, Queue: 2}
	cold, thrash, choke := base, base, base
	cold.SlowStartFrom, cold.SlowStartFor = 0.5, time.Hour
	thrash.ThrashLoss, thrash.ThrashAt = 0.5, 2
	choke.Congestion = Congestion{OnsetLoad: 3, RecoveryLoad: 0.4, OnsetTime: 0, RecoveryTime: s, MaxTime: 10 * s, Factor: 4}
	for name, c := range map[string]struct {
		got, want time.Duration
	}{
		"two on two cores":      {serve(base, -1, 1, 2), 2 * s},
		"eight share two cores": {serve(base, -1, 1, 8), 5 * s},
		"at half speed":         {serve(base, -1, 2, 2), 3 * s},
		"cold at half":          {serve(cold, 0, 1, 2), 3 * s},
		"crowded twice over":    {serve(thrash, -1, 1, 8), 9 * s},
		"more than it holds":    {serve(base, -1, 1, 11), -1},
	} {
		if d := c.got - c.want; d < -s/20 || d > s/20 {
			t.Errorf("%s: %v, should be %v", name, c.got, c.want)
		}
	}
	if got := serve(choke, -1, 1, 8); got < 10*s {
		t.Errorf("a choked node is done after %v", got)
	}
}

// TestJudgeFindsEachBrokenRule seeds one bug a rule in a history that keeps them all.
func TestJudgeFindsEachBrokenRule(t *testing.T) {
	const ms = time.Millisecond
	classes := []Class{{Name: "once", Idempotency: "single_shot"}, {Name: "keyed", Idempotency: "guarded", DedupScope: "cell", DedupWindow: time.Second}, {Name: "free", Idempotency: "free"}}
	c := &Contract{DrainGrace: 300 * ms, Slack: 50 * ms}
	kept := func() *History {
		return &History{
			Requests: []*Request{
				{Agent: "a", Class: 0, Outcome: Served, Attempts: []Attempt{
					{Server: "x", Received: 10 * ms, Ended: 12 * ms, Outcome: AttemptRejected}, {Server: "y", Received: 20 * ms, Ended: 90 * ms, Outcome: Served}}},
				{Agent: "a", Class: 1, Outcome: Served, Attempts: []Attempt{
					{Server: "x", Cell: 1, Started: 10 * ms, Received: 10 * ms, Ended: 200 * ms, Outcome: AttemptFailed}, {Server: "y", Cell: 1, Received: 220 * ms, Ended: 400 * ms, Outcome: Served}}},
				{Agent: "b", Class: 0, Outcome: RequestLost, AgentStopped: true, Attempts: []Attempt{{Server: "x", Received: 10 * ms, Outcome: AttemptOpen}}},
				{Agent: "a", Class: 0, Outcome: RequestRejected, Attempts: []Attempt{{Server: "z", Started: 1340 * ms, Received: 1340 * ms, Ended: 1345 * ms, Outcome: AttemptRejected}}},
				{Agent: "a", Class: 2, Outcome: RequestRejected, Attempts: []Attempt{{Server: "x", Received: 10 * ms, Ended: 20 * ms, Outcome: AttemptFailed}}},
			},
			Removals:  []Notification{{"a", "z", time.Second}, {"b", "x", 0}},
			Overloads: []SlowStartOverload{{Server: "x"}},
		}
	}
	if got := Judge(kept(), classes, c); len(got) > 0 {
		t.Fatalf("a history that keeps the rules breaks %v", got)
	}
	for name, bug := range map[string]struct {
		rule string
		seed func(h *History)
	}{
		"lost":                    {"lost", func(h *History) { h.Requests[2].AgentStopped = false }},
		"forged":                  {"lost", func(h *History) { h.Requests[0].Outcome = ResponseForged }},
		"runs twice":              {"duplicate", func(h *History) { h.Requests[0].Attempts[0].Outcome = AttemptBroken }},
		"two at once":             {"duplicate", func(h *History) { h.Requests[0].Attempts[0].Ended = 80 * ms }},
		"other pod":               {"duplicate", func(h *History) { h.Requests[1].Attempts[1].Cell = 2 }},
		"too late":                {"duplicate", func(h *History) { h.Requests[1].Attempts[1].Received = 1070 * ms }},
		"refused when it ran":     {"duplicate", func(h *History) { h.Requests[3].Attempts[0].Outcome = AttemptCancelled }},
		"sent to a draining node": {"drain", func(h *History) { h.Requests[3].Attempts[0].Started = 1351 * ms }},
		"pushed over":             {"cold", func(h *History) { h.Overloads[0].ByNotifiedAgents = true }},
	} {
		h := kept()
		bug.seed(h)
		if got := Judge(h, classes, c); len(got) == 0 || got[0].Rule != bug.rule {
			t.Errorf("the bug %q was found as %v", name, got)
		}
	}
}

// TestOutOfDescriptors: a world that can't open a connection says so.
func TestOutOfDescriptors(t *testing.T) {
	w, err := New(Config{Seed: 1, Zones: []string{"z"}, Agents: []Agent{{Name: "a", Share: 1}}, Servers: 1, CellSize: 1,
		Models: []Model{{Cores: 1, Speed: 1, Slots: 1, Queue: 100}}, ModelShares: []float64{1},
		Classes: []Class{{Share: 1, Work: time.Millisecond, LatencyObjective: time.Second, TotalTimeout: time.Second, PriorityWeight: 1, Idempotency: "free"}},
		Rate:    100, Keys: 1, RequestTimeoutShare: 1, KeepAlive: time.Minute, Direct: true})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	res := w.Run(200 * time.Millisecond)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if len(res.Errors) == 0 || !strings.Contains(res.Errors[0], "too many open files") {
		t.Errorf("faults: %v", res.Errors)
	}
}
