package policy

const (
	// shedWindow is the number of finished requests over which the served fraction is measured.
	shedWindow = 20.0
	// initialFinished is the number of requests that a new shedder counts as already served in time.
	initialFinished = shedWindow / 2
	// shedFactor is the inverse of the served fraction below which the agent sheds load.
	shedFactor = 1.5
	// maxShedFraction is the maximum fraction of arriving requests to shed.
	maxShedFraction = 0.8
)

// loadShedder measures the served fraction and derives from it the fraction of requests to reject on
// arrival. If many requests are served too late, the servers are overloaded and waste much of their work,
// and recover only under less load. An agent with little traffic cannot detect the overload of a single
// server, but it can measure its own served fraction.
type loadShedder struct {
	finished float64 // number of finished requests, with exponential decay over shedWindow of them
	value    float64 // sum of their values: 1 for a response in time, less for a late one, 0 for none
}

// newLoadShedder returns a shedder that does not shed load yet.
func newLoadShedder() *loadShedder {
	return &loadShedder{finished: initialFinished, value: initialFinished}
}

// fraction returns the fraction of arriving requests to shed.
func (l *loadShedder) fraction() float64 {
	return min(max(l.finished-shedFactor*l.value, 0)/(l.finished+1), maxShedFraction)
}

// recordServed counts a served request; value is the fraction of its priority weight that the response is
// worth, 1 for a response in time.
func (l *loadShedder) recordServed(value float64) { l.recordFinished(value) }

// recordUnserved counts a request that was not served, possibly because of overload: it was shed, its last
// attempt timed out or was rejected, or its client left during an attempt.
func (l *loadShedder) recordUnserved() { l.recordFinished(0) }

// recordFinished counts a finished request with the given value.
func (l *loadShedder) recordFinished(value float64) {
	l.finished += 1 - l.finished/shedWindow
	l.value += value - l.value/shedWindow
}
