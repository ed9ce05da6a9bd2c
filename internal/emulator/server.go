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

// backend is a price node's process on sockets: a listener for the agents of each zone, at an
// address of its own, in front of one machine.
type server struct {
	emulator    *Emulator
	endpoint    endpoint.Target // as listed, but for the address
	zone        int
	addresses   []string // by the agents' zone
	listeners   []*partitionListener
	httpServers []*http.Server
	machine     *machine
	draining    atomic.Bool
	stopped     atomic.Bool

	handshakes, healthChecks, requests, rejected atomic.Uint64
}

// connKey is the place of a connection's state in its requests' contexts.
type connStateKey struct{}

// conn is what a node knows of a connection: over, that it is one too many; met, whether its
// first request has paid for the handshake.
type connState struct {
	excess        bool
	handshakePaid atomic.Bool
}

// maxBody bounds what is read of a body, in bytes.
const maxBodyBytes = 1 << 20

func newServer(w *Emulator, entry endpoint.Target, zone int, m Model, started time.Duration, addrs []string, seed uint64) (*server, error) {
	b := &server{emulator: w, endpoint: entry, zone: zone, addresses: addrs}
	for from, addr := range addrs {
		g, err := newPartitionListener(addr)
		if err != nil {
			b.stop()
			return nil, err
		}
		b.listeners = append(b.listeners, g)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /-/healthy", b.handleHealthCheck)
		mux.HandleFunc("/api/", func(rw http.ResponseWriter, r *http.Request) { b.handleRequest(rw, r, from) })
		b.httpServers = append(b.httpServers, &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0),
			IdleTimeout: w.config.KeepAlive, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
				c := &connState{excess: m.MaxConnections > 0 && b.openConnections() > m.MaxConnections}
				return context.WithValue(ctx, connStateKey{}, c)
			}})
	}
	b.machine = newMachine(w, m, started, seed)
	for i, s := range b.httpServers {
		w.background.Add(1)
		go func() {
			defer w.background.Done()
			if err := s.Serve(b.listeners[i]); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				w.recordError(err)
			}
		}()
	}
	return b, nil
}

func (b *server) openConnections() (n int) {
	for _, g := range b.listeners {
		n += g.openConnections()
	}
	return n
}

// end is the end of the process: connections are reset, calls refused, work stops.
func (b *server) stop() {
	b.stopped.Store(true)
	for _, g := range b.listeners {
		g.stop()
	}
	for _, s := range b.httpServers {
		s.Close()
	}
	if b.machine != nil {
		b.machine.stop()
	}
}

// silence cuts the node off from the agents of some zones, or ends that.
func (b *server) setPartitioned(on bool, zones ...int) {
	for _, z := range zones {
		b.listeners[z].setPartitioned(on)
	}
}

// pay has the first request on a connection pay for its handshake, in time and work.
func (b *server) chargeHandshake(r *http.Request, from int) {
	c, _ := r.Context().Value(connStateKey{}).(*connState)
	if c == nil || c.handshakePaid.Swap(true) {
		return
	}
	b.handshakes.Add(1)
	if m := &b.machine.engine.model; m.HandshakeWork > 0 {
		b.machine.addBackgroundWork(m.HandshakeWork.Seconds())
		time.Sleep(2 * 2 * b.emulator.zoneDelay(from, b.zone)) // two round trips
	}
}

func (b *server) handleHealthCheck(rw http.ResponseWriter, r *http.Request) {
	b.healthChecks.Add(1)
	b.chargeHandshake(r, 0)
	if m := &b.machine.engine.model; m.HealthCheckWork > 0 {
		b.machine.addBackgroundWork(m.HealthCheckWork.Seconds())
	}
	if b.draining.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// turnAway answers that the request never ran.
func (b *server) reject(rw http.ResponseWriter, why string) {
	b.rejected.Add(1)
	rw.Header().Set("Not-Started", "1")
	http.Error(rw, why, http.StatusServiceUnavailable)
}

// serve is one attempt: its course is noted on the try that a client made, and judged later.
func (b *server) handleRequest(rw http.ResponseWriter, r *http.Request, from int) {
	began := b.emulator.Now()
	id := r.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(rw, r)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return
	}
	req := b.emulator.findRequest(id)
	if req == nil || path.Base(r.URL.Path) != req.keyText() || r.Method != req.method() {
		b.emulator.recordUnknownRequest()
		http.Error(rw, "no client sent this", http.StatusBadRequest)
		return
	}
	b.requests.Add(1)
	a := req.addAttempt(Attempt{Server: b.endpoint.ID, Zone: b.zone, Cell: b.endpoint.Cell, Started: began, Received: b.emulator.Now(), Outcome: AttemptOpen})
	b.chargeHandshake(r, from)
	time.Sleep(2 * b.emulator.zoneDelay(from, b.zone)) // there and back
	how := b.execute(rw, r, req)
	req.endAttempt(a, how, b.emulator.Now())
}

// work serves one request that has come whole, and tells how that ended.
func (b *server) execute(rw http.ResponseWriter, r *http.Request, req *liveRequest) string {
	if falls, guilty := b.machine.recordArrival(req.work.Seconds(), b.emulator.notifiedOfStart(req.agent, b.endpoint.ID)); falls {
		b.emulator.serverOverloaded(b, guilty)
	}
	c, _ := r.Context().Value(connStateKey{}).(*connState)
	if b.draining.Load() || c != nil && c.excess {
		b.reject(rw, "draining, or too many connections")
		return AttemptRejected
	}
	if b.emulator.isDuplicate(b.endpoint.Cell, req) {
		fmt.Fprintf(rw, "%s repeated", req.record.ID)
		return Served
	}
	w, how := b.machine.submit(req.key, req.work.Seconds(), req.dependencyWait)
	switch how {
	case rejectedFull:
		b.reject(rw, "full")
		return AttemptRejected
	case failedAtOnce:
		http.Error(rw, "failed", http.StatusInternalServerError)
		return AttemptFailed
	}
	select {
	case <-w.done:
	case <-r.Context().Done():
		b.machine.cancel(w)
		if b.stopped.Load() {
			return AttemptBroken
		}
		return AttemptCancelled
	}
	if _, err := fmt.Fprintf(rw, "%s done", req.record.ID); err != nil {
		return AttemptBroken
	}
	return Served
}

// NodeFigures are a node's counts over a run. Cold is the most of its cold bound that came
// within the contract's time: above one it fell.
type ServerMetrics struct {
	Server          string  `json:"Node"`
	Requests        uint64  `json:"Requests"`
	Rejected        uint64  `json:"Turned"`
	Handshakes      uint64  `json:"Handshakes"`
	HealthChecks    uint64  `json:"Probes"`
	WorkReceived    float64 `json:"Work"` // seconds of a standard core that came
	BusyCoreSeconds float64 `json:"Busy"` // core seconds given
	SlowStartLoad   float64 `json:"Cold"`
}

func (b *server) metrics() ServerMetrics {
	b.machine.mu.Lock()
	defer b.machine.mu.Unlock()
	return ServerMetrics{Server: b.endpoint.ID, Requests: b.requests.Load(), Rejected: b.rejected.Load(), Handshakes: b.handshakes.Load(),
		HealthChecks: b.healthChecks.Load(), WorkReceived: b.machine.workReceived, BusyCoreSeconds: b.machine.engine.busyCoreSeconds, SlowStartLoad: b.machine.peakSlowStartLoad}
}
