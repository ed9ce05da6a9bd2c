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
	// handshakeRoundTrips is the number of round trips that a new connection takes before its first request.
	handshakeRoundTrips = 2
	// delaysPerRoundTrip is the number of one-way delays in a round trip.
	delaysPerRoundTrip = 2
)

// connStateOf returns the state of the connection on which a request arrived, or nil if it has none.
func connStateOf(r *http.Request) *connState {
	state, _ := r.Context().Value(connStateKey{}).(*connState)
	return state
}

// chargeHandshake adds the delay and the work of the handshake to the first request on a connection.
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

// roundTrip returns the network delay of a round trip between the clients' zone and the server.
func (s *server) roundTrip(clientZone int) time.Duration {
	return delaysPerRoundTrip * s.emulator.zoneDelay(clientZone, s.zone)
}

// handleHealthCheck answers a health check: with status 503 if the server is draining, with 200 otherwise.
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

// reject responds that the request was not executed.
func (s *server) reject(rw http.ResponseWriter, reason string) {
	s.rejected.Add(1)
	rw.Header().Set("Not-Started", "1")
	http.Error(rw, reason, http.StatusServiceUnavailable)
}

// handleRequest serves an attempt and records it in the client's request for Judge.
func (s *server) handleRequest(rw http.ResponseWriter, r *http.Request, clientZone int) {
	started := s.emulator.Now()
	id := r.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(rw, r)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return // the request is incomplete
	}
	request := s.emulator.findRequest(id)
	if request == nil || path.Base(r.URL.Path) != request.pathKey() || r.Method != request.method() {
		s.emulator.recordUnknownRequest()
		http.Error(rw, "no client sent this request", http.StatusBadRequest)
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

// execute serves a request that has been read completely and returns the outcome of the attempt.
func (s *server) execute(rw http.ResponseWriter, r *http.Request, request *liveRequest) Outcome {
	s.checkSlowStart(request)
	if state := connStateOf(r); s.draining.Load() || state != nil && state.overLimit {
		s.reject(rw, "draining, or too many connections")
		return AttemptRejected
	}
	if s.emulator.isDuplicate(s.endpoint.Cell, request) {
		_, _ = io.WriteString(rw, duplicateResponse(request.record.ID)) // dropping the duplicate counts as serving it
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

// checkSlowStart counts a request toward the overload limit of a server in slow start and stops the server if it is
// overloaded.
func (s *server) checkSlowStart(request *liveRequest) {
	notified := s.emulator.notifiedOfStart(request.agent, s.endpoint.ID)
	if overloaded, byNotified := s.machine.recordArrival(request.work.Seconds(), notified); overloaded {
		s.emulator.failOverloadedServer(s, byNotified)
	}
}

// servedResponse returns the body of the response to an executed request.
func servedResponse(id string) string { return fmt.Sprintf("%s done", id) }

// duplicateResponse returns the body of the response to a dropped duplicate.
func duplicateResponse(id string) string { return fmt.Sprintf("%s repeated", id) }
