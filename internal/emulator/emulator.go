// Package emulator runs the surroundings of a fleet of agents on loopback sockets in real time: servers with a
// simulated machine, the client applications that call the agents, and discovery, whose changes reach each agent
// with a delay. Its model follows the operators' pages (BRIEF, PROTOCOL, TERMS, DEPLOY, and WIRE for the operating
// rules); docs/LAB.md says what it leaves out.
//
// Its invariants: what the clients call (times, classes, keys, work) follows from the seed alone, whatever the agents
// do; every request and every attempt is recorded and judged by the operating rules; and a run in which the emulator
// was late or out of descriptors says so (Result.Errors, MetricTimerDelayP99).
package emulator

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/faultproxy"
)

// maxErrors bounds how many errors of the harness are kept.
const maxErrors = 20

// Emulator is a running emulation. Its methods are safe for concurrent use.
type Emulator struct {
	config             Config
	network            byte // second byte of the agents' addresses; the servers have the next
	networkReservation net.Listener
	startTime          time.Time
	meanWorkSeconds    float64 // of a standard core
	endpoints          *endpointList
	discoveryServers   []*http.Server
	clients            *clients
	trafficChanges     []TrafficChange
	requests           sync.Map       // *liveRequest by id
	background         sync.WaitGroup // all goroutines that end with Close

	mu              sync.Mutex
	servers         map[string]*server // the running ones
	stoppedServers  []ServerMetrics
	serversCreated  int
	overloads       []SlowStartOverload
	errors          []string
	unknownRequests int
	dedupKeys       map[int]map[string]time.Duration // by cell: when each idempotency key first arrived
	stoppedAgents   map[string]bool                  // agents whose process the experiment has ended

	timerMu     sync.Mutex
	timerDelays *hdrhistogram.Histogram // in microseconds

	closed   chan struct{}
	stopped  chan struct{} // closed when the traffic ends before its time
	stopOnce sync.Once
}

// New starts the servers and the agents' discovery addresses; no client calls before Run.
func New(config Config) (*Emulator, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	e := &Emulator{
		config:        config,
		startTime:     time.Now(),
		servers:       map[string]*server{},
		dedupKeys:     map[int]map[string]time.Duration{},
		stoppedAgents: map[string]bool{},
		timerDelays:   newDelayHistogram(),
		closed:        make(chan struct{}),
		stopped:       make(chan struct{}),
	}
	network, err := faultproxy.ReserveNetwork()
	if err != nil {
		return nil, err
	}
	e.networkReservation, e.network = network.Reservation, network.Number
	for _, class := range config.Classes {
		e.meanWorkSeconds += class.Share * class.Work.Seconds()
	}
	e.clients = newClients(e)
	e.endpoints = newEndpointList(e)
	if err := e.startServers(); err != nil {
		e.Close()
		return nil, err
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		e.measureTimerDelay()
	}()
	return e, nil
}

// startServers starts the servers and the discovery addresses of the configuration.
func (e *Emulator) startServers() error {
	for range e.config.Servers {
		if _, err := e.addServer(longAgo); err != nil {
			return err
		}
	}
	for i, agent := range e.config.Agents {
		if err := e.serveDiscovery(agent.Name, e.Address(i, DiscoveryPort)); err != nil {
			return err
		}
	}
	return nil
}

// Run lets the clients call for a time and returns the result once the last call has ended. After the end of the
// context, which does not end the calls, the clients cannot connect to the agents any more.
func (e *Emulator) Run(ctx context.Context, length time.Duration) *Result {
	e.clients.run(ctx, length)
	return e.result()
}

// Stop ends the traffic before its time; open calls are not retried.
func (e *Emulator) Stop() { e.stopOnce.Do(func() { close(e.stopped) }) }

// isStopped tells whether the traffic was ended before its time.
func (e *Emulator) isStopped() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return false
	}
}

// Close ends everything and waits for it.
func (e *Emulator) Close() {
	e.Stop()
	close(e.closed)
	e.endpoints.setUnavailable(false)
	for _, s := range e.discoveryServers {
		_ = s.Close() // an error of the listener, which is gone either way
	}
	e.mu.Lock()
	servers := e.servers
	e.servers = map[string]*server{}
	e.mu.Unlock()
	for _, s := range servers {
		s.stop()
	}
	e.clients.close()
	e.background.Wait()
	_ = e.networkReservation.Close() // fails only on a closed listener
}

// Now returns the time since the emulator's start, by the monotonic clock.
func (e *Emulator) Now() time.Duration { return time.Since(e.startTime) }

// InitialList returns the full endpoint list of an agent, for its configuration.
func (e *Emulator) InitialList(agent string) endpoint.List { return e.endpoints.fullList(agent) }

// recordError notes an error of the harness itself, which makes the run invalid.
func (e *Emulator) recordError(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.errors) < maxErrors {
		e.errors = append(e.errors, err.Error())
	}
}

// recordUnknownRequest notes a request at a server that no client has sent.
func (e *Emulator) recordUnknownRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unknownRequests++
}

// isDuplicate tells whether a cell has received a request with the same idempotency key within the class's window.
func (e *Emulator) isDuplicate(cell int, request *liveRequest) bool {
	if request.idempotencyKey == "" {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	keys := e.dedupKeys[cell]
	if keys == nil {
		keys = map[string]time.Duration{}
		e.dedupKeys[cell] = keys
	}
	now := e.Now()
	if at, ok := keys[request.idempotencyKey]; ok && now-at < request.class.DedupWindow {
		return true
	}
	keys[request.idempotencyKey] = now
	return false
}

// notifiedOfStart tells whether an agent has been notified of a server's start.
func (e *Emulator) notifiedOfStart(agent, serverID string) bool {
	return e.endpoints.notifiedOfStart(agent, serverID)
}
