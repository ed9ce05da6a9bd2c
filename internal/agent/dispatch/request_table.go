package dispatch

import (
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/requestids"
	"fernbeam.example/fernbeam/internal/balancer"
)

// requestTable holds the requests that are not closed or have an attempt in flight.
type requestTable struct {
	lastID balancer.RequestID
	byID   map[balancer.RequestID]*request
	// byClientID has the open requests that must not execute twice, by the ids that their clients gave them.
	byClientID map[string]*request
	clientIDs  *requestids.Registry // has the ids of byClientID too, for other processes
	openCount  int                  // requests that are not closed, including those not in byID yet
}

func newRequestTable(clientIDs *requestids.Registry) *requestTable {
	return &requestTable{
		byID:       map[balancer.RequestID]*request{},
		byClientID: map[string]*request{},
		clientIDs:  clientIDs,
	}
}

// open assigns an id to a client's request and counts it, without adding it to byID.
func (t *requestTable) open(incoming *message.Request) *request {
	t.lastID++
	t.openCount++
	incoming.DispatchID = t.lastID
	return &request{id: t.lastID, incoming: incoming}
}

// add adds an open request.
func (t *requestTable) add(r *request) {
	t.byID[r.id] = r
	if !safeToRetryAnywhere(r.incoming.Rules) {
		t.byClientID[r.incoming.ID] = r
		t.clientIDs.Begin(r.incoming.ID, time.Now())
	}
}

// close marks a request as closed.
func (t *requestTable) close(r *request) {
	if r.closed {
		return
	}
	r.closed = true
	t.openCount--
	if t.byClientID[r.incoming.ID] == r {
		delete(t.byClientID, r.incoming.ID)
		t.clientIDs.End(r.incoming.ID)
	}
}

// forgetFinished removes a request that is closed and has no attempt in flight.
func (t *requestTable) forgetFinished(r *request) {
	if r.closed && r.inFlight == 0 {
		delete(t.byID, r.id)
	}
}
