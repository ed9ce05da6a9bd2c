// Package emulator is what a fleet of agents meets, on loopback sockets in real time: price nodes
// with their machines, the applications that call the agents, and the list of nodes, which
// comes late. It is written from the operators' pages (BRIEF, PROTOCOL, TERMS, DEPLOY; WIRE for
// the rules); docs/LAB.md says what it leaves out.
//
// Its invariants: what the applications ask (times, classes, keys, work) follows from the seed
// alone, whatever the agents do; every try and every attempt is noted and judged by the four
// rules; and a world that was late, or out of descriptors, says so (Result.Faults, Late).
package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/faultproxy"
)

// Agent is one agent's place.
type Agent struct {
	Name  string
	Zone  int
	Share float64 // of the requests
}

// Config is a world.
type Config struct {
	Seed     uint64
	Zones    []string
	Cross    time.Duration // one way between zones
	Agents   []Agent
	Models   []Model   // of the nodes
	Shares   []float64 // of the nodes that each model has
	Nodes    int
	CellSize int // nodes of a pod
	Classes  []Class
	Contract Contract
	Rate     float64 // requests a second from all applications, at the calmest
	Keys     int     // distinct, of a Zipf distribution with exponent Zipf
	Zipf     float64
	// Clients give a try up after TryShare of the class's time and come again up to Retries
	// times, RetryWait after the answer.
	Retries   int
	TryShare  float64
	RetryWait time.Duration
	// ListDelay bounds how late a change of the list comes to an agent, drawn for each.
	ListDelay [2]time.Duration
	KeepAlive time.Duration // for how long a node keeps an idle connection
	// Direct has the applications call the nodes themselves, each that of its number: no agent
	// is there. It is for the comparison with queueing theory.
	Direct bool
}

// World is a running world. Its methods are safe for concurrent use.
type World struct {
	cfg      Config
	net      byte // second byte of the agents' addresses; the nodes have the next
	hold     net.Listener
	start    time.Time
	meanWork float64 // seconds of a standard core
	list     *list
	lists    []*http.Server
	wg       sync.WaitGroup

	mu       sync.Mutex
	nodes    map[string]*backend // those that are there
	ended    []NodeFigures
	made     int
	falls    []Fall
	faults   []string
	strays   int
	podKeys  map[int]map[string]time.Duration // by pod: when a keyed request first came
	down     map[string]bool                  // agents whose process the lab has ended
	requests sync.Map                         // by id
	clients  *clients
	changes  []Change
	lateMu   sync.Mutex
	late     *hdrhistogram.Histogram // of timers, in microseconds
	closed   chan struct{}
	stopped  chan struct{} // closed when the traffic ends before its time
	stop     sync.Once
}

// New opens the nodes and the lists; no application calls before Run.
func New(cfg Config) (*World, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	w := &World{cfg: cfg, start: time.Now(), nodes: map[string]*backend{},
		podKeys: map[int]map[string]time.Duration{}, down: map[string]bool{}, late: hdrhistogram.New(1, 60_000_000, 3), closed: make(chan struct{}), stopped: make(chan struct{})}
	var err error
	if w.hold, w.net, err = faultproxy.ReserveNetwork(); err != nil {
		return nil, err
	}
	for _, c := range cfg.Classes {
		w.meanWork += c.Share * c.Work.Seconds()
	}
	w.clients = newClients(w)
	w.list = newList(w)
	for range cfg.Nodes {
		if _, err = w.add(-1); err != nil {
			break
		}
	}
	for i, a := range cfg.Agents {
		if err == nil {
			err = w.serveList(a.Name, w.Address(i, DiscoveryPort))
		}
	}
	if err != nil {
		w.Close()
		return nil, err
	}
	w.wg.Add(1)
	go w.watchTime()
	return w, nil
}

func (c *Config) check() error {
	shares := 0.0
	for _, k := range c.Classes {
		shares += k.Share
	}
	switch {
	case len(c.Zones) == 0 || len(c.Agents) == 0 || c.Nodes < 1 || c.CellSize < 1:
		return errors.New("world: zones, agents, nodes and a pod's size are needed")
	case len(c.Models) == 0 || len(c.Models) != len(c.Shares):
		return errors.New("world: a share for each model is needed")
	case shares < 0.999 || shares > 1.001:
		return fmt.Errorf("world: the shares of the classes add up to %g", shares)
	case c.Rate <= 0 || c.Keys < 1 || c.TryShare <= 0 || c.TryShare > 1:
		return errors.New("world: rate, keys and the share of a try must be above 0")
	case len(c.Agents) > 60_000 || len(c.Zones) > 20:
		return errors.New("world: more agents or zones than there are addresses")
	}
	return nil
}

// The ports of an agent at its address.
const (
	ListenPort     = 8000
	ManagementPort = 8001
	DiscoveryPort  = 8500
)

// Address is where agent number i listens, or its list is, by the port.
func (w *World) Address(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.net, i/250, i%250+1, port)
}

// Now is the time since the world's start, on its monotonic clock.
func (w *World) Now() time.Duration { return time.Since(w.start) }

// Known is the whole list as it is at first, for the agents' configurations.
func (w *World) Known(agent string) endpoint.List { return w.list.whole(agent) }

// between is the one-way delay from a zone to another.
func (w *World) between(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return w.cfg.Cross
}

// add starts one more node; started below zero: long ago. It is listed at once, which comes to
// the agents late unless the world begins.
func (w *World) add(started time.Duration) (*backend, error) {
	w.mu.Lock()
	i := w.made
	w.made++
	w.mu.Unlock()
	draw := rand.New(rand.NewPCG(w.cfg.Seed, 1000+uint64(i%w.cfg.Nodes))) // a successor's machine is like its predecessor's
	m := w.cfg.Models[pickShare(draw.Float64(), w.cfg.Shares)]
	zone := i % w.cfg.Nodes % len(w.cfg.Zones)
	var addrs []string
	for z := range w.cfg.Zones {
		addrs = append(addrs, fmt.Sprintf("127.%d.%d.%d:8000", w.net+1, 12*z+i/250%12, i%250+1))
	}
	entry := endpoint.Endpoint{ID: fmt.Sprintf("s-%04x", (i*2654435761)&0xffff), Zone: w.cfg.Zones[zone], Kind: m.Kind,
		Cell: i % w.cfg.Nodes / w.cfg.CellSize, State: "up", Weight: 1}
	if started >= 0 {
		entry.StartedMs = float64(w.start.Add(started).UnixMilli())
	}
	b, err := newBackend(w, entry, zone, m, started, addrs, w.cfg.Seed+uint64(i))
	if err != nil {
		return nil, fmt.Errorf("world: node %d: %w", i, err)
	}
	w.mu.Lock()
	w.nodes[entry.ID] = b
	w.mu.Unlock()
	w.list.publish(b, started < 0)
	return b, nil
}

// pickShare is which of several shares a number from 0 to 1 falls into.
func pickShare(x float64, shares []float64) int {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	for i, s := range shares {
		if x -= s / sum; x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

// fault notes that the lab itself failed: the run does not count.
func (w *World) fault(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) < 20 {
		w.faults = append(w.faults, err.Error())
	}
}

// stray is a request at a node that no client sent.
func (w *World) stray() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.strays++
}

func (w *World) fell(b *backend, guilty bool) {
	w.mu.Lock()
	there := w.nodes[b.entry.ID] == b
	if there {
		w.falls = append(w.falls, Fall{b.entry.ID, w.Now(), guilty})
	}
	w.mu.Unlock()
	if there {
		go w.remove(b, false) // it stays down, and the list does not tell
	}
}

// repeated tells whether a pod has met a keyed request before, in the class's time.
func (w *World) repeated(cell int, r *request) bool {
	if r.idem == "" {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.podKeys[cell] == nil {
		w.podKeys[cell] = map[string]time.Duration{}
	}
	at, ok := w.podKeys[cell][r.idem]
	if ok && w.Now()-at < r.class.KeyFor {
		return true
	}
	w.podKeys[cell][r.idem] = w.Now()
	return false
}

// aware tells whether an agent has been told of a node's start.
func (w *World) aware(agent, node string) bool { return w.list.aware(agent, node) }

// AgentEnded and AgentStarted tell the world what the lab does to an agent's process.
func (w *World) AgentEnded(name string) {
	w.mu.Lock()
	w.down[name] = true
	w.mu.Unlock()
	w.clients.ended(name)
}

func (w *World) AgentStarted(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.down, name)
}

func (w *World) isDown(agent string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.down[agent]
}

// watchTime measures how late the machine wakes a timer.
func (w *World) watchTime() {
	defer w.wg.Done()
	const every = 2 * time.Millisecond
	for {
		before := time.Now()
		select {
		case <-time.After(every):
			w.wasLate(time.Since(before) - every)
		case <-w.closed:
			return
		}
	}
}

func (w *World) wasLate(d time.Duration) {
	w.lateMu.Lock()
	defer w.lateMu.Unlock()
	w.late.RecordValue(max(0, d.Microseconds()))
}

// Close ends all.
func (w *World) Close() {
	w.Stop()
	close(w.closed)
	w.list.setDown(false)
	for _, s := range w.lists {
		s.Close()
	}
	w.mu.Lock()
	nodes := w.nodes
	w.nodes = map[string]*backend{}
	w.mu.Unlock()
	for _, b := range nodes {
		b.end()
	}
	w.clients.close()
	w.wg.Wait()
	w.hold.Close()
}
