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
type backend struct {
	w     *World
	entry endpoint.Target // as listed, but for the address
	zone  int
	addrs []string // by the agents' zone
	gates []*gate
	srv   []*http.Server
	node  *node
	drain atomic.Bool
	gone  atomic.Bool

	handshakes, probes, requests, turned atomic.Uint64
}

// connKey is the place of a connection's state in its requests' contexts.
type connKey struct{}

// conn is what a node knows of a connection: over, that it is one too many; met, whether its
// first request has paid for the handshake.
type conn struct {
	over bool
	met  atomic.Bool
}

// maxBody bounds what is read of a body, in bytes.
const maxBody = 1 << 20

func newBackend(w *World, entry endpoint.Target, zone int, m Model, started time.Duration, addrs []string, seed uint64) (*backend, error) {
	b := &backend{w: w, entry: entry, zone: zone, addrs: addrs}
	for from, addr := range addrs {
		g, err := newGate(addr)
		if err != nil {
			b.end()
			return nil, err
		}
		b.gates = append(b.gates, g)
		mux := http.NewServeMux()
		mux.HandleFunc("GET /-/healthy", b.probe)
		mux.HandleFunc("/api/", func(rw http.ResponseWriter, r *http.Request) { b.serve(rw, r, from) })
		b.srv = append(b.srv, &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0),
			IdleTimeout: w.cfg.KeepAlive, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
				c := &conn{over: m.Conns > 0 && b.conns() > m.Conns}
				return context.WithValue(ctx, connKey{}, c)
			}})
	}
	b.node = newNode(w, m, started, seed)
	for i, s := range b.srv {
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			if err := s.Serve(b.gates[i]); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				w.fault(err)
			}
		}()
	}
	return b, nil
}

func (b *backend) conns() (n int) {
	for _, g := range b.gates {
		n += g.open()
	}
	return n
}

// end is the end of the process: connections are reset, calls refused, work stops.
func (b *backend) end() {
	b.gone.Store(true)
	for _, g := range b.gates {
		g.end()
	}
	for _, s := range b.srv {
		s.Close()
	}
	if b.node != nil {
		b.node.stop()
	}
}

// silence cuts the node off from the agents of some zones, or ends that.
func (b *backend) silence(on bool, zones ...int) {
	for _, z := range zones {
		b.gates[z].silence(on)
	}
}

// pay has the first request on a connection pay for its handshake, in time and work.
func (b *backend) pay(r *http.Request, from int) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil || c.met.Swap(true) {
		return
	}
	b.handshakes.Add(1)
	if m := &b.node.e.m; m.Handshake > 0 {
		b.node.extra(m.Handshake.Seconds())
		time.Sleep(2 * 2 * b.w.between(from, b.zone)) // two round trips
	}
}

func (b *backend) probe(rw http.ResponseWriter, r *http.Request) {
	b.probes.Add(1)
	b.pay(r, 0)
	if m := &b.node.e.m; m.Probe > 0 {
		b.node.extra(m.Probe.Seconds())
	}
	if b.drain.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// turnAway answers that the request never ran.
func (b *backend) turnAway(rw http.ResponseWriter, why string) {
	b.turned.Add(1)
	rw.Header().Set("Not-Started", "1")
	http.Error(rw, why, http.StatusServiceUnavailable)
}

// serve is one attempt: its course is noted on the try that a client made, and judged later.
func (b *backend) serve(rw http.ResponseWriter, r *http.Request, from int) {
	began := b.w.Now()
	id := r.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(rw, r)
		return
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return
	}
	req := b.w.request(id)
	if req == nil || path.Base(r.URL.Path) != req.keyText() || r.Method != req.method() {
		b.w.stray()
		http.Error(rw, "no client sent this", http.StatusBadRequest)
		return
	}
	b.requests.Add(1)
	a := req.arrive(Attempt{Node: b.entry.ID, Zone: b.zone, Cell: b.entry.Cell, Began: began, Arrived: b.w.Now(), How: Open})
	b.pay(r, from)
	time.Sleep(2 * b.w.between(from, b.zone)) // there and back
	how := b.work(rw, r, req)
	req.depart(a, how, b.w.Now())
}

// work serves one request that has come whole, and tells how that ended.
func (b *backend) work(rw http.ResponseWriter, r *http.Request, req *request) string {
	if falls, guilty := b.node.pushed(req.work.Seconds(), b.w.aware(req.agent, b.entry.ID)); falls {
		b.w.fell(b, guilty)
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	if b.drain.Load() || c != nil && c.over {
		b.turnAway(rw, "draining, or too many connections")
		return TurnedAway
	}
	if b.w.repeated(b.entry.Cell, req) {
		fmt.Fprintf(rw, "%s repeated", req.try.ID)
		return Served
	}
	w, how := b.node.accept(req.key, req.work.Seconds(), req.wait)
	switch how {
	case full:
		b.turnAway(rw, "full")
		return TurnedAway
	case failed:
		http.Error(rw, "failed", http.StatusInternalServerError)
		return Error
	}
	select {
	case <-w.done:
	case <-r.Context().Done():
		b.node.drop(w)
		if b.gone.Load() {
			return Broken
		}
		return CalledOff
	}
	if _, err := fmt.Fprintf(rw, "%s done", req.try.ID); err != nil {
		return Broken
	}
	return Served
}

// NodeFigures are a node's counts over a run. Cold is the most of its cold bound that came
// within the contract's time: above one it fell.
type NodeFigures struct {
	Node       string  `json:"Node"`
	Requests   uint64  `json:"Requests"`
	Turned     uint64  `json:"Turned"`
	Handshakes uint64  `json:"Handshakes"`
	Probes     uint64  `json:"Probes"`
	Work       float64 `json:"Work"` // seconds of a standard core that came
	Busy       float64 `json:"Busy"` // core seconds given
	Cold       float64 `json:"Cold"`
}

func (b *backend) figures() NodeFigures {
	b.node.mu.Lock()
	defer b.node.mu.Unlock()
	return NodeFigures{Node: b.entry.ID, Requests: b.requests.Load(), Turned: b.turned.Load(), Handshakes: b.handshakes.Load(),
		Probes: b.probes.Load(), Work: b.node.load, Busy: b.node.e.busy, Cold: b.node.cold}
}
