package policy

import (
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// shareDecay is the factor of the exponential decay by which earlier requests weigh less with each
	// new one: the shares of the classes are those of about the last 500 requests.
	shareDecay = 0.998
	// expectedSmoothing is the weight of one response in the expected response time of its class.
	expectedSmoothing = 4 * fleetSmoothing
	// initialLatency is the mean latency that is expected of a class without responses, as a fraction of
	// its objective.
	initialLatency = maxMeanLatency / 2
)

// class is what is known of one class of requests. Requests that came under other rules than those
// in force have a class value of their own.
type class struct {
	balancer.Class
	expectedMs       float64 // moving mean of response times
	requestShare     float64 // part of all recent requests
	inTimeShare      float64 // recent requests that met the objective, as a part of all requests
	longestTimeoutMs float64 // the longest time that a client gave one request
}

// classTable holds the statistics of the classes in force.
type classTable struct {
	classes        []*class // in the order of the settings
	worst          *class   // the class with the smallest part of its recent requests served in time
	meanWeight     float64  // mean priority weight of a request
	minObjectiveMs float64  // the shortest latency objective
}

// replace puts classes in force; what was learned of a class of the same name stays.
func (t *classTable) replace(rules []balancer.Class) {
	var classes []*class
	t.minObjectiveMs = math.Inf(1)
	for _, r := range rules {
		classes = append(classes, t.find(r))
		t.minObjectiveMs = min(t.minObjectiveMs, r.LatencyObjectiveMs)
	}
	t.classes = classes
	t.worst = classes[0]
}

// find returns the class with these rules. Where there is none it returns a new one, with the
// statistics of the class of that name if there is one; the new one is not added.
func (t *classTable) find(rules balancer.Class) *class {
	found := &class{
		Class:        rules,
		expectedMs:   rules.LatencyObjectiveMs * initialLatency,
		requestShare: 1,
		inTimeShare:  1,
	}
	for _, c := range t.classes {
		if c.Class == rules {
			return c
		}
		if c.Name == rules.Name {
			found.expectedMs = c.expectedMs
			found.requestShare = c.requestShare
			found.inTimeShare = c.inTimeShare
		}
	}
	return found
}

// countRequest updates the shares of the classes by a request of one of them, and the worst class.
func (t *classTable) countRequest(of *class) {
	t.meanWeight = 0
	for _, c := range t.classes {
		c.requestShare *= shareDecay
		c.inTimeShare *= shareDecay
		if c == of {
			c.requestShare += 1 - shareDecay
		}
		t.meanWeight += c.requestShare * c.PriorityWeight
		if c.inTimeShare*t.worst.requestShare < t.worst.inTimeShare*c.requestShare {
			t.worst = c
		}
	}
}

// countObjectiveMet counts a response that met the class's latency objective.
func (c *class) countObjectiveMet() { c.inTimeShare += 1 - shareDecay }

// recordResponseTime counts a response time, in milliseconds, into the mean of the class.
func (c *class) recordResponseTime(responseMs float64) {
	bounded := min(responseMs, maxLatency*c.LatencyObjectiveMs)
	c.expectedMs = movingMean(c.expectedMs, bounded, expectedSmoothing)
}

// latency is a response time as a fraction of the class's objective, at most maxLatency.
func (c *class) latency(responseMs float64) float64 {
	return min(responseMs/c.LatencyObjectiveMs, maxLatency)
}
