package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"path"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxBodyBytes bounds how much of a request's body is read.
const maxBodyBytes = 1 << 20

const (
	// handshakeRoundTrips is how many round trips a new connection takes before its first request is served.
	handshakeRoundTrips = 2
	// delaysPerRoundTrip is how many one-way delays a round trip has.
	delaysPerRoundTrip = 2
)

// serverConfig describes a server to be started.
type serverConfig struct {
	endpoint  endpoint.Endpoint // as listed, without the address
	zone      int
	model     Model
	started   time.Duration // below zero: long ago
	addresses []string      // by the zone of the agents that use it
	seed      uint64
}

// server is a server process on sockets: a listener for the agents of each zone, each at an address of its own, in
// front of one machine.
type server struct {
	emulator    *Emulator
	endpoint    endpoint.Endpoint // as listed, without the address
	zone        int
	addresses   []string // by the zone of the agents that use it
	listeners   []*partitionListener
	httpServers []*http.Server
	machine     *machine
	draining    atomic.Bool
	stopped     atomic.Bool

	handshakes, healthChecks, requests, rejected atomic.Uint64
}

// connStateKey is the context key of a connection's connState.
type connStateKey struct{}

// connState is what a server knows of a connection.
type connState struct {
	excess        bool // the connection exceeds the model's bound
	handshakePaid atomic.Bool
}

// connStateOf returns the state of the connection that a request came on, or nil.
func connStateOf(r *http.Request) *connState {
	state, _ := r.Context().Value(connStateKey{}).(*connState)
	return state
}

// newServer starts a server process; the emulator's background group waits for its goroutines.
func newServer(e *Emulator, config serverConfig) (*server, error) {
	s := &server{emulator: e, endpoint: config.endpoint, zone: config.zone, addresses: config.addresses}
	for clientZone, address := range config.addresses {
		listener, err := newPartitionListener(address)
		if err != nil {
			s.stop()
			return nil, err
		}
		s.listeners = append(s.listeners, listener)
		s.httpServers = append(s.httpServers, s.newHTTPServer(clientZone, config.model.MaxConnections))
	}
	s.machine = newMachine(e, config.model, config.started, config.seed)
	for i := range s.httpServers {
		e.background.Add(1)
		go func() {
			defer e.background.Done()
			s.listen(i)
		}()
	}
	return s, nil
}

// endpointFor returns the server's entry in the endpoint list for the agents of a zone.
func (s *server) endpointFor(agentZone int) endpoint.Endpoint {
	entry := s.endpoint
	entry.Addr = s.addresses[agentZone]
	return entry
}

// newHTTPServer returns the HTTP server for the agents of a zone.
func (s *server) newHTTPServer(clientZone, maxConnections int) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/healthy", s.handleHealthCheck)
	mux.HandleFunc("/api/", func(rw http.ResponseWriter, r *http.Request) { s.handleRequest(rw, r, clientZone) })
	return &http.Server{
		Handler:     mux,
		ErrorLog:    log.New(io.Discard, "", 0),
		IdleTimeout: s.emulator.config.KeepAlive,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			state := &connState{excess: maxConnections > 0 && s.openConnections() > maxConnections}
			return context.WithValue(ctx, connStateKey{}, state)
		},
	}
}

// listen serves one listener until it is closed.
func (s *server) listen(i int) {
	err := s.httpServers[i].Serve(s.listeners[i])
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.emulator.recordError(err)
	}
}

// openConnections returns the number of open connections from all zones.
func (s *server) openConnections() (n int) {
	for _, l := range s.listeners {
		n += l.openConnections()
	}
	return n
}

// stop ends the process: connections are reset, new ones refused, work stops.
func (s *server) stop() {
	s.stopped.Store(true)
	for _, l := range s.listeners {
		l.stop()
	}
	for _, h := range s.httpServers {
		_ = h.Close() // its listener is closed already
	}
	if s.machine != nil {
		s.machine.stop()
	}
}

// setPartitioned begins or ends a partition of the server from the agents of some zones.
func (s *server) setPartitioned(partitioned bool, agentZones []int) {
	for _, zone := range agentZones {
		s.listeners[zone].setPartitioned(partitioned)
	}
}

// chargeHandshake lets the first request on a connection take the time and the work of the handshake.
func (s *server) chargeHandshake(r *http.Request, clientZone int) {
	state := connStateOf(r)
	if state == nil || state.handshakePaid.Swap(true) {
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
	if request == nil || path.Base(r.URL.Path) != request.keyText() || r.Method != request.method() {
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
	if state := connStateOf(r); s.draining.Load() || state != nil && state.excess {
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
	case failedAtOnce:
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
		s.emulator.serverOverloaded(s, byNotified)
	}
}

// servedResponse is the body of the response to an executed request.
func servedResponse(id string) string { return fmt.Sprintf("%s done", id) }

// duplicateResponse is the body of the response to a dropped duplicate.
func duplicateResponse(id string) string { return fmt.Sprintf("%s repeated", id) }

// ServerMetrics are a server's counts over a run.
type ServerMetrics struct {
	Server       string `json:"Node"`
	Requests     uint64 `json:"Requests"`
	Rejected     uint64 `json:"Turned"`
	Handshakes   uint64 `json:"Handshakes"`
	HealthChecks uint64 `json:"Probes"`
	// WorkReceived is the work of all requests, in seconds of a standard core.
	WorkReceived float64 `json:"Work"`
	// BusyCoreSeconds is the time that the cores computed, in seconds of one core.
	BusyCoreSeconds float64 `json:"Busy"`
	// SlowStartLoad is the highest load in slow start, as a fraction of the overload limit: above 1 the server
	// failed.
	SlowStartLoad float64 `json:"Cold"`
}

// metrics returns the server's counts so far.
func (s *server) metrics() ServerMetrics {
	s.machine.mu.Lock()
	defer s.machine.mu.Unlock()
	return ServerMetrics{
		Server:          s.endpoint.ID,
		Requests:        s.requests.Load(),
		Rejected:        s.rejected.Load(),
		Handshakes:      s.handshakes.Load(),
		HealthChecks:    s.healthChecks.Load(),
		WorkReceived:    s.machine.workReceived,
		BusyCoreSeconds: s.machine.engine.busyCoreSeconds,
		SlowStartLoad:   s.machine.peakSlowStartLoad,
	}
}
