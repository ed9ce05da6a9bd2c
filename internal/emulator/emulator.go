// Package emulator runs the environment of a fleet of agents on loopback sockets in real time: servers on simulated
// machines, the client applications that call the agents, and discovery, whose changes reach each agent with a delay.
// Its model follows the operators' pages (BRIEF, PROTOCOL, TERMS, DEPLOY, and WIRE for the operating rules);
// docs/LAB.md lists what it leaves out.
//
// Its invariants are:
//   - The calls of the clients (times, classes, keys, work) follow from the seed alone, whatever the agents do.
//   - Every request and every attempt is recorded and checked against the operating rules.
//   - A run in which the emulator's timers were late or descriptors ran out reports it (Result.Errors,
//     MetricTimerDelayP99).
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

// maxErrors bounds the number of recorded errors of the harness.
const maxErrors = 20

// Emulator is a running emulation. Its methods are safe for concurrent use.
type Emulator struct {
	config             Config
	network            byte // second byte of the agents' addresses; that of the servers' is one higher
	networkReservation net.Listener
	startTime          time.Time
	meanWorkSeconds    float64 // mean work of a call, on a standard core
	endpoints          *endpointList
	discoveryServers   []*http.Server
	clients            *clients
	trafficChanges     []TrafficChange
	requests           sync.Map       // from request ID to *liveRequest
	background         sync.WaitGroup // all goroutines that Close waits for

	mu              sync.Mutex
	servers         map[string]*server // running servers by ID
	stoppedServers  []ServerMetrics
	serversCreated  int
	overloads       []SlowStartOverload
	errors          []string
	unknownRequests int
	dedupKeys       map[int]map[string]time.Duration // arrival time of each idempotency key, by cell
	stoppedAgents   map[string]bool                  // agents whose process the experiment has stopped

	timerMu     sync.Mutex
	timerDelays *hdrhistogram.Histogram // in microseconds

	closed   chan struct{}
	stopped  chan struct{} // closed when the traffic is ended early
	stopOnce sync.Once
}

// New starts the servers and serves discovery to the agents. The clients make no calls before Run.
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

// startServers starts the configured servers and serves discovery at each agent's address.
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

// Run makes calls from all clients for the given time and returns the result once the last call has ended. The end of
// the context does not end the calls, but the clients can no longer connect to the agents.
func (e *Emulator) Run(ctx context.Context, length time.Duration) *Result {
	e.clients.run(ctx, length)
	return e.result()
}

// Stop ends the traffic early. Calls in flight are not retried.
func (e *Emulator) Stop() { e.stopOnce.Do(func() { close(e.stopped) }) }

// isStopped reports whether the traffic was ended early.
func (e *Emulator) isStopped() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return false
	}
}

// Close stops the traffic, the servers and discovery, and waits for their goroutines.
func (e *Emulator) Close() {
	e.Stop()
	close(e.closed)
	e.endpoints.setUnavailable(false)
	for _, s := range e.discoveryServers {
		_ = s.Close() // an error concerns the listener, which is closed either way
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

// Now returns the time since the emulator's start by the monotonic clock.
func (e *Emulator) Now() time.Duration { return time.Since(e.startTime) }

// InitialList returns the full endpoint list for an agent's configuration.
func (e *Emulator) InitialList(agent string) endpoint.List { return e.endpoints.fullList(agent) }

// recordError records an error of the harness itself, which makes the run invalid.
func (e *Emulator) recordError(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.errors) < maxErrors {
		e.errors = append(e.errors, err.Error())
	}
}

// recordUnknownRequest counts a request that reached a server although no client sent it.
func (e *Emulator) recordUnknownRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unknownRequests++
}

// isDuplicate reports whether a cell has received a request with the same idempotency key within the class's
// deduplication window. If not, it records the key.
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

// notifiedOfStart reports whether an agent has been notified of a server's start.
func (e *Emulator) notifiedOfStart(agent, serverID string) bool {
	return e.endpoints.notifiedOfStart(agent, serverID)
}
