package policy

import (
	"cmp"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// maxQueued is the most requests that may be queued; it bounds the work of a decision.
const maxQueued = 512

// requestQueue holds the requests that wait for capacity.
type requestQueue struct {
	env      *environment
	classes  *classTable
	requests []*request
	// saturated tells that in the last dispatch requests which may go to any server found no capacity.
	saturated bool
}

// add queues a request.
func (q *requestQueue) add(r *request) { q.requests = append(q.requests, r) }

// remove takes a request out of the queue, if it is there.
func (q *requestQueue) remove(r *request) {
	q.requests = slices.DeleteFunc(q.requests, func(other *request) bool { return other == r })
}

// removeAt takes the request at an index out of the queue.
func (q *requestQueue) removeAt(i int) { q.requests = slices.Delete(q.requests, i, i+1) }

// last is the request of the lowest priority, after sort.
func (q *requestQueue) last() *request { return q.requests[len(q.requests)-1] }

// sort orders the queue by priority; of equals the newest comes first, as under overload the oldest
// would only be served late.
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

// priority is what a unit of server time for the request adds to the value of the objective: a part of
// the total and, if it is of the class served worst, all of that class's part.
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

// isExpired reports whether a response to a queued request would come too late to be of use. While
// capacity is short, a request that can only be late is passed over for newer ones until its deadline,
// so it counts as expired at once.
func (q *requestQueue) isExpired(r *request) bool {
	latestResponse := r.objectiveAt
	if r.class.LateFraction > 0 && !q.saturated {
		latestResponse = r.deadline
	}
	return q.env.now+r.class.expectedMs > latestResponse || q.env.now >= r.deadline
}
