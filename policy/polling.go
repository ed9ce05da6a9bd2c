package policy

import (
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// pollSpacingMs is the mean interval between the agents' calls for the endpoint list when all agents
	// start together, in milliseconds.
	pollSpacingMs = 50.0
	// maxPollDelayMs is the maximum spread of the calls, in milliseconds. A call without a response times out
	// after 2.25 s, so an agent gets a change within 6 s of the start of such a call.
	maxPollDelayMs = 2500.0
	// maxPollDelayFraction is the maximum spread as a fraction of the time within which a call is due.
	maxPollDelayFraction = 0.5
	// minPollSpread is the minimum spread, as a multiple of the shortest latency objective.
	minPollSpread = 2
	// pollBackoffFactor is the factor by which each consecutive failed call multiplies the spread.
	pollBackoffFactor = 2
	// minFetchIntervalMs is the minimum interval between two fetches of the full list, in milliseconds.
	minFetchIntervalMs = 1000
)

// listPoller schedules the calls for the endpoint list.
type listPoller struct {
	env         *environment
	classes     *classTable
	lastFetchAt float64 // time of the last fetch of the full list, in milliseconds
	failures    int     // number of consecutive failed calls
	scheduled   bool    // the timer of the next call is running
}

// newListPoller returns a poller that has not called yet.
func newListPoller(env *environment, classes *classTable) *listPoller {
	return &listPoller{env: env, classes: classes, lastFetchAt: math.Inf(-1)}
}

// schedule sets the timer of the next call for changes with a random delay. It spreads the calls of agents
// that start or fail together over a time in proportion to their number, doubled with each consecutive
// failure. If the timer is already running, schedule does nothing, so that there is one call at a time.
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

// poll makes the scheduled call for changes.
func (p *listPoller) poll() {
	p.scheduled = false
	p.env.emit(balancer.Action{Kind: balancer.ActionWatchList})
}

// recordFailure records a failed call and schedules the next one.
func (p *listPoller) recordFailure() {
	p.failures++
	p.schedule()
}

// recordSuccess records a call that returned the list or a change of it.
func (p *listPoller) recordSuccess() { p.failures = 0 }

// fetch calls for the full list. It does so at most once per minimum interval, because watch events are just
// as fresh. If agents poll discovery for changes, fetch does nothing: after the first failures of a server
// all agents would call, and their full lists would delay the calls that return changes.
func (p *listPoller) fetch() {
	settings := &p.env.settings
	interval := max(settings.Contract.PollWithinMs, minFetchIntervalMs)
	if settings.DiscoveryMode == balancer.DiscoveryOnRequest || !(p.env.now-p.lastFetchAt >= interval) {
		return
	}
	p.lastFetchAt = p.env.now
	p.env.emit(balancer.Action{Kind: balancer.ActionFetchList})
}
