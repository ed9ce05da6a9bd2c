package policy

import (
	"cmp"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// maxQueued is the maximum number of queued requests. It bounds the work of one dispatch.
const maxQueued = 512

// requestQueue holds the requests that wait for a server with capacity.
type requestQueue struct {
	env      *environment
	classes  *classTable
	requests []*request
	// saturated is true if in the last dispatch a request that may go to any server found no capacity.
	saturated bool
}

// add queues a request.
func (q *requestQueue) add(r *request) { q.requests = append(q.requests, r) }

// remove removes a request from the queue, if it is queued.
func (q *requestQueue) remove(r *request) {
	q.requests = slices.DeleteFunc(q.requests, func(other *request) bool { return other == r })
}

// removeAt removes the request at index i from the queue.
func (q *requestQueue) removeAt(i int) { q.requests = slices.Delete(q.requests, i, i+1) }

// last returns the last request of the queue; after sort it has the lowest priority.
func (q *requestQueue) last() *request { return q.requests[len(q.requests)-1] }

// sort orders the queue by descending priority. Among requests of equal priority the newest comes first:
// under overload the oldest have already waited so long that they would be served late anyway.
func (q *requestQueue) sort() {
	for _, r := range q.requests {
		r.priority = q.priority(r)
	}
	slices.SortFunc(q.requests, func(x, y *request) int {
		return cmp.Or(
			cmp.Compare(y.priority, x.priority),
			cmp.Compare(y.arrivedAt, x.arrivedAt),
			cmp.Compare(x.id, y.id),
		)
	})
}

// priority returns the value that a unit of server time spent on the request adds to the objective. That is
// the value for the total and, if the request is of the worst-served class, also the value for that class.
func (q *requestQueue) priority(r *request) float64 {
	settings := &q.env.settings
	objective := &settings.Objective
	priority := r.class.PriorityWeight * (objective.Total + objective.WorstWindow)
	if r.class == q.classes.worst {
		priority += objective.WorstClass * q.classes.meanWeight / r.class.requestShare
	}
	if q.env.now+r.class.expectedMs > r.objectiveAt {
		priority *= r.class.LateFraction + settings.Costs.LateFailure
	}
	if settings.WeightBy != balancer.WeightByWork {
		priority /= r.class.expectedMs
	}
	return priority
}

// isExpired reports whether a response to a queued request would come too late to be of use. While the
// queue is saturated, a request that can only be served late counts as expired at once, because newer
// requests would take precedence over it until its deadline passes.
func (q *requestQueue) isExpired(r *request) bool {
	latestResponse := r.objectiveAt
	if r.class.LateFraction > 0 && !q.saturated {
		latestResponse = r.deadline
	}
	return q.env.now+r.class.expectedMs > latestResponse || q.env.now >= r.deadline
}
