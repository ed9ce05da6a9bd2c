package emulator

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// serverConfig describes a server to start.
type serverConfig struct {
	endpoint  endpoint.Endpoint // entry in the endpoint list, without the address
	zone      int
	model     Model
	started   time.Duration // longAgo if the server has no slow start
	addresses []string      // one for the agents of each zone
	seed      uint64
}

// server emulates a server process. It has one machine and, for the agents of each zone, a listener with its own
// address.
type server struct {
	emulator    *Emulator
	endpoint    endpoint.Endpoint // entry in the endpoint list, without the address
	zone        int
	addresses   []string // one for the agents of each zone
	listeners   []*partitionListener
	httpServers []*http.Server
	machine     *machine
	draining    atomic.Bool
	stopped     atomic.Bool

	handshakes, healthChecks, requests, rejected atomic.Uint64
}

// connStateKey is the context key of a connection's connState.
type connStateKey struct{}

// connState is a server's state of a connection.
type connState struct {
	overLimit        bool // the connection exceeds the model's MaxConnections
	handshakeCharged atomic.Bool
}

// newServer starts a server. The emulator's background group waits for its goroutines.
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
			s.serve(i)
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

// newHTTPServer returns the HTTP server for the agents of a zone. A maxConnections of 0 means no bound.
func (s *server) newHTTPServer(clientZone, maxConnections int) *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/healthy", s.handleHealthCheck)
	mux.HandleFunc("/api/", func(rw http.ResponseWriter, r *http.Request) { s.handleRequest(rw, r, clientZone) })
	return &http.Server{
		Handler:     mux,
		ErrorLog:    log.New(io.Discard, "", 0),
		IdleTimeout: s.emulator.config.KeepAlive,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			state := &connState{overLimit: maxConnections > 0 && s.openConnections() > maxConnections}
			return context.WithValue(ctx, connStateKey{}, state)
		},
	}
}

// serve handles the connections of listener i until it is closed.
func (s *server) serve(i int) {
	err := s.httpServers[i].Serve(s.listeners[i])
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		s.emulator.recordError(err)
	}
}

// openConnections returns the number of open connections of all listeners.
func (s *server) openConnections() (n int) {
	for _, l := range s.listeners {
		n += l.openConnections()
	}
	return n
}

// stop ends the server: it resets open connections, refuses new ones, and stops all work.
func (s *server) stop() {
	s.stopped.Store(true)
	for _, l := range s.listeners {
		l.stop()
	}
	for _, h := range s.httpServers {
		_ = h.Close() // its listener is already closed
	}
	if s.machine != nil {
		s.machine.stop()
	}
}
