package dispatch

import (
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// requestTable has the requests that have no final response, or an attempt in flight.
type requestTable struct {
	lastID    balancer.RequestID
	byID      map[balancer.RequestID]*request
	openCount int // requests without a final response, also those that are not in byID yet
}

func newRequestTable() *requestTable {
	return &requestTable{byID: map[balancer.RequestID]*request{}}
}

// open numbers and counts a client's request, which is not in the table yet.
func (t *requestTable) open(incoming *message.Request) *request {
	t.lastID++
	t.openCount++
	incoming.DispatchID = t.lastID
	return &request{id: t.lastID, incoming: incoming}
}

// forgetFinished drops a request that has its final response once no attempt is in flight.
func (t *requestTable) forgetFinished(r *request) {
	if r.closed && r.inFlight == 0 {
		delete(t.byID, r.id)
	}
}
