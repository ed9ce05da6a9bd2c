package policytest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	. "fernbeam.example/fernbeam/internal/balancer"
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
type world struct {
	t        checker
	rng      *rand.Rand
	set      Settings
	b        *policy.Balancer
	now      float64
	next     RequestID
	reqs     map[RequestID]*worldReq
	timers   []worldTimer
	list     map[Addr]Entry
	badSince map[Addr]float64 // told that it drains or is gone
	history  []Action
	past     []Rules // that were in force
}

type worldTry struct {
	server Addr
	sentAt float64
	endsAt float64
	// written is when the last byte of a long request is with its server.
	written float64
	status  Status
	ended   bool
}

type worldReq struct {
	rules    Rules // as they were when it came
	deadline float64
	long     bool
	before   float64 // its deadline if it is never written
	tries    []*worldTry
	final    int
}

type worldTimer struct {
	at    float64
	token uint32
}

// drawSettings draws a deployment's settings around testSettings, each by its key, so that
// a broken rule shrinks to the fewest settings that break it.
func drawSettings(t *rapid.T) Settings {
	s := testSettings()
	s.Limits.ParallelTries = rapid.Bool().Draw(t, "limits.parallelTries")
	s.Limits.Cancelling = rapid.Bool().Draw(t, "limits.cancelling")
	s.Limits.Probing = rapid.Bool().Draw(t, "limits.probing")
	s.Limits.MaxAttempts = rapid.IntRange(1, 5).Draw(t, "limits.maxAttempts")
	s.Replicas = rapid.IntRange(1, 80).Draw(t, "replicasOfMe")
	s.Classes[2].Group = rapid.SampledFrom([]Group{GroupAll, GroupZone, GroupCell}).Draw(t, "classes[2].group")
	s.Classes[2].KeyTTLMs = rapid.Float64Range(100, 1000).Draw(t, "classes[2].keyTtlMs")
	for i := range s.Classes {
		s.Classes[i].AimMs = rapid.Float64Range(50, 450).Draw(t, fmt.Sprintf("classes[%d].aimMs", i))
		s.Classes[i].LateShare = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, fmt.Sprintf("classes[%d].lateShare", i))
	}
	s.Membership = rapid.SampledFrom([]string{"pushed", "on_request"}).Draw(t, "membershipMode")
	s.Clients.MarksRetry = rapid.Bool().Draw(t, "clients.marksRetry")
	return s
}

func (w *world) apply(actions []Action) {
	w.history = append(w.history, actions...)
	for _, a := range actions {
		r := w.reqs[a.Request]
		switch a.Kind {
		case ActSend:
			w.checkSend(r, &a)
			ends := w.now + 1 + 150*w.rng.Float64()
			st := []Status{OK, OK, OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset}[w.rng.IntN(10)]
			if st == Timeout {
				ends = w.now + a.Ms
			}
			try := &worldTry{server: a.Server, sentAt: w.now, endsAt: min(ends, w.now+a.Ms), status: st}
			if r.long { // its server takes as long as its client does, and turns some away before the end
				try.written, try.endsAt = w.now+300*w.rng.Float64(), ends
				if try.written < ends || !st.NeverRan() {
					try.endsAt = max(ends, try.written+1)
				}
				r.before, r.deadline = r.deadline, math.Inf(1) // until it is written, or ends before
			}
			r.tries = append(r.tries, try)
		case ActRefuse, ActFail:
			if r.final++; r.final > 1 {
				w.t.Fatalf("request %d: a second final answer", a.Request)
			}
			if w.now > r.deadline+w.set.Contract.AnswerSlackMs {
				w.t.Fatalf("request %d answered %.1f ms after its deadline", a.Request, w.now-r.deadline)
			}
			c := r.rules
			if a.Kind == ActRefuse && r.mayHaveRun() && (c.Effect == SingleShot || c.Effect == Guarded && c.Group != GroupAll) {
				w.t.Fatalf("request %d of effect %s refused though it may have run", a.Request, c.Effect)
			}
		case ActCancel:
			if !w.set.Limits.Cancelling {
				w.t.Fatal("cancelled where it is not allowed")
			}
			if try := r.tries[a.Attempt]; !try.ended {
				try.status, try.endsAt = Cancelled, w.now+5
			}
		case ActProbe:
			if !w.set.Limits.Probing {
				w.t.Fatal("probed where it is not allowed")
			}
		case ActTimer:
			w.timers = append(w.timers, worldTimer{w.now + a.Ms, a.Token})
		}
	}
}

func (r *worldReq) mayHaveRun() bool {
	return slices.ContainsFunc(r.tries, func(t *worldTry) bool { return !t.ended || !t.status.NeverRan() })
}

func (w *world) checkSend(r *worldReq, a *Action) {
	c := r.rules
	if r.final > 0 || w.now > r.deadline {
		w.t.Fatalf("request %d sent after its end", a.Request)
	}
	if len(r.tries) >= c.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d of at most %d", a.Request, len(r.tries)+1, c.MaxAttempts)
	}
	if since, bad := w.badSince[a.Server]; bad && w.now-since > w.set.Contract.DrainGraceMs {
		w.t.Fatalf("sent to %v %.0f ms after it was told to drain", a.Server, w.now-since)
	}
	for _, t := range r.tries {
		if !t.ended && !w.set.Limits.ParallelTries {
			w.t.Fatalf("request %d: two attempts out at once", a.Request)
		}
		if t.ended && t.status.NeverRan() {
			continue
		}
		x, y := w.list[t.server], w.list[a.Server]
		switch {
		case c.Effect == SingleShot:
			w.t.Fatalf("request %d sent again though it may have run", a.Request)
		case c.Effect == Guarded && w.now-t.sentAt > c.KeyTTLMs:
			w.t.Fatalf("request %d sent again %.0f ms after it may have run", a.Request, w.now-t.sentAt)
		case c.Effect == Guarded && (c.Group == GroupZone && x.Zone != y.Zone || c.Group == GroupCell && x.Cell != y.Cell):
			w.t.Fatalf("request %d sent again outside its group", a.Request)
		}
	}
}

func (w *world) handle(ev Event) { w.apply(w.b.Handle(w.now, &ev, nil)) }

func (w *world) step() {
	w.now += w.set.RoundMs
	for i := 0; i < len(w.timers); i++ {
		if t := w.timers[i]; t.at <= w.now {
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(Event{Kind: EvTimer, Token: t.token})
		}
	}
	for id := RequestID(1); id <= w.next; id++ {
		r := w.reqs[id]
		if r == nil {
			continue
		}
		open := false
		for i, t := range r.tries {
			if t.ended {
				continue
			}
			if t.written > 0 && t.written <= w.now && r.final == 0 {
				t.written = 0
				left := 20 + 300*w.rng.Float64()
				r.deadline = w.now + left
				t.endsAt = min(t.endsAt, r.deadline)
				w.handle(Event{Kind: EvWritten, Request: id, Attempt: i, LeftMs: left})
			}
			if t.endsAt > w.now {
				open = true
				continue
			}
			t.ended = true
			if t.written > 0 {
				r.deadline = max(r.before, w.now)
			}
			if t.status == OK {
				r.final++ // a second copy's answer changes nothing
				r.final = min(r.final, 1)
			}
			w.handle(Event{Kind: EvOutcome, Request: id, Attempt: i, Server: t.server, Status: t.status,
				LatencyMs: w.now - t.sentAt, Final: r.final > 0, Spent: r.long && w.rng.IntN(2) == 0})
		}
		if r.final == 0 && w.now > r.deadline+w.set.Contract.AnswerSlackMs {
			w.t.Fatalf("request %d of class %s lost: no answer %.0f ms after its deadline", id, r.rules.Name, w.now-r.deadline)
		}
		if r.final > 0 && !open && len(r.tries) > 0 && w.now > r.deadline+100 {
			delete(w.reqs, id)
		}
	}
}

// retune drops, adds and changes classes and attempts; what nobody can use changes nothing.
func (w *world) retune() {
	for _, c := range w.set.Classes {
		w.past = append(w.past, Rules{Class: c, MaxAttempts: w.set.Limits.MaxAttempts})
	}
	set := w.set // membership and what the deployment permits stay; attempts and aims change
	set.Limits.MaxAttempts = 1 + w.rng.IntN(5)
	set.Classes = slices.Clone(testSettings().Classes)
	for i := range set.Classes {
		set.Classes[i].AimMs = 50 + 400*w.rng.Float64()
	}
	set.Classes = set.Classes[w.rng.IntN(len(set.Classes)):]
	c := &set.Classes[0]
	c.Effect, c.Group, c.KeyTTLMs = []Effect{Free, SingleShot, Guarded}[w.rng.IntN(3)], GroupCell, 300
	if w.rng.IntN(3) == 0 {
		set.Classes = append(set.Classes, Class{Name: "new", AimMs: 200, GiveUpMs: 800, Effect: SingleShot})
	}
	bad := set
	bad.Limits.MaxAttempts = 0
	if w.b.Retune(bad) == nil {
		w.t.Fatal("settings without attempts are taken over")
	}
	if err := w.b.Retune(set); err != nil {
		w.t.Fatal(err)
	}
	w.set = set
}

func (w *world) changeList() {
	s := addr(w.rng.IntN(8))
	e := Entry{Server: s, Zone: int(s[3]) % 2, Cell: int(s[3]) % 3, Weight: 1 + w.rng.Float64(),
		Health: []Health{Ready, Ready, Draining, Gone}[w.rng.IntN(4)]}
	if w.rng.IntN(3) == 0 {
		e.SinceMs = w.now - 100*w.rng.Float64()
	}
	w.list[s] = e
	if e.Health == Ready {
		delete(w.badSince, s)
	} else if _, told := w.badSince[s]; !told {
		w.badSince[s] = w.now
	}
	w.handle(Event{Kind: EvList, List: ListDelta, Entries: []Entry{e}})
}

// play runs a day of random clients, servers and lists, drawn from the seed, against one
// Balancer with these settings, and returns every action it gave.
func play(t checker, set Settings, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &world{t: t, rng: rng, set: set, now: 5000, reqs: map[RequestID]*worldReq{},
		list: map[Addr]Entry{}, badSince: map[Addr]float64{}}
	var err error
	if w.b, err = policy.New(w.set, seed); err != nil {
		t.Fatal(err)
	}
	w.apply(w.b.Start(w.now, nil))
	for range 10 {
		w.changeList()
	}
	for i := range 1500 {
		w.step()
		for i < 1200 && rng.IntN(3) == 0 {
			w.next++
			left := 20 + 800*rng.Float64()
			class := rng.IntN(len(w.set.Classes))
			rules := Rules{Class: w.set.Classes[class], MaxAttempts: w.set.Limits.MaxAttempts}
			ev := Event{Kind: EvRequest, Request: w.next, Class: class, Key: uint64(rng.IntN(30)),
				LeftMs: left, Retry: rng.IntN(5) == 0}
			if len(w.past) > 0 && rng.IntN(3) == 0 { // it was on its way when the settings changed
				rules = w.past[rng.IntN(len(w.past))]
				ev.Rules = &rules
			}
			ev.Long = rng.IntN(5) == 0
			w.reqs[w.next] = &worldReq{rules: rules, long: ev.Long, deadline: w.now + left}
			w.handle(ev)
		}
		switch rng.IntN(40) {
		case 0:
			w.changeList()
		case 1:
			if r := w.reqs[w.next]; r != nil && r.final == 0 {
				r.final = 1
				w.handle(Event{Kind: EvDropped, Request: w.next})
			}
		case 2: // what is unknown or over is ignored
			w.handle(Event{Kind: EvOutcome, Request: 1 << 30, Server: addr(1), Status: OK})
			w.handle(Event{Kind: EvDropped, Request: 1 << 30})
			w.handle(Event{Kind: EvTimer, Token: 99})
			w.handle(Event{Kind: EvList, List: ListFailed})
		case 3:
			w.retune()
		}
	}
	w.finish(seed)
	return w.history
}

// finish checks from outside that nothing is left at the end: every request has had its
// one final answer, every attempt its end, and the module holds and sends nothing.
func (w *world) finish(seed uint64) {
	for id, r := range w.reqs {
		if r.final != 1 {
			w.t.Errorf("seed %d: request %d has %d final answers at the end", seed, id, r.final)
		}
		for i, try := range r.tries {
			if !try.ended {
				w.t.Errorf("seed %d: request %d: attempt %d at %v never ended", seed, id, i, try.server)
			}
		}
	}
	if v := w.b.View(); v.Held != 0 || v.InFlight != 0 {
		w.t.Errorf("seed %d: %d held and %d in flight at the end", seed, v.Held, v.InFlight)
	}
}

// TestRulesHoldOnRandomDays plays days drawn by rapid: settings, and the seed of the day.
func TestRulesHoldOnRandomDays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { play(t, drawSettings(t), rapid.Uint64().Draw(t, "seed")) })
}

func TestEqualInputsGiveEqualActions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, seed := drawSettings(t), rapid.Uint64().Draw(t, "seed")
		if !reflect.DeepEqual(play(t, set, seed), play(t, set, seed)) {
			t.Error("two runs of one day differ")
		}
	})
}
