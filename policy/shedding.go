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
	earned   float64 // what they earned: 1 for a response in time, a part for a late one
}

// newLoadShedder returns a shedder that sheds nothing yet.
func newLoadShedder() *loadShedder {
	return &loadShedder{finished: initialFinished, earned: initialFinished}
}

// fraction is the part of arriving requests to reject at once.
func (l *loadShedder) fraction() float64 {
	return min(max(l.finished-shedFactor*l.earned, 0)/(l.finished+1), maxShedFraction)
}

// record counts a finished request and the part of its priority weight that it earned.
func (l *loadShedder) record(part float64) {
	l.finished += 1 - l.finished/shedWindow
	l.earned += part - l.earned/shedWindow
}
