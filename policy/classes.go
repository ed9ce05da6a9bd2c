package policy

import (
	"math"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// shareDecay is the factor by which each new request reduces the weight of the earlier ones in the
	// shares of the classes, so that the shares cover about the last 500 requests.
	shareDecay = 0.998
	// expectedSmoothing is the weight of one response in the mean response time of its class.
	expectedSmoothing = 4 * fleetSmoothing
	// initialLatency is the expected mean latency of a class without responses, as a fraction of its
	// latency objective.
	initialLatency = maxMeanLatency / 2
)

// class holds the rules and the statistics of one class of requests. Requests with other rules than those
// in force have a separate class value.
type class struct {
	balancer.Class
	expectedMs       float64 // moving mean of response times
	measured         bool    // expectedMs includes a response
	requestShare     float64 // fraction of all recent requests that are of this class
	inTimeShare      float64 // fraction of all recent requests that are of this class and met its objective
	longestTimeoutMs float64 // longest remaining time of any request at its arrival
}

// classTable holds the statistics of the classes in force.
type classTable struct {
	classes        []*class // in the order of the settings
	worst          *class   // class with the smallest fraction of its recent requests served in time
	meanWeight     float64  // mean priority weight of a request
	minObjectiveMs float64  // shortest latency objective
}

// replace puts classes in force. A class keeps the statistics of the previous class of the same name.
func (t *classTable) replace(rules []balancer.Class) {
	var classes []*class
	t.minObjectiveMs = math.Inf(1)
	for _, r := range rules {
		classes = append(classes, t.findOrNew(r))
		t.minObjectiveMs = min(t.minObjectiveMs, r.LatencyObjectiveMs)
	}
	t.classes = classes
	t.worst = classes[0]
}

// findOrNew returns the class with the given rules. If there is none, it returns a new one with the
// statistics of the class of the same name, if any, without adding it to the table.
func (t *classTable) findOrNew(rules balancer.Class) *class {
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
			if c.measured {
				found.expectedMs = c.expectedMs
				found.measured = true
			}
			found.requestShare = c.requestShare
			found.inTimeShare = c.inTimeShare
		}
	}
	return found
}

// countRequest updates the shares of all classes, the mean weight and the worst class for a new request.
func (t *classTable) countRequest(counted *class) {
	t.meanWeight = 0
	for _, c := range t.classes {
		c.requestShare *= shareDecay
		c.inTimeShare *= shareDecay
		if c == counted {
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

// recordResponseTime adds a response time, in milliseconds, to the mean of the class.
func (c *class) recordResponseTime(responseMs float64) {
	c.measured = true
	bounded := min(responseMs, maxLatency*c.LatencyObjectiveMs)
	c.expectedMs = movingMean(c.expectedMs, bounded, expectedSmoothing)
}

// latency returns a response time as a fraction of the latency objective of the class, at most maxLatency.
func (c *class) latency(responseMs float64) float64 {
	return min(responseMs/c.LatencyObjectiveMs, maxLatency)
}
