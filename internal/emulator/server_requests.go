package emulator

import (
	"fmt"
	"io"
	"net/http"
	"path"
	"time"
)

// maxBodyBytes bounds how much of a request's body is read.
const maxBodyBytes = 1 << 20

const (
	// handshakeRoundTrips is how many round trips a new connection takes before its first request is served.
	handshakeRoundTrips = 2
	// delaysPerRoundTrip is how many one-way delays a round trip has.
	delaysPerRoundTrip = 2
)

// connStateOf returns the state of the connection that a request came on, or nil.
func connStateOf(r *http.Request) *connState {
	state, _ := r.Context().Value(connStateKey{}).(*connState)
	return state
}

// chargeHandshake lets the first request on a connection take the time and the work of the handshake.
func (s *server) chargeHandshake(r *http.Request, clientZone int) {
	state := connStateOf(r)
	if state == nil || state.handshakeCharged.Swap(true) {
		return
	}
	s.handshakes.Add(1)
	if work := s.machine.engine.model.HandshakeWork; work > 0 {
		s.machine.addBackgroundWork(work.Seconds())
		simulateDelay(handshakeRoundTrips * s.roundTrip(clientZone))
	}
}

// roundTrip returns the network delay of a round trip between a zone and the server.
func (s *server) roundTrip(clientZone int) time.Duration {
	return delaysPerRoundTrip * s.emulator.zoneDelay(clientZone, s.zone)
}

// handleHealthCheck answers a health check, with 503 once the server is draining.
func (s *server) handleHealthCheck(rw http.ResponseWriter, r *http.Request) {
	s.healthChecks.Add(1)
	s.chargeHandshake(r, 0)
	if work := s.machine.engine.model.HealthCheckWork; work > 0 {
		s.machine.addBackgroundWork(work.Seconds())
	}
	if s.draining.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reject answers that the request was not executed.
func (s *server) reject(rw http.ResponseWriter, reason string) {
	s.rejected.Add(1)
	rw.Header().Set("Not-Started", "1")
	http.Error(rw, reason, http.StatusServiceUnavailable)
}

// handleRequest serves one attempt and records it with the client's request, to be judged later.
func (s *server) handleRequest(rw http.ResponseWriter, r *http.Request, clientZone int) {
	started := s.emulator.Now()
	id := r.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(rw, r)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return // the request did not arrive completely
	}
	request := s.emulator.findRequest(id)
	if request == nil || path.Base(r.URL.Path) != request.pathKey() || r.Method != request.method() {
		s.emulator.recordUnknownRequest()
		http.Error(rw, "no client sent this", http.StatusBadRequest)
		return
	}
	s.requests.Add(1)
	attempt := request.addAttempt(Attempt{
		Server:   s.endpoint.ID,
		Zone:     s.zone,
		Cell:     s.endpoint.Cell,
		Started:  started,
		Received: s.emulator.Now(),
		Outcome:  AttemptOpen,
	})
	s.chargeHandshake(r, clientZone)
	simulateDelay(s.roundTrip(clientZone))
	outcome := s.execute(rw, r, request)
	request.endAttempt(attempt, outcome, s.emulator.Now())
}

// execute serves a request that has arrived completely, and returns how the attempt ended.
func (s *server) execute(rw http.ResponseWriter, r *http.Request, request *liveRequest) Outcome {
	s.checkSlowStart(request)
	if state := connStateOf(r); s.draining.Load() || state != nil && state.overLimit {
		s.reject(rw, "draining, or too many connections")
		return AttemptRejected
	}
	if s.emulator.isDuplicate(s.endpoint.Cell, request) {
		_, _ = io.WriteString(rw, duplicateResponse(request.record.ID)) // it counts as served once the server drops it
		return Served
	}
	j, result := s.machine.submit(request.key, request.work.Seconds(), request.dependencyWait)
	switch result {
	case rejectedFull:
		s.reject(rw, "full")
		return AttemptRejected
	case failedImmediately:
		http.Error(rw, "failed", http.StatusInternalServerError)
		return AttemptFailed
	case admitted:
	}
	select {
	case <-j.done:
	case <-r.Context().Done():
		s.machine.cancel(j)
		if s.stopped.Load() {
			return AttemptBroken
		}
		return AttemptCancelled
	}
	if _, err := io.WriteString(rw, servedResponse(request.record.ID)); err != nil {
		return AttemptBroken
	}
	return Served
}

// checkSlowStart counts a request against the limit of a server in slow start, which an overload ends.
func (s *server) checkSlowStart(request *liveRequest) {
	notified := s.emulator.notifiedOfStart(request.agent, s.endpoint.ID)
	if overloaded, byNotified := s.machine.recordArrival(request.work.Seconds(), notified); overloaded {
		s.emulator.failOverloadedServer(s, byNotified)
	}
}

// servedResponse is the body of the response to an executed request.
func servedResponse(id string) string { return fmt.Sprintf("%s done", id) }

// duplicateResponse is the body of the response to a dropped duplicate.
func duplicateResponse(id string) string { return fmt.Sprintf("%s repeated", id) }
