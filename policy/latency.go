package policy

import "math"

const (
	// maxMeanLatency is the maximum mean latency, as a fraction of the latency objective. The rest is
	// reserved for the spread of the response times.
	maxMeanLatency = 0.5
	// overloadFactor is the multiple of the baseline latency above which the mean latency of a server
	// counts as overload. It is high enough to keep the server's cores busy and too low to let its queue
	// grow.
	overloadFactor = 1.5
	// baselineSamples is the number of responses after which the baseline of a single server is known.
	baselineSamples = 8
	// baselineResponses is the number of responses of all servers after which the common baseline is known.
	// Until then the concurrency limits of the servers do not grow.
	baselineResponses = 50
	// maxInitialBaseline is the maximum baseline during the first baselineResponses responses. It keeps an
	// overload at the start from becoming the baseline. A single fast response cannot become the baseline
	// either, because the baseline follows the mean.
	maxInitialBaseline = maxMeanLatency / 2
	// fleetOverloadFactor is the multiple of the unloaded latency above which a response counts towards an
	// overload of all servers. minFleetLatency and maxFleetLatency bound the result.
	fleetOverloadFactor = 1.25
	minFleetLatency     = maxMeanLatency / 2
	maxFleetLatency     = 0.6
	// smallFleetAgents is the number of agents for which fleetFactor is 2, and a server's latency limit
	// at least half of maxMeanLatency.
	smallFleetAgents = 2
	// maxLatency is the maximum of a single latency in all means, as a multiple of the objective.
	maxLatency = 2
	// unloadedSmoothing is the weight of one response in the unloaded latency while that latency rises.
	unloadedSmoothing = fleetSmoothing / 10
	// minBaselineDelay and maxBaselineDelay bound the factor by which the baseline rises more slowly than
	// fleetSmoothing. The factor grows with the fleet size to the power of baselineDelayExponent.
	minBaselineDelay      = 2
	maxBaselineDelay      = 250
	baselineDelayExponent = 3
)

// objectiveOutcome specifies whether a response met the latency objective of its request.
type objectiveOutcome bool

// The values of objectiveOutcome.
const (
	objectiveMet    objectiveOutcome = true
	objectiveMissed objectiveOutcome = false
)

// latencyBaselines estimates the normal latency of the servers. Latencies are fractions of the latency
// objective of the request's class.
type latencyBaselines struct {
	env       *environment
	responses float64 // number of responses so far
	mean      float64 // moving mean of all servers
	unloaded  float64 // recent minimum of the mean
	baseline  float64 // mean latency without overload
}

// known reports whether there have been enough responses to recognize an overload.
func (l *latencyBaselines) known() bool { return l.responses >= baselineResponses }

// record adds the latency of a response of any server. soleAtServer specifies whether no other attempt of
// this agent was in flight at the server.
func (l *latencyBaselines) record(latency float64, soleAtServer bool) {
	l.responses++
	l.mean = movingMean(l.mean, latency, max(fleetSmoothing, 1/l.responses))
	l.unloaded = min(l.mean, movingMean(l.unloaded, l.mean, unloadedSmoothing))
	if !l.known() {
		l.unloaded = l.mean
	}
	switch {
	case l.responses <= baselineResponses:
		l.baseline = min(l.mean, maxInitialBaseline)
	case l.mean < l.baseline:
		l.baseline = movingMean(l.baseline, l.mean, fleetSmoothing)
	default:
		l.baseline = movingMean(l.baseline, l.mean, l.riseSmoothing(soleAtServer))
	}
}

// riseSmoothing returns the weight of one response in the baseline while the baseline rises. The weight is
// small because otherwise an overload would become the baseline. The fewer agents there are, the more weight
// a response to the only attempt at a server has: if the baseline of a single agent stayed at the level of a
// few fast first responses, its servers would be left idle permanently.
func (l *latencyBaselines) riseSmoothing(soleAtServer bool) float64 {
	if soleAtServer {
		delay := minBaselineDelay * math.Pow(l.env.fleetSize(), baselineDelayExponent)
		return fleetSmoothing / min(delay, maxBaselineDelay)
	}
	return fleetSmoothing / maxBaselineDelay
}

// serverLimit returns the mean latency above which the server counts as overloaded. In a small fleet each
// agent sees much of the load and is unlikely to overload a server that responds well within the
// objective, so the limit has a minimum: with too low a baseline the server would be left idle. A server
// in slow start, with slowStartFraction of its capacity, is slow before it is overloaded.
func (l *latencyBaselines) serverLimit(s *server, slowStartFraction float64) float64 {
	least := smallFleetAgents * maxMeanLatency / (smallFleetAgents + float64(l.env.settings.FleetSize))
	limit := max(overloadFactor*max(l.baseline, s.baseline), least)
	return min(maxMeanLatency, limit) / slowStartFraction
}

// fleetLimit returns the latency above which a response counts towards an overload of all servers. With
// the usual spread of response times, most responses exceed it at a mean latency of 1.5 times that
// without load. The limit is higher in a small fleet: there each agent uses each server often, and the limits
// of the individual servers should react to an overload first.
func (l *latencyBaselines) fleetLimit() float64 {
	limit := min(max(fleetOverloadFactor*l.unloaded, minFleetLatency), maxFleetLatency)
	return limit * l.fleetFactor()
}

// fleetFactor returns the factor by which latency limits for all servers are raised. It decreases with the
// fleet size: an agent in a small fleet reacts later than one in a large fleet.
func (l *latencyBaselines) fleetFactor() float64 { return 1 + smallFleetAgents/l.env.fleetSize() }
