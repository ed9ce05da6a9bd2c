package policytest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
	"pgregory.net/rapid"
)

// checker is what the world reports to: a *testing.T or a *rapid.T.
type checker interface {
	Helper()
	Errorf(format string, args ...any)
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// world plays random clients, servers and lists against one Balancer and
// checks the rules from outside, on the actions alone.
type randomScenario struct {
	t             checker
	random        *rand.Rand
	settings      balancer.Settings
	policy        *policy.Balancer
	now           float64
	lastRequest   balancer.RequestID
	requests      map[balancer.RequestID]*simulatedRequest
	timers        []scenarioTimer
	endpoints     map[balancer.Addr]balancer.Endpoint
	unusableSince map[balancer.Addr]float64 // told that it drains or is gone
	history       []balancer.Action
	earlierRules  []balancer.RequestRules // that were in force
}

type simulatedAttempt struct {
	server    balancer.Addr
	startedAt float64
	endsAt    float64
	// written is when the last byte of a long request is with its server.
	fullySentAt float64
	status      balancer.Status
	ended       bool
}

type simulatedRequest struct {
	rules          balancer.RequestRules // as they were when it came
	deadline       float64
	streamedBody   bool
	unsentDeadline float64 // its deadline if it is never written
	attempts       []*simulatedAttempt
	finalAnswers   int
}

type scenarioTimer struct {
	at    float64
	token uint32
}

// drawSettings draws a deployment's settings around testSettings, each by its key, so that
// a broken rule shrinks to the fewest settings that break it.
func drawSettings(t *rapid.T) balancer.Settings {
	s := testSettings()
	s.Limits.HedgedRequests = rapid.Bool().Draw(t, "limits.parallelTries")
	s.Limits.AttemptCancellation = rapid.Bool().Draw(t, "limits.cancelling")
	s.Limits.HealthChecks = rapid.Bool().Draw(t, "limits.probing")
	s.Limits.MaxAttempts = rapid.IntRange(1, 5).Draw(t, "limits.maxAttempts")
	s.FleetSize = rapid.IntRange(1, 80).Draw(t, "replicasOfMe")
	s.Classes[2].DedupScope = rapid.SampledFrom([]balancer.DedupScope{balancer.DedupFleet, balancer.DedupZone, balancer.DedupCell}).Draw(t, "classes[2].group")
	s.Classes[2].DedupWindowMs = rapid.Float64Range(100, 1000).Draw(t, "classes[2].keyTtlMs")
	for i := range s.Classes {
		s.Classes[i].LatencyObjectiveMs = rapid.Float64Range(50, 450).Draw(t, fmt.Sprintf("classes[%d].aimMs", i))
		s.Classes[i].LateFraction = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, fmt.Sprintf("classes[%d].lateShare", i))
	}
	s.DiscoveryMode = rapid.SampledFrom([]string{"pushed", "on_request"}).Draw(t, "membershipMode")
	s.Clients.MarksRetry = rapid.Bool().Draw(t, "clients.marksRetry")
	return s
}

func (w *randomScenario) apply(actions []balancer.Action) {
	w.history = append(w.history, actions...)
	for _, a := range actions {
		r := w.requests[a.Request]
		switch a.Kind {
		case balancer.ActionForward:
			w.checkForward(r, &a)
			ends := w.now + 1 + 150*w.random.Float64()
			st := []balancer.Status{balancer.StatusOK, balancer.StatusOK, balancer.StatusOK, balancer.StatusOK, balancer.StatusOK, balancer.StatusError, balancer.StatusOverloaded, balancer.StatusTimeout, balancer.StatusConnectFailed, balancer.StatusReset}[w.random.IntN(10)]
			if st == balancer.StatusTimeout {
				ends = w.now + a.Ms
			}
			try := &simulatedAttempt{server: a.Server, startedAt: w.now, endsAt: min(ends, w.now+a.Ms), status: st}
			if r.streamedBody { // its server takes as long as its client does, and turns some away before the end
				try.fullySentAt, try.endsAt = w.now+300*w.random.Float64(), ends
				if try.fullySentAt < ends || !st.NotExecuted() {
					try.endsAt = max(ends, try.fullySentAt+1)
				}
				r.unsentDeadline, r.deadline = r.deadline, math.Inf(1) // until it is written, or ends before
			}
			r.attempts = append(r.attempts, try)
		case balancer.ActionReject, balancer.ActionFail:
			if r.finalAnswers++; r.finalAnswers > 1 {
				w.t.Fatalf("request %d: a second final answer", a.Request)
			}
			if w.now > r.deadline+w.settings.Contract.ResponseSlackMs {
				w.t.Fatalf("request %d answered %.1f ms after its deadline", a.Request, w.now-r.deadline)
			}
			c := r.rules
			if a.Kind == balancer.ActionReject && r.mayHaveExecuted() && (c.Idempotency == balancer.NonIdempotent || c.Idempotency == balancer.IdempotentByKey && c.DedupScope != balancer.DedupFleet) {
				w.t.Fatalf("request %d of idempotency %s rejected though it may have executed", a.Request, c.Idempotency)
			}
		case balancer.ActionCancelAttempt:
			if !w.settings.Limits.AttemptCancellation {
				w.t.Fatal("cancelled where it is not allowed")
			}
			if try := r.attempts[a.Attempt]; !try.ended {
				try.status, try.endsAt = balancer.StatusCancelled, w.now+5
			}
		case balancer.ActionHealthCheck:
			if !w.settings.Limits.HealthChecks {
				w.t.Fatal("health check where it is not allowed")
			}
		case balancer.ActionSetTimer:
			w.timers = append(w.timers, scenarioTimer{w.now + a.Ms, a.Token})
		}
	}
}

func (r *simulatedRequest) mayHaveExecuted() bool {
	return slices.ContainsFunc(r.attempts, func(t *simulatedAttempt) bool { return !t.ended || !t.status.NotExecuted() })
}

func (w *randomScenario) checkForward(r *simulatedRequest, a *balancer.Action) {
	c := r.rules
	if r.finalAnswers > 0 || w.now > r.deadline {
		w.t.Fatalf("request %d sent after its end", a.Request)
	}
	if len(r.attempts) >= c.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d of at most %d", a.Request, len(r.attempts)+1, c.MaxAttempts)
	}
	if since, bad := w.unusableSince[a.Server]; bad && w.now-since > w.settings.Contract.DrainGraceMs {
		w.t.Fatalf("sent to %v %.0f ms after it was notified of its drain", a.Server, w.now-since)
	}
	for _, t := range r.attempts {
		if !t.ended && !w.settings.Limits.HedgedRequests {
			w.t.Fatalf("request %d: two attempts in flight at once", a.Request)
		}
		if t.ended && t.status.NotExecuted() {
			continue
		}
		x, y := w.endpoints[t.server], w.endpoints[a.Server]
		switch {
		case c.Idempotency == balancer.NonIdempotent:
			w.t.Fatalf("request %d retried though it may have executed", a.Request)
		case c.Idempotency == balancer.IdempotentByKey && w.now-t.startedAt > c.DedupWindowMs:
			w.t.Fatalf("request %d retried %.0f ms after it may have executed", a.Request, w.now-t.startedAt)
		case c.Idempotency == balancer.IdempotentByKey && (c.DedupScope == balancer.DedupZone && x.Zone != y.Zone || c.DedupScope == balancer.DedupCell && x.Cell != y.Cell):
			w.t.Fatalf("request %d retried outside its deduplication scope", a.Request)
		}
	}
}

func (w *randomScenario) handle(ev balancer.Event) { w.apply(w.policy.Handle(w.now, &ev, nil)) }

func (w *randomScenario) step() {
	w.now += w.settings.RoundTripMs
	for i := 0; i < len(w.timers); i++ {
		if t := w.timers[i]; t.at <= w.now {
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(balancer.Event{Kind: balancer.EventTimer, Token: t.token})
		}
	}
	for id := balancer.RequestID(1); id <= w.lastRequest; id++ {
		r := w.requests[id]
		if r == nil {
			continue
		}
		open := false
		for i, t := range r.attempts {
			if t.ended {
				continue
			}
			if t.fullySentAt > 0 && t.fullySentAt <= w.now && r.finalAnswers == 0 {
				t.fullySentAt = 0
				left := 20 + 300*w.random.Float64()
				r.deadline = w.now + left
				t.endsAt = min(t.endsAt, r.deadline)
				w.handle(balancer.Event{Kind: balancer.EventRequestSent, Request: id, Attempt: i, RemainingMs: left})
			}
			if t.endsAt > w.now {
				open = true
				continue
			}
			t.ended = true
			if t.fullySentAt > 0 {
				r.deadline = max(r.unsentDeadline, w.now)
			}
			if t.status == balancer.StatusOK {
				r.finalAnswers++ // a second copy's answer changes nothing
				r.finalAnswers = min(r.finalAnswers, 1)
			}
			w.handle(balancer.Event{Kind: balancer.EventAttemptDone, Request: id, Attempt: i, Server: t.server, Status: t.status,
				LatencyMs: w.now - t.startedAt, RequestDone: r.finalAnswers > 0, BodyConsumed: r.streamedBody && w.random.IntN(2) == 0})
		}
		if r.finalAnswers == 0 && w.now > r.deadline+w.settings.Contract.ResponseSlackMs {
			w.t.Fatalf("request %d of class %s lost: no answer %.0f ms after its deadline", id, r.rules.Name, w.now-r.deadline)
		}
		if r.finalAnswers > 0 && !open && len(r.attempts) > 0 && w.now > r.deadline+100 {
			delete(w.requests, id)
		}
	}
}

// retune drops, adds and changes classes and attempts; what nobody can use changes nothing.
func (w *randomScenario) retune() {
	for _, c := range w.settings.Classes {
		w.earlierRules = append(w.earlierRules, balancer.RequestRules{Class: c, MaxAttempts: w.settings.Limits.MaxAttempts})
	}
	set := w.settings // membership and what the deployment permits stay; attempts and aims change
	set.Limits.MaxAttempts = 1 + w.random.IntN(5)
	set.Classes = slices.Clone(testSettings().Classes)
	for i := range set.Classes {
		set.Classes[i].LatencyObjectiveMs = 50 + 400*w.random.Float64()
	}
	set.Classes = set.Classes[w.random.IntN(len(set.Classes)):]
	c := &set.Classes[0]
	c.Idempotency, c.DedupScope, c.DedupWindowMs = []balancer.Idempotency{balancer.Idempotent, balancer.NonIdempotent, balancer.IdempotentByKey}[w.random.IntN(3)], balancer.DedupCell, 300
	if w.random.IntN(3) == 0 {
		set.Classes = append(set.Classes, balancer.Class{Name: "new", LatencyObjectiveMs: 200, TotalTimeoutMs: 800, Idempotency: balancer.NonIdempotent})
	}
	bad := set
	bad.Limits.MaxAttempts = 0
	if w.policy.Retune(bad) == nil {
		w.t.Fatal("settings without attempts are taken over")
	}
	if err := w.policy.Retune(set); err != nil {
		w.t.Fatal(err)
	}
	w.settings = set
}

func (w *randomScenario) changeEndpoint() {
	s := serverAddress(w.random.IntN(8))
	e := balancer.Endpoint{Server: s, Zone: int(s[3]) % 2, Cell: int(s[3]) % 3, Weight: 1 + w.random.Float64(),
		State: []balancer.EndpointState{balancer.Ready, balancer.Ready, balancer.Draining, balancer.Removed}[w.random.IntN(4)]}
	if w.random.IntN(3) == 0 {
		e.StartedMs = w.now - 100*w.random.Float64()
	}
	w.endpoints[s] = e
	if e.State == balancer.Ready {
		delete(w.unusableSince, s)
	} else if _, told := w.unusableSince[s]; !told {
		w.unusableSince[s] = w.now
	}
	w.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListDelta, Endpoints: []balancer.Endpoint{e}})
}

// play runs a day of random clients, servers and lists, drawn from the seed, against one
// Balancer with these settings, and returns every action it gave.
func runRandomScenario(t checker, set balancer.Settings, seed uint64) []balancer.Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &randomScenario{t: t, random: rng, settings: set, now: 5000, requests: map[balancer.RequestID]*simulatedRequest{},
		endpoints: map[balancer.Addr]balancer.Endpoint{}, unusableSince: map[balancer.Addr]float64{}}
	var err error
	if w.policy, err = policy.New(w.settings, seed); err != nil {
		t.Fatal(err)
	}
	w.apply(w.policy.Start(w.now, nil))
	for range 10 {
		w.changeEndpoint()
	}
	for i := range 1500 {
		w.step()
		for i < 1200 && rng.IntN(3) == 0 {
			w.lastRequest++
			left := 20 + 800*rng.Float64()
			class := rng.IntN(len(w.settings.Classes))
			rules := balancer.RequestRules{Class: w.settings.Classes[class], MaxAttempts: w.settings.Limits.MaxAttempts}
			ev := balancer.Event{Kind: balancer.EventRequest, Request: w.lastRequest, Class: class, Key: uint64(rng.IntN(30)),
				RemainingMs: left, Retry: rng.IntN(5) == 0}
			if len(w.earlierRules) > 0 && rng.IntN(3) == 0 { // it was on its way when the settings changed
				rules = w.earlierRules[rng.IntN(len(w.earlierRules))]
				ev.Rules = &rules
			}
			ev.StreamedBody = rng.IntN(5) == 0
			w.requests[w.lastRequest] = &simulatedRequest{rules: rules, streamedBody: ev.StreamedBody, deadline: w.now + left}
			w.handle(ev)
		}
		switch rng.IntN(40) {
		case 0:
			w.changeEndpoint()
		case 1:
			if r := w.requests[w.lastRequest]; r != nil && r.finalAnswers == 0 {
				r.finalAnswers = 1
				w.handle(balancer.Event{Kind: balancer.EventClientGone, Request: w.lastRequest})
			}
		case 2: // what is unknown or over is ignored
			w.handle(balancer.Event{Kind: balancer.EventAttemptDone, Request: 1 << 30, Server: serverAddress(1), Status: balancer.StatusOK})
			w.handle(balancer.Event{Kind: balancer.EventClientGone, Request: 1 << 30})
			w.handle(balancer.Event{Kind: balancer.EventTimer, Token: 99})
			w.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: balancer.ListFailed})
		case 3:
			w.retune()
		}
	}
	w.finish(seed)
	return w.history
}

// finish checks from outside that nothing is left at the end: every request has had its
// one final answer, every attempt its end, and the module holds and sends nothing.
func (w *randomScenario) finish(seed uint64) {
	for id, r := range w.requests {
		if r.finalAnswers != 1 {
			w.t.Errorf("seed %d: request %d has %d final responses at the end", seed, id, r.finalAnswers)
		}
		for i, try := range r.attempts {
			if !try.ended {
				w.t.Errorf("seed %d: request %d: attempt %d at %v never ended", seed, id, i, try.server)
			}
		}
	}
	if v := w.policy.Stats(); v.Queued != 0 || v.InFlight != 0 {
		w.t.Errorf("seed %d: %d held and %d in flight at the end", seed, v.Queued, v.InFlight)
	}
}

// TestRulesHoldOnRandomDays plays days drawn by rapid: settings, and the seed of the day.
func TestRulesHoldInRandomScenarios(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runRandomScenario(t, drawSettings(t), rapid.Uint64().Draw(t, "seed")) })
}

func TestEqualInputsGiveEqualActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, seed := drawSettings(t), rapid.Uint64().Draw(t, "seed")
		if !reflect.DeepEqual(runRandomScenario(t, set, seed), runRandomScenario(t, set, seed)) {
			t.Error("two runs of one scenario differ")
		}
	})
}
