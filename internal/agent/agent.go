// Package agent runs the balancing policy as a real load balancer. It makes the parts of an agent, which are packages
// below it, joins them, and owns the order of their start and of their shutdown:
//
//   - downstream serves the clients, and knows the event loop only as its Dispatcher;
//   - dispatch is the event loop, which owns the policy, the requests in flight and the endpoint list;
//   - upstream has the connections to servers and makes attempts;
//   - discovery makes the calls for the endpoint list and for settings;
//   - admin serves the operators' HTTP endpoint;
//   - config reads and checks the configuration;
//   - message has what downstream, dispatch and upstream pass to each other; socket and keyhash are helpers;
//   - agenttest has servers, discoveries and clients for tests.
//
// The goroutine of Agent.Run applies reloads and settings of the discovery service; it decides nothing about
// requests.
package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/admin"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/discovery"
	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/agent/downstream"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/membership"
)

// firstListTimeout is how long clients wait for a first server. Restarts have to be ready within 10 s, also
// where no list is known and discovery is silent; requests are then rejected in time.
const firstListTimeout = 5 * time.Second

// ErrKilled is what Run returns after Kill.
var ErrKilled = errors.New("agent: killed")

// Agent is one agent. Many may run in one process.
type Agent struct {
	cfg        *config.Config
	listeners  Listeners
	downstream *downstream.Server
	pool       *upstream.Pool
	loop       *dispatch.Loop
	admin      *admin.Server // nil until Run
	membership atomic.Pointer[membership.Membership]

	//nolint:containedctx // the loop outlives the context of Run
	running  context.Context    // done once the loop is to end
	stopLoop context.CancelFunc // ends the loop, and everything that has its context
	loopDone chan struct{}      // closed once the loop has ended
	usable   chan struct{}      // closed once a server may be sent requests
	// settingsUpdates takes settings of the discovery service until servingDone is closed.
	settingsUpdates chan settingsUpdate
	servingDone     chan struct{}
	//nolint:containedctx // Kill may be called at any time, also before Run
	killed context.Context
	kill   context.CancelFunc
}

// Run makes an agent and runs it as Agent.Run does.
func Run(stop context.Context, cfg *config.Config, listeners Listeners, reloads <-chan *config.Config) error {
	a, err := New(cfg, listeners) //nolint:contextcheck // the loop outlives stop: it finishes the open requests
	if err != nil {
		return err
	}
	return a.Run(stop, reloads)
}

// New makes an agent, which owns its listeners unless there is an error: a setting that the policy can't use,
// or a listener that is shared and missing.
func New(cfg *config.Config, listeners Listeners) (*Agent, error) {
	if listeners.Clients == nil {
		if listeners.Shared {
			return nil, errors.New("agent: no listener to share")
		}
		listeners.Clients = newUnusedListener()
	}
	a := &Agent{
		cfg:             cfg,
		listeners:       listeners,
		pool:            upstream.NewPool(cfg),
		loopDone:        make(chan struct{}),
		usable:          make(chan struct{}),
		settingsUpdates: make(chan settingsUpdate),
		servingDone:     make(chan struct{}),
	}
	running, stopLoop := context.WithCancel(context.Background())
	loop, err := dispatch.New(running, cfg, dispatch.Options{
		Pool:           a.pool,
		OnServersReady: sync.OnceFunc(func() { close(a.usable) }),
		ApplySettings:  a.applySettings,
	})
	if err != nil {
		stopLoop()
		return nil, fmt.Errorf("agent: %w", err)
	}
	a.loop = loop
	a.running = running
	a.stopLoop = stopLoop
	a.downstream = downstream.New(running, cfg, downstream.Options{
		Listener:   listeners.Clients,
		Shared:     listeners.Shared,
		Dispatcher: loop,
		OnDrain:    a.announceDrain,
	})
	a.killed, a.kill = context.WithCancel(context.Background())
	return a, nil
}

// announceDrain notifies the other agents that this one drains or no longer does.
func (a *Agent) announceDrain(draining bool) {
	if member := a.membership.Load(); member != nil {
		member.SetDraining(draining)
	}
}

// Run runs the agent, once. It serves until stop is done, then shuts down gracefully, and returns nil when every
// request that was open has its response; after Kill it returns ErrKilled. At its return all sockets are
// closed. Each configuration from reloads replaces the settings, unless the discovery service has set others,
// and the addresses of discovery; the rest of it takes effect at a start only.
//
//nolint:contextcheck // the loop, the membership and the drain outlive stop: they finish the open requests
func (a *Agent) Run(stop context.Context, reloads <-chan *config.Config) error {
	go func() {
		defer close(a.loopDone)
		a.loop.Run()
	}()
	member, err := startMembership(a.cfg, a.loop)
	a.membership.Store(member)
	a.admin = admin.New(admin.Options{
		Drainer:    a.downstream,
		Membership: member,
		MaxConns:   a.cfg.MaxAdminConns(1),
		Log:        a.cfg.Logger(),
	})
	closeAll := sync.OnceFunc(a.closeAll)
	defer closeAll()
	defer context.AfterFunc(a.killed, closeAll)()
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	limits := a.newSharedLimits()
	drainTime, err := a.serve(stop, reloads, limits)
	if err != nil {
		return err
	}
	if a.listeners.Shared {
		limits.halve(a.running) // the other process is running or about to start
	}
	return a.shutdown(member, drainTime)
}

// newSharedLimits returns the limits that this process shares with another one of the same agent.
func (a *Agent) newSharedLimits() *sharedLimits {
	return &sharedLimits{
		cfg:    a.cfg,
		admin:  a.admin,
		conns:  a.downstream,
		pool:   a.pool,
		quotas: append(a.bodyBudgets(), a.downstream.ConnSlots()),
	}
}

// bodyBudgets bound the bytes of buffered bodies: of requests, and of responses.
func (a *Agent) bodyBudgets() []message.Quota {
	return []message.Quota{a.downstream.BodyBudget(), a.pool.BodyBudget()}
}

// shutdown ends the agent gracefully: it finishes the open requests within drainTime while it leaves the
// membership, and stops the loop last, which the open requests need until their end.
func (a *Agent) shutdown(member *membership.Membership, drainTime time.Duration) error {
	left := leaveMembership(member)
	err := a.downstream.Shutdown(drainTime)
	if a.killed.Err() != nil {
		return ErrKilled
	}
	if err != nil {
		a.cfg.Logger().Warn("shutdown", "err", err)
	}
	<-left
	a.stopLoop()
	<-a.loopDone
	a.cfg.Logger().Info("stopped", "metrics", a.loop.MetricsText())
	return nil
}

// serve serves until stop is done, and returns how long open requests may be finished from then on.
func (a *Agent) serve(
	stop context.Context, reloads <-chan *config.Config, limits *sharedLimits,
) (drainTime time.Duration, err error) {
	defer close(a.servingDone)
	failed := make(chan error, 2)
	if a.listeners.Admin != nil {
		go func() { failed <- a.admin.Serve(a.listeners.Admin) }()
	}
	firstListTimer, err := a.prepareAccepting(limits, failed)
	if err != nil {
		return 0, err
	}
	usable := a.usable
	active := &activeConfig{
		cfg:        a.cfg,
		downstream: a.downstream,
		loop:       a.loop,
		drainTime:  downstream.DrainTime(&a.cfg.Settings),
	}
	for {
		select {
		case <-usable:
			a.startServing(failed)
			usable = nil
		case <-firstListTimer:
			a.downstream.AcceptClients()
		case err := <-failed:
			if a.killed.Err() != nil {
				err = ErrKilled
			}
			return 0, err
		case cfg := <-reloads:
			active.reload(cfg)
		case update := <-a.settingsUpdates:
			active.applyUpdate(update)
		case <-a.killed.Done():
			return 0, ErrKilled
		case <-stop.Done():
			return active.drainTime, nil
		}
	}
}

// prepareAccepting does what precedes the first usable server. The returned channel sends when the agent is to
// say that it is ready without one; nil: never.
func (a *Agent) prepareAccepting(limits *sharedLimits, failed chan<- error) (timeout <-chan time.Time, err error) {
	if !a.listeners.Shared {
		// Until a server is known, requests are rejected.
		a.downstream.Start(failed)
		return time.After(firstListTimeout), nil
	}
	// The lock comes before the first client, so that the limits that the other process uses are left to it.
	// There is no timeout: the process that still serves may know a server.
	if err := limits.holdLock(a.running, a.listeners.Lock); err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	return nil, nil
}

// startServing serves clients once a server may be sent requests. From a shared queue no connection is accepted before
// its requests can be served: the process that still serves accepts it.
func (a *Agent) startServing(failed chan<- error) {
	if a.listeners.Shared {
		a.downstream.Start(failed)
	}
	a.downstream.SetServing()
}

// applySettings hands settings of the discovery service to serve, and returns once they are in force. An error
// says why they are not: ErrAgentStopping once nothing is applied any more.
func (a *Agent) applySettings(ctx context.Context, settings *endpoint.Settings) error {
	update := settingsUpdate{settings: settings, done: make(chan error, 1)}
	select {
	case a.settingsUpdates <- update:
	case <-a.servingDone:
		return discovery.ErrAgentStopping
	case <-ctx.Done():
		return discovery.ErrAgentStopping
	}
	select {
	case err := <-update.done:
		return err
	case <-ctx.Done():
		return discovery.ErrAgentStopping
	}
}

// Kill ends the agent as SIGKILL would: its sockets are closed at once, and nobody is notified. It does not
// wait; Run returns once everything has ended. Kill may be called at any time.
func (a *Agent) Kill() { a.kill() }

// closeAll closes whatever is open and waits for the loop. Clients come first: they must get no response to a
// request that the loop's end cut off. Errors of closing are ignored: nothing is sent on these sockets any more.
func (a *Agent) closeAll() {
	a.downstream.Close()
	if a.listeners.Admin != nil {
		_ = a.listeners.Admin.Close() // where it has not been served yet
	}
	a.admin.Close()
	a.stopLoop()
	a.loop.Close()
	a.pool.Shutdown()
	if member := a.membership.Load(); member != nil {
		member.Kill()
	}
	<-a.loopDone
}
