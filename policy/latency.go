package policy

import "math"

const (
	// maxMeanLatency is the part of the latency objective that a mean response may take; the rest
	// is left for the spread of the response times.
	maxMeanLatency = 0.5
	// overloadFactor times the baseline latency is the mean latency from which a server is
	// overloaded: enough to keep its cores busy, too little to let its queue grow.
	overloadFactor = 1.5
	// baselineSamples is the number of responses after which a server's own baseline is known.
	baselineSamples = 8
	// baselineResponses is the number of responses of all servers after which their baseline is
	// known; until then no concurrency limit grows.
	baselineResponses = 50
	// maxInitialBaseline bounds the baseline of the first responses: neither one quick response nor an
	// overload at the start may become the baseline.
	maxInitialBaseline = maxMeanLatency / 2
	// fleetOverloadFactor times the unloaded latency, but from minFleetLatency to maxFleetLatency, is
	// the latency that counts as an overload of all servers.
	fleetOverloadFactor = 1.25
	minFleetLatency     = maxMeanLatency / 2
	maxFleetLatency     = 0.6
	// smallFleetAgents is the number of agents for which fleetFactor is 2, and a server's latency limit
	// at least half of maxMeanLatency.
	smallFleetAgents = 2
	// maxLatency bounds one latency in all means, as a multiple of the objective.
	maxLatency = 2
	// unloadedSmoothing is the weight of one response in the unloaded latency as it rises.
	unloadedSmoothing = fleetSmoothing / 10
	// minBaselineDelay and maxBaselineDelay bound how many times slower than fleetSmoothing the
	// baseline rises. In between the delay grows by baselineDelayExponent with the fleet size.
	minBaselineDelay      = 2
	maxBaselineDelay      = 250
	baselineDelayExponent = 3
)

// objectiveOutcome reports whether a response met the latency objective of its request.
type objectiveOutcome bool

// The values of objectiveOutcome.
const (
	objectiveMet    objectiveOutcome = true
	objectiveMissed objectiveOutcome = false
)

// latencyBaselines holds what response times are normal. Latencies are fractions of the latency
// objective of the request's class.
type latencyBaselines struct {
	env       *environment
	responses float64 // number of responses so far
	mean      float64 // moving mean of all servers
	unloaded  float64 // the least that the mean has recently been
	baseline  float64 // mean latency without overload
}

// known reports whether enough responses have been seen to recognize an overload.
func (l *latencyBaselines) known() bool { return l.responses >= baselineResponses }

// record counts a response of any server. soleAtServer tells that no other attempt of this agent was
// in flight at the server.
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

// riseSmoothing is the weight of one response in the baseline as it rises: small, or an overload
// would become the baseline. A response to the sole attempt at its server says more the fewer
// agents there are: a single agent that took quick first responses for the baseline would
// leave its servers idle for good.
func (l *latencyBaselines) riseSmoothing(soleAtServer bool) float64 {
	if soleAtServer {
		delay := minBaselineDelay * math.Pow(l.env.fleetSize(), baselineDelayExponent)
		return fleetSmoothing / min(delay, maxBaselineDelay)
	}
	return fleetSmoothing / maxBaselineDelay
}

// serverLimit is the mean latency above which the server counts as overloaded. Few agents each see
// much of the load, and need not fear to overload a server that responds well within the objective;
// too low a baseline would leave it idle. A server in slow start, with slowStartFraction of its
// capacity, is slow before it is overloaded.
func (l *latencyBaselines) serverLimit(s *server, slowStartFraction float64) float64 {
	least := smallFleetAgents * maxMeanLatency / (smallFleetAgents + float64(l.env.settings.FleetSize))
	limit := max(overloadFactor*max(l.baseline, s.baseline), least)
	return min(maxMeanLatency, limit) / slowStartFraction
}

// fleetLimit is the latency above which a response counts as one of overloaded servers: with the
// usual spread of response times, at a mean of 1.5 times that without load. Of few agents each sees its
// servers often, and the servers' own limits have to react to an overload first.
func (l *latencyBaselines) fleetLimit() float64 {
	limit := min(max(fleetOverloadFactor*l.unloaded, minFleetLatency), maxFleetLatency)
	return limit * l.fleetFactor()
}

// fleetFactor is how much later one of few agents reacts to what it sees than one of very many.
func (l *latencyBaselines) fleetFactor() float64 { return 1 + smallFleetAgents/l.env.fleetSize() }
