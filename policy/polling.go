package policy

import (
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// pollSpacingMs is how far apart in time the agents' calls for the endpoint list are spread, in
	// milliseconds for each agent.
	pollSpacingMs = 50.0
	// maxPollDelayMs bounds the spread, in milliseconds. A call without a response is given up after
	// 2.25 s, so an agent has its change 6 s after the start of such a call.
	maxPollDelayMs = 2500.0
	// maxPollDelayFraction is the part of the time within which a call is due that its delay may take.
	maxPollDelayFraction = 0.5
	// minPollSpread is the least spread, in multiples of the shortest latency objective.
	minPollSpread = 2
	// pollBackoffFactor is the factor by which each failed call in a row multiplies the spread.
	pollBackoffFactor = 2
	// minFetchIntervalMs is the least time between two fetches of the complete list.
	minFetchIntervalMs = 1000
)

// listPoller schedules the calls for the endpoint list.
type listPoller struct {
	env         *environment
	classes     *classTable
	lastFetchAt float64 // time of the last fetch of the complete list, in milliseconds
	failures    int     // failed calls in a row
	scheduled   bool    // the timer of the next call runs
}

// newListPoller returns a poller that has not called yet.
func newListPoller(env *environment, classes *classTable) *listPoller {
	return &listPoller{env: env, classes: classes, lastFetchAt: math.Inf(-1)}
}

// schedule sets the timer of the next call for changes, after a random delay, so that agents which
// start or fail together are spread over a time in proportion to their number, doubled with each
// failure in a row. One call is under way at a time, whatever else fails meanwhile.
func (p *listPoller) schedule() {
	settings := &p.env.settings
	if settings.DiscoveryMode != balancer.DiscoveryOnRequest || p.scheduled {
		return
	}
	p.scheduled = true
	maxDelayMs := min(settings.Contract.PollWithinMs*maxPollDelayFraction, maxPollDelayMs)
	backoff := math.Pow(pollBackoffFactor, float64(p.failures))
	spreadMs := pollSpacingMs * float64(settings.FleetSize) * backoff
	delayMs := p.env.random.Float64() * min(max(spreadMs, minPollSpread*p.classes.minObjectiveMs), maxDelayMs)
	p.env.emit(balancer.Action{Kind: balancer.ActionSetTimer, Ms: delayMs, Token: pollTimer})
}

// poll makes the scheduled call.
func (p *listPoller) poll() {
	p.scheduled = false
	p.env.emit(balancer.Action{Kind: balancer.ActionWatchList})
}

// recordFailure counts a failed call and schedules the next.
func (p *listPoller) recordFailure() {
	p.failures++
	p.schedule()
}

// recordSuccess counts a call that brought the list or a change.
func (p *listPoller) recordSuccess() { p.failures = 0 }

// fetch asks for the complete list, rarely: watch events are as fresh. Where agents call discovery
// it does nothing: on one server's first failures all agents would call, and their complete lists
// would delay the calls that bring changes.
func (p *listPoller) fetch() {
	settings := &p.env.settings
	interval := max(settings.Contract.PollWithinMs, minFetchIntervalMs)
	if settings.DiscoveryMode == balancer.DiscoveryOnRequest || !(p.env.now-p.lastFetchAt >= interval) {
		return
	}
	p.lastFetchAt = p.env.now
	p.env.emit(balancer.Action{Kind: balancer.ActionFetchList})
}
