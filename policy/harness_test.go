package policy_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/policy"
)

// harness drives one Balancer: it passes events to it and collects the resulting actions.
type harness struct {
	t           testing.TB
	policy      *policy.Balancer
	settings    balancer.Settings // in force
	random      *rand.Rand
	now         float64 // milliseconds
	lastRequest balancer.RequestID
	timers      []timer // set but not fired yet
}

// timer is a timer set by the policy that has not fired yet.
type timer struct {
	at    float64
	token uint32
}

// newHarness returns a harness of an agent with the given number of ready servers.
func newHarness(tb testing.TB, settings balancer.Settings, servers int) *harness {
	tb.Helper()
	b := newPolicy(tb, settings, 1)
	h := &harness{t: tb, policy: b, settings: settings, random: rand.New(rand.NewPCG(1, 2)), now: 1e6}
	h.collectTimers(b.Start(h.now, nil))
	endpoints := readyEndpoints(servers)
	for i := range endpoints {
		endpoints[i].Cell = i % 2
		endpoints[i].Zone = i % 2
	}
	h.updateList(balancer.ListCached, endpoints...)
	return h
}

// handle passes an event to the policy at the present time and collects the timers that the policy sets.
func (h *harness) handle(ev balancer.Event) []balancer.Action {
	return h.collectTimers(h.policy.Handle(h.now, &ev, nil))
}

// collectTimers records the timers that the actions set and returns the actions.
func (h *harness) collectTimers(actions []balancer.Action) []balancer.Action {
	for _, a := range actions {
		if a.Kind == balancer.ActionSetTimer {
			h.timers = append(h.timers, timer{h.now + a.Ms, a.Token})
		}
	}
	return actions
}

// updateList passes an update of the endpoint list to the policy.
func (h *harness) updateList(update balancer.ListUpdate, endpoints ...balancer.Endpoint) {
	h.handle(balancer.Event{Kind: balancer.EventList, ListUpdate: update, Endpoints: endpoints})
}

// request passes a new request with 600 ms left to the policy and returns its id and the resulting actions.
func (h *harness) request(class int, key uint64) (balancer.RequestID, []balancer.Action) {
	h.lastRequest++
	return h.lastRequest, h.handle(arrival(h.lastRequest, class, key, 600))
}

// upload is like request, for a request whose body is streamed.
func (h *harness) upload(class int) (balancer.RequestID, []balancer.Action) {
	h.lastRequest++
	ev := arrival(h.lastRequest, class, 1, 600)
	ev.StreamedBody = true
	return h.lastRequest, h.handle(ev)
}

// endAttempt passes the end of an attempt to the policy and returns the resulting actions.
func (h *harness) endAttempt(
	id balancer.RequestID, attempt int, server balancer.Addr, status balancer.Status, responseMs float64,
) []balancer.Action {
	return h.handle(attemptDone(id, attempt, server, status, responseMs))
}

// findAction returns the first action of the kind, or nil if there is none.
func findAction(actions []balancer.Action, kind balancer.ActionKind) *balancer.Action {
	for i := range actions {
		if actions[i].Kind == kind {
			return &actions[i]
		}
	}
	return nil
}

// mustForward makes a request that must be forwarded immediately and returns its id and its server.
func (h *harness) mustForward(class int, key uint64) (balancer.RequestID, balancer.Addr) {
	h.t.Helper()
	id, actions := h.request(class, key)
	a := findAction(actions, balancer.ActionForward)
	if a == nil {
		h.t.Fatalf("request %d of class %d was not forwarded: %+v", id, class, actions)
		return id, balancer.Addr{}
	}
	return id, a.Server
}

// serveRetry serves the second attempt of a request if the actions forward one.
func (h *harness) serveRetry(id balancer.RequestID, actions []balancer.Action, responseMs float64) {
	if a := findAction(actions, balancer.ActionForward); a != nil {
		h.endAttempt(id, 1, a.Server, balancer.StatusOK, responseMs)
	}
}

// endEachAttempt makes a request of a class and ends each of its attempts immediately with the outcome for
// its server. It returns the servers of the attempts.
func (h *harness) endEachAttempt(
	class int, outcome func(server balancer.Addr) (status balancer.Status, tookMs float64),
) (servers []balancer.Addr) {
	id, actions := h.request(class, h.random.Uint64()|1)
	for {
		a := findAction(actions, balancer.ActionForward)
		if a == nil || a.Request != id {
			return servers
		}
		status, tookMs := outcome(a.Server)
		actions = h.endAttempt(id, len(servers), a.Server, status, tookMs)
		servers = append(servers, a.Server)
	}
}

// waitForAnswer advances the time until the policy forwards or answers the last request, and returns how long
// that took. answered is false if nothing happens within 500 ms. actions are those of the request's arrival.
func (h *harness) waitForAnswer(actions []balancer.Action) (ms float64, answered bool) {
	start := h.now
	for range 100 {
		for _, a := range actions {
			if a.Request == h.lastRequest && a.Kind != balancer.ActionSetTimer {
				return h.now - start, true
			}
		}
		actions = h.advance(5)
	}
	return h.now - start, false
}

// advance advances the time by ms, fires the timers that become due in chronological order, and returns the
// resulting actions.
func (h *harness) advance(ms float64) []balancer.Action {
	end := h.now + ms
	var all []balancer.Action
	for i := h.nextTimer(end); i >= 0; i = h.nextTimer(end) {
		fired := h.timers[i]
		h.timers = slices.Delete(h.timers, i, i+1)
		h.now = max(h.now, fired.at)
		all = append(all, h.handle(balancer.Event{Kind: balancer.EventTimer, Token: fired.token})...)
	}
	h.now = end
	return all
}

// nextTimer returns the index of the earliest timer that is due by the given time, or -1 if there is none.
func (h *harness) nextTimer(by float64) int {
	next := -1
	for i, timer := range h.timers {
		if timer.at <= by && (next < 0 || timer.at < h.timers[next].at) {
			next = i
		}
	}
	return next
}

// healthStates returns the number of listed servers in each health state, best state first.
func (h *harness) healthStates() [4]int { return h.policy.Stats().States }

// serve has n requests with new keys served, each after ms, so that the agent knows the response times of its
// servers and there is no popular key.
func (h *harness) serve(n int, ms float64) {
	h.t.Helper()
	h.serveAndCount(n, ms, balancer.Addr{})
}

// serveAndCount has n requests with new keys served, one after the other, each after ms. It returns how many
// were forwarded to s.
func (h *harness) serveAndCount(n int, ms float64, s balancer.Addr) int {
	h.t.Helper()
	got := 0
	for range n {
		id, to := h.mustForward(idempotentClass, h.random.Uint64()|1)
		h.now += ms
		h.endAttempt(id, 0, to, balancer.StatusOK, ms)
		if to == s {
			got++
		}
	}
	return got
}

// ejectionMs returns the ejection time of a server that failed once, which is the shortest latency objective.
func (h *harness) ejectionMs() float64 {
	shortest := math.Inf(1)
	for _, c := range h.settings.Classes {
		shortest = min(shortest, c.LatencyObjectiveMs)
	}
	return shortest
}

// serveRounds runs n rounds. Each makes k requests with new keys and ends all attempts in flight after
// responseMs, including those of requests that were queued in the previous round.
func (h *harness) serveRounds(n, k int, responseMs float64) {
	var inFlight []*balancer.Action
	collect := func(actions []balancer.Action) {
		for i := range actions {
			if actions[i].Kind == balancer.ActionForward {
				inFlight = append(inFlight, &actions[i])
			}
		}
	}
	for range n {
		for range k {
			_, actions := h.request(idempotentClass, h.random.Uint64()|1)
			collect(actions)
		}
		h.now += responseMs
		ending := inFlight
		inFlight = nil
		for _, a := range ending {
			collect(h.endAttempt(a.Request, 0, a.Server, balancer.StatusOK, responseMs))
		}
		collect(h.advance(0))
	}
}
