package policy

const (
	// shedWindow is the number of finished requests over which the served fraction is measured.
	shedWindow = 20.0
	// initialFinished is the number of requests that a new shedder takes to have been served in time.
	initialFinished = shedWindow / 2
	// shedFactor is the inverse of the served fraction below which load is shed.
	shedFactor = 1.5
	// maxShedFraction is the most of the arriving requests that is rejected at once.
	maxShedFraction = 0.8
)

// loadShedder measures the served fraction and derives from it the part of requests to reject at
// their arrival. Where much is served too late the servers are overloaded and much of their work is
// wasted; only less load lets them recover. An agent with little traffic cannot see the overload of
// a single server, but it does see its own served fraction.
type loadShedder struct {
	finished float64 // finished requests, with exponential decay over shedWindow of them
	value    float64 // sum of their values: 1 for a response in time, less for a late one or none
}

// newLoadShedder returns a shedder that sheds nothing yet.
func newLoadShedder() *loadShedder {
	return &loadShedder{finished: initialFinished, value: initialFinished}
}

// fraction is the part of arriving requests to reject at once.
func (l *loadShedder) fraction() float64 {
	return min(max(l.finished-shedFactor*l.value, 0)/(l.finished+1), maxShedFraction)
}

// recordServed counts a request that was served; value is the part of its priority weight that the
// response earned, 1 for one in time.
func (l *loadShedder) recordServed(value float64) { l.recordFinished(value) }

// recordUnserved counts a request that was not served where overload may be the cause: it was shed, its last
// attempt timed out or was rejected, or its client left during an attempt.
func (l *loadShedder) recordUnserved() { l.recordFinished(0) }

// recordFinished counts a finished request and its value.
func (l *loadShedder) recordFinished(value float64) {
	l.finished += 1 - l.finished/shedWindow
	l.value += value - l.value/shedWindow
}
