// Package policy decides where each request of one agent's client goes: which server, when,
// for how long, whether again, when to give up. Without I/O, clock or goroutines, it takes
// events with a time and gives back actions in order, in the words of package events.
package policy

import (
	"math"
	"math/rand/v2"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// capFactor is c: how far above its even share of the agent's attempts a
	// server may go before a key's request moves on to the next in hash order.
	loadCapFactor = 3.0
	// crowdShare is the part of the aim that a mean answer may take: the rest is for the spread.
	maxMeanLatency = 0.5
	// crowdFactor is how many times the fleet's calm answer time a server's mean may be
	// before it counts as crowded: enough to keep its cores busy, too little to tip it.
	overloadFactor = 1.5
	// calmSamples is the number of answers by which a server's own calm is known.
	baselineSamples = 8
	// lostAfter is how many answer times of its server make an overtaken attempt a lost one.
	lostAfterResponses = 6.0
	// firstWindow is what an unmeasured server may hold of one of many agents, firstShare of all of
	// few, firstRoom of all of many: on two cores it works on six at once, as requests wait for others.
	initialLimit, initialFleetLimit, initialFleetAttempts = 2, 8, 6.0
	// learnFor is the number of answers that first measure calm; until then no window grows.
	baselineResponses = 50
	// leastWindow is left to a server however crowded it is: enough to see when it is not.
	minLimit, severeOverloadFactor = 0.1, 2.5
	// keyWait is the part of its aim that a request may wait for one of the keyServers nearest
	// its key: going on at once would lose the warm key, just when servers are short of time.
	keyWaitFraction, preferredServers = 0.25, 2
	// keyPart is the most of a server's even share that one part of a key may bring, keyMemory
	// the number of requests, for each part there may be, by which a key's share is known.
	maxPartitionShare, keyCountWindow = 0.25, 2.0
	// ownLeast and ownMost bound how much more a server of the agent's own zone weighs in a
	// key's order: crossing takes time and may have a price. ownStep is how fast it moves.
	minZonePreference, maxZonePreference, zonePreferenceStep = 1.5, 8.0, 0.1
	// maxStrikes bounds the doubling of a bad server's hold.
	maxEjectionLevel = 5
	// againShare is the further attempts that a served request earns, againMost the most saved up.
	retryTokensPerResponse, maxRetryTokens = 0.25, 4.0
	// shedMemory is the number of tries by which an agent knows what part of them is served
	// in time; under 1/shedFactor of them it refuses some, never more than shedMost.
	shedWindow, shedFactor, maxShedFraction = 20.0, 1.5, 0.8
	// easeFactor times the mean answer at ease is a crowd at all servers, and so is easeMost of
	// the aim, whatever was ease.
	fleetOverloadFactor, maxFleetLatency = 1.25, 0.6
	// crowdSmooth is the weight of one answer in the part of late that met a crowd.
	overloadSmoothing = 1.0 / 16
	// slowFactor times the mean answer at ease makes a server miss turns: those that tipped
	// take two times as long and more, and recover only with next to nothing to do.
	restFactor = 2.0
	// roomStep is how much the room grows by an answer that met no crowd: a twentieth of itself
	// in an answer time. One attempt more of each agent would be a fifth more of eighty.
	limitStep = 0.05
	// smooth is the weight of one answer in a server's mean, slowSmooth in a fleet-wide one.
	serverSmoothing, fleetSmoothing = 0.2, 0.005
	// fade lets requests count less for shares with age, over about 500. wholeTime is the part of
	// the time for all tries by which one is known to have it all.
	shareDecay, fullTimeoutFraction = 0.998, 0.95
	// maxHeld bounds the requests held for room, and so the work of a decision.
	maxQueued = 512
	// coldBurst bounds what a cold server's credit saves up, in mean requests: all
	// agents may spend theirs at once, and the budget is counted over a short time.
	maxSlowStartCredit = 1.0
	// coldMargin is what an even share may cost a cold server, in its present capacity: the
	// warm ones save up to three quarters of the work by the keys they know.
	slowStartMargin = 4.0
	// callGap is the time in ms that each agent's call for the list takes of the spread, callMost the
	// most of that: given up after 2.25 s, a silent call's news counts as told 6 s after its start.
	pollSpacingMs, maxPollDelayMs = 50.0, 2500.0
	// probeCap bounds the probes under way, probeShare those for each request.
	maxHealthChecks, checkTokensPerRequest = 2, 0.1

	tickToken, pollToken = 1, 2
)

// New returns the balancer of one agent, or an error that names the setting
// that makes no sense. All its randomness comes from the seed.
func New(set balancer.Settings, seed uint64) (*Balancer, error) {
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, splitmix64(seed))),
		byAddress: map[balancer.Addr]*server{},
		requests:  map[balancer.RequestID]*request{}, keyCounts: map[uint64]float64{},
		checkTokens:    maxHealthChecks,
		zonePreference: minZonePreference, retryTokens: maxRetryTokens, finished: shedWindow / 2,
		earned:      shedWindow / 2,
		lastFetchAt: math.Inf(-1)}
	return b, b.Retune(set)
}

// Retune puts settings in force, or returns an error that names the one that makes no sense.
// What was learned stays, and requests that are open keep their classes' rules.
func (b *Balancer) Retune(set balancer.Settings) error {
	if err := set.Validate(); err != nil {
		return err
	}
	var classes []*class
	b.minObjectiveMs = math.Inf(1)
	for _, c := range set.Classes {
		classes = append(classes, b.classOf(c))
		b.minObjectiveMs = min(b.minObjectiveMs, c.LatencyObjectiveMs)
	}
	b.settings, b.classes, b.worst = set, classes, classes[0]
	b.restarts++ // what counts as cold may have changed
	return nil
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []balancer.Action) []balancer.Action {
	b.now, b.actions = now, out
	b.schedulePoll()
	return b.actions
}

// Handle takes one event and appends the actions it calls for to out. Events
// for what is finished or unknown are ignored.
func (b *Balancer) Handle(now float64, event *balancer.Event, out []balancer.Action) []balancer.Action {
	b.now, b.actions = now, out
	ev := event.Finite()
	switch ev.Kind {
	case balancer.EventRequest:
		b.onRequest(ev)
	case balancer.EventAttemptDone:
		b.onAttemptDone(ev)
	case balancer.EventRequestSent:
		b.onRequestSent(ev)
	case balancer.EventResponseStarted:
		if a := b.attemptOf(ev); a != nil && !a.request.closed {
			a.request.responseStarted, a.server.lastResponseAt = true, now
		}
	case balancer.EventClientGone:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.rememberUnserved(r)
			if r.inFlight > 0 {
				b.recordFinished(0)
			}
			b.close(r)
		}
	case balancer.EventList:
		b.onList(ev)
	case balancer.EventHealthCheckDone:
		b.onHealthCheckDone(ev)
	case balancer.EventTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.setTick()
	return b.actions
}

func (b *Balancer) emit(a balancer.Action) { b.actions = append(b.actions, a) }

// arm keeps one timer running while there is something to watch.
func (b *Balancer) setTick() {
	if !b.ticking && (len(b.queued) > 0 || b.inFlight > 0) {
		b.ticking = true
		b.emit(balancer.Action{Kind: balancer.ActionSetTimer, Ms: max(2*b.settings.RoundTripMs, 5),
			Token: tickToken})
	}
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case pollToken:
		b.pollScheduled = false
		b.emit(balancer.Action{Kind: balancer.ActionWatchList})
	case tickToken:
		b.ticking = false
		b.ejectUnresponsive()
		b.expire()
	}
}
