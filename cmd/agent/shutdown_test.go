package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// serviceTime is how long the server takes to respond, so that requests are in flight when a signal is sent.
	serviceTime = 20 * time.Millisecond
	// longPath is the path of a request that takes longServiceTime more, so that it ends after connectAfterTerm.
	longPath        = "/api/long"
	longServiceTime = time.Second
	// connectAfterTerm is how long after SIGTERM clients still connect. The protocol allows at most 0.4 s.
	connectAfterTerm = 300 * time.Millisecond
	// trafficClients is the number of concurrent clients.
	trafficClients = 8
	// trafficTimeout is the timeout of their requests.
	trafficTimeout = 3000 * time.Millisecond
	// requestsBeforeTerm is how many requests are answered before SIGTERM is sent.
	requestsBeforeTerm = 50
)

// shutdownTraffic is the traffic of an agent that shuts down. It counts the outcomes of the requests.
type shutdownTraffic struct {
	addr       string
	terminated atomic.Bool // SIGTERM is about to be sent
	stopped    atomic.Bool // clients no longer connect

	// answeredAfterTerm counts the answered requests that were sent once terminated was set.
	answered, answeredAfterTerm, lost atomic.Int64
}

// run sends requests on one connection after another.
func (s *shutdownTraffic) run(ctx context.Context) {
	for !s.stopped.Load() {
		conn, err := dialAgent(ctx, s.addr)
		if err != nil {
			return // the agent no longer accepts connections
		}
		s.use(ctx, conn)
		conn.close()
	}
}

// use sends requests on one connection until it is closed. The agent may close a connection between two requests, but
// it must answer the first request on each connection.
func (s *shutdownTraffic) use(ctx context.Context, conn *clientConn) {
	for first := true; ; first = false {
		afterTerm := s.terminated.Load()
		got, err := conn.roundTrip(ctx, order{path: orderPath, timeout: trafficTimeout})
		if err != nil {
			if first {
				s.lost.Add(1)
			}
			return
		}
		s.answered.Add(1)
		if afterTerm {
			s.answeredAfterTerm.Add(1)
		}
		if got.close {
			return
		}
	}
}

// sendLongRequest sends the request to longPath on a new connection.
func sendLongRequest(ctx context.Context, addr string) error {
	conn, err := dialAgent(ctx, addr)
	if err != nil {
		return err
	}
	defer conn.close()
	got, err := conn.roundTrip(ctx, order{path: longPath, timeout: trafficTimeout})
	if err == nil && got.status != http.StatusOK {
		err = fmt.Errorf("status %d, want 200", got.status)
	}
	return err
}

// After SIGTERM, clients still connect for a while and keep using their open connections. The program must answer the
// first request on each accepted connection and then end without an error.
func TestSIGTERMUnderTraffic(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == longPath {
			simulateWork(longServiceTime)
		}
		simulateWork(serviceTime)
		writeBody(w, "done")
	})
	config := newConfig(silentDiscovery(t), listedServer("s-1", server))
	p := newProgram(t, config.text(t))
	addr, _ := p.startListening(t)
	p.collectLog()

	traffic := &shutdownTraffic{addr: addr}
	clients := startParallel(trafficClients, func(int) { traffic.run(t.Context()) })
	isUnderway := func() bool { return traffic.answered.Load() >= requestsBeforeTerm }
	if err := processtest.Await(testTimeout, "traffic", isUnderway); err != nil {
		t.Error(err)
	}
	traffic.terminated.Store(true)
	p.signal(t, syscall.SIGTERM)
	long := make(chan error, 1)
	go func() { long <- sendLongRequest(t.Context(), addr) }()
	time.Sleep(connectAfterTerm) // until the platform directs no more clients to this agent
	traffic.stopped.Store(true)

	p.expectCleanEnd(t)
	clients.Wait()
	if err := <-long; err != nil {
		t.Errorf("a request in flight at the end: %v", err)
	}
	if lost := traffic.lost.Load(); lost > 0 {
		t.Errorf("%d requests lost, of %d", lost, lost+traffic.answered.Load())
	}
	if traffic.answeredAfterTerm.Load() == 0 {
		t.Errorf("none of %d answered requests was sent after SIGTERM", traffic.answered.Load())
	}
}
