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
	Seed        uint64
	Zones       []string
	ZoneDelay   time.Duration // one way between zones
	Agents      []Agent
	Models      []Model   // of the nodes
	ModelShares []float64 // of the nodes that each model has
	Servers     int
	CellSize    int // nodes of a pod
	Classes     []Class
	Contract    Contract
	Rate        float64 // requests a second from all applications, at the calmest
	Keys        int     // distinct, of a Zipf distribution with exponent Zipf
	Zipf        float64
	// Clients give a try up after TryShare of the class's time and come again up to Retries
	// times, RetryWait after the answer.
	Retries             int
	RequestTimeoutShare float64
	RetryDelay          time.Duration
	// ListDelay bounds how late a change of the list comes to an agent, drawn for each.
	ListDelay [2]time.Duration
	KeepAlive time.Duration // for how long a node keeps an idle connection
	// Direct has the applications call the nodes themselves, each that of its number: no agent
	// is there. It is for the comparison with queueing theory.
	Direct bool
}

// World is a running world. Its methods are safe for concurrent use.
type Emulator struct {
	config             Config
	network            byte // second byte of the agents' addresses; the nodes have the next
	networkReservation net.Listener
	startTime          time.Time
	meanWorkSeconds    float64 // seconds of a standard core
	endpoints          *endpointList
	discoveryServers   []*http.Server
	background         sync.WaitGroup

	mu              sync.Mutex
	servers         map[string]*server // those that are there
	stoppedServers  []ServerMetrics
	serversCreated  int
	overloads       []SlowStartOverload
	errors          []string
	unknownRequests int
	dedupKeys       map[int]map[string]time.Duration // by pod: when a keyed request first came
	stoppedAgents   map[string]bool                  // agents whose process the lab has ended
	requests        sync.Map                         // by id
	clients         *clients
	trafficChanges  []TrafficChange
	timerMu         sync.Mutex
	timerDelays     *hdrhistogram.Histogram // of timers, in microseconds
	closed          chan struct{}
	stopped         chan struct{} // closed when the traffic ends before its time
	stopOnce        sync.Once
}

// New opens the nodes and the lists; no application calls before Run.
func New(cfg Config) (*Emulator, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	w := &Emulator{config: cfg, startTime: time.Now(), servers: map[string]*server{},
		dedupKeys: map[int]map[string]time.Duration{}, stoppedAgents: map[string]bool{}, timerDelays: hdrhistogram.New(1, 60_000_000, 3), closed: make(chan struct{}), stopped: make(chan struct{})}
	var err error
	if w.networkReservation, w.network, err = faultproxy.Network(); err != nil {
		return nil, err
	}
	for _, c := range cfg.Classes {
		w.meanWorkSeconds += c.Share * c.Work.Seconds()
	}
	w.clients = newClients(w)
	w.endpoints = newEndpointList(w)
	for range cfg.Servers {
		if _, err = w.addServer(-1); err != nil {
			break
		}
	}
	for i, a := range cfg.Agents {
		if err == nil {
			err = w.serveDiscovery(a.Name, w.Address(i, DiscoveryPort))
		}
	}
	if err != nil {
		w.Close()
		return nil, err
	}
	w.background.Add(1)
	go w.measureTimerDelay()
	return w, nil
}

func (c *Config) check() error {
	shares := 0.0
	for _, k := range c.Classes {
		shares += k.Share
	}
	switch {
	case len(c.Zones) == 0 || len(c.Agents) == 0 || c.Servers < 1 || c.CellSize < 1:
		return errors.New("world: zones, agents, nodes and a pod's size are needed")
	case len(c.Models) == 0 || len(c.Models) != len(c.ModelShares):
		return errors.New("world: a share for each model is needed")
	case shares < 0.999 || shares > 1.001:
		return fmt.Errorf("world: the shares of the classes add up to %g", shares)
	case c.Rate <= 0 || c.Keys < 1 || c.RequestTimeoutShare <= 0 || c.RequestTimeoutShare > 1:
		return errors.New("world: rate, keys and the share of a try must be above 0")
	case len(c.Agents) > 60_000 || len(c.Zones) > 20:
		return errors.New("world: more agents or zones than there are addresses")
	}
	return nil
}

// The ports of an agent at its address.
const (
	ListenPort    = 8000
	AdminPort     = 8001
	DiscoveryPort = 8500
)

// Address is where agent number i listens, or its list is, by the port.
func (w *Emulator) Address(i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.network, i/250, i%250+1, port)
}

// Now is the time since the world's start, on its monotonic clock.
func (w *Emulator) Now() time.Duration { return time.Since(w.startTime) }

// Known is the whole list as it is at first, for the agents' configurations.
func (w *Emulator) InitialList(agent string) endpoint.List { return w.endpoints.fullList(agent) }

// between is the one-way delay from a zone to another.
func (w *Emulator) zoneDelay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return w.config.ZoneDelay
}

// add starts one more node; started below zero: long ago. It is listed at once, which comes to
// the agents late unless the world begins.
func (w *Emulator) addServer(started time.Duration) (*server, error) {
	w.mu.Lock()
	i := w.serversCreated
	w.serversCreated++
	w.mu.Unlock()
	draw := rand.New(rand.NewPCG(w.config.Seed, 1000+uint64(i%w.config.Servers))) // a successor's machine is like its predecessor's
	m := w.config.Models[pickShare(draw.Float64(), w.config.ModelShares)]
	zone := i % w.config.Servers % len(w.config.Zones)
	var addrs []string
	for z := range w.config.Zones {
		addrs = append(addrs, fmt.Sprintf("127.%d.%d.%d:8000", w.network+1, 12*z+i/250%12, i%250+1))
	}
	entry := endpoint.Target{ID: fmt.Sprintf("s-%04x", (i*2654435761)&0xffff), Zone: w.config.Zones[zone], Kind: m.Kind,
		Cell: i % w.config.Servers / w.config.CellSize, State: "up", Weight: 1}
	if started >= 0 {
		entry.StartedMs = float64(w.startTime.Add(started).UnixMilli())
	}
	b, err := newServer(w, entry, zone, m, started, addrs, w.config.Seed+uint64(i))
	if err != nil {
		return nil, fmt.Errorf("world: node %d: %w", i, err)
	}
	w.mu.Lock()
	w.servers[entry.ID] = b
	w.mu.Unlock()
	w.endpoints.publish(b, started < 0)
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
func (w *Emulator) recordError(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.errors) < 20 {
		w.errors = append(w.errors, err.Error())
	}
}

// stray is a request at a node that no client sent.
func (w *Emulator) recordUnknownRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unknownRequests++
}

func (w *Emulator) serverOverloaded(b *server, guilty bool) {
	w.mu.Lock()
	there := w.servers[b.endpoint.ID] == b
	if there {
		w.overloads = append(w.overloads, SlowStartOverload{b.endpoint.ID, w.Now(), guilty})
	}
	w.mu.Unlock()
	if there {
		go w.removeServer(b, false) // it stays down, and the list does not tell
	}
}

// repeated tells whether a pod has met a keyed request before, in the class's time.
func (w *Emulator) isDuplicate(cell int, r *liveRequest) bool {
	if r.idempotencyKey == "" {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dedupKeys[cell] == nil {
		w.dedupKeys[cell] = map[string]time.Duration{}
	}
	at, ok := w.dedupKeys[cell][r.idempotencyKey]
	if ok && w.Now()-at < r.class.DedupWindow {
		return true
	}
	w.dedupKeys[cell][r.idempotencyKey] = w.Now()
	return false
}

// aware tells whether an agent has been told of a node's start.
func (w *Emulator) notifiedOfStart(agent, node string) bool {
	return w.endpoints.notifiedOfStart(agent, node)
}

// AgentEnded and AgentStarted tell the world what the lab does to an agent's process.
func (w *Emulator) AgentStopped(name string) {
	w.mu.Lock()
	w.stoppedAgents[name] = true
	w.mu.Unlock()
	w.clients.markAgentStopped(name)
}

func (w *Emulator) AgentStarted(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.stoppedAgents, name)
}

func (w *Emulator) isAgentStopped(agent string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stoppedAgents[agent]
}

// watchTime measures how late the machine wakes a timer.
func (w *Emulator) measureTimerDelay() {
	defer w.background.Done()
	const every = 2 * time.Millisecond
	for {
		before := time.Now()
		select {
		case <-time.After(every):
			w.recordTimerDelay(time.Since(before) - every)
		case <-w.closed:
			return
		}
	}
}

func (w *Emulator) recordTimerDelay(d time.Duration) {
	w.timerMu.Lock()
	defer w.timerMu.Unlock()
	w.timerDelays.RecordValue(max(0, d.Microseconds()))
}

// Close ends all.
func (w *Emulator) Close() {
	w.Stop()
	close(w.closed)
	w.endpoints.setUnavailable(false)
	for _, s := range w.discoveryServers {
		s.Close()
	}
	w.mu.Lock()
	nodes := w.servers
	w.servers = map[string]*server{}
	w.mu.Unlock()
	for _, b := range nodes {
		b.stop()
	}
	w.clients.close()
	w.background.Wait()
	w.networkReservation.Close()
}
