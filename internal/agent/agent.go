// Package agent runs the balancing policy as a real load balancer. It creates the components of an agent, connects
// them, and controls the order in which they start and shut down. The components are subpackages:
//
//   - downstream serves the clients; it knows the event loop only as its Dispatcher;
//   - dispatch is the event loop, which owns the policy, the requests in flight and the endpoint list;
//   - upstream holds the connections to servers and makes attempts;
//   - discovery calls the discovery service for the endpoint list and for settings;
//   - admin serves the operators' HTTP endpoint;
//   - config reads and validates the configuration;
//   - message defines what downstream, dispatch and upstream pass to each other; socket and keyhash are helpers;
//   - agenttest provides servers, discovery services and clients for tests.
//
// The goroutine of Agent.Run applies reloads and settings from the discovery service; it takes no part in handling
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
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/membership"
)

// firstListTimeout is how long the agent waits for a first server before it reports that it is ready. A restarted
// agent must be ready within 10 s even if it knows no list and the discovery service does not respond; it then rejects
// requests in time.
const firstListTimeout = 5 * time.Second

// ErrKilled is returned by Run after Kill.
var ErrKilled = errors.New("agent: killed")

// Agent is a load balancer instance. A process may run several of them.
type Agent struct {
	cfg        *config.Config
	listeners  Listeners
	downstream *downstream.Server
	pool       *upstream.Pool
	loop       *dispatch.Loop
	admin      *admin.Server  // nil until Run
	lock       *processLock   // nil unless the client listener is shared
	handover   *stateHandover // nil unless processes hand over their state
	membership atomic.Pointer[membership.Membership]

	//nolint:containedctx // the loop outlives the context of Run
	loopCtx      context.Context    // canceled to end the loop
	stopLoop     context.CancelFunc // cancels loopCtx, and with it everything that runs under it
	loopDone     chan struct{}      // closed once the loop has ended
	serversReady chan struct{}      // closed once requests may be sent to a server
	// settingsUpdates receives settings from the discovery service until servingDone is closed.
	settingsUpdates chan settingsUpdate
	servingDone     chan struct{}
	//nolint:containedctx // Kill may be called at any time, also before Run
	killed context.Context
	kill   context.CancelFunc
}

// Run creates an agent and calls its Run method.
func Run(ctx context.Context, cfg *config.Config, listeners Listeners, reloads <-chan *config.Config) error {
	a, err := New(cfg, listeners)
	if err != nil {
		return err
	}
	return a.Run(ctx, reloads)
}

// New returns an agent, which owns the listeners unless New fails. It fails if the policy does not accept the settings
// or if the client listener is shared but missing.
func New(cfg *config.Config, listeners Listeners) (*Agent, error) {
	if listeners.Clients == nil {
		if listeners.Shared {
			return nil, errors.New("agent: no listener to share")
		}
		listeners.Clients = newUnusedListener()
	}
	a := &Agent{
		listeners:       listeners,
		loopDone:        make(chan struct{}),
		serversReady:    make(chan struct{}),
		settingsUpdates: make(chan settingsUpdate),
		servingDone:     make(chan struct{}),
	}
	cfg, err := a.joinProcesses(cfg)
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	a.cfg = cfg
	a.pool = upstream.NewPool(cfg)
	a.loopCtx, a.stopLoop = context.WithCancel(context.Background())
	if err := a.createLoop(); err != nil {
		a.stopLoop()
		if a.lock != nil {
			a.lock.close()
		}
		return nil, fmt.Errorf("agent: %w", err)
	}
	a.downstream = downstream.New(a.loopCtx, cfg, downstream.Options{
		Listener:   listeners.Clients,
		Shared:     listeners.Shared,
		Dispatcher: a.loop,
		Streams:    a.pool.Streams(),
		OnDrain:    a.announceDrain,
	})
	a.loop.ReportResources(a.describeResources)
	a.killed, a.kill = context.WithCancel(context.Background())
	return a, nil
}

// createLoop creates the event loop.
func (a *Agent) createLoop() error {
	options := dispatch.Options{
		ClientIDs:      a.listeners.openClientIDs(a.cfg.Logger()),
		Pool:           a.pool,
		OnServersReady: sync.OnceFunc(func() { close(a.serversReady) }),
		ApplySettings:  a.applySettings,
	}
	if a.handover != nil {
		options.OnListChange = a.handover.stateChanged
	}
	loop, err := dispatch.New(a.loopCtx, a.cfg, options)
	if err != nil {
		return err
	}
	a.loop = loop
	if a.handover != nil {
		a.handover.loop = loop
	}
	return nil
}

// announceDrain notifies the other agents that this one has started or stopped draining.
func (a *Agent) announceDrain(draining bool) {
	if member := a.membership.Load(); member != nil {
		member.SetDraining(draining)
	}
}

// Run runs the agent; it may be called only once. It serves until ctx is done, then shuts down gracefully, and returns
// nil once all open requests have their response; after Kill it returns ErrKilled. When it returns, all sockets are
// closed. Each configuration received from reloads replaces the addresses of the discovery service and, unless that
// service has set them, the settings; everything else in it takes effect only at a start.
//
//nolint:contextcheck // the loop, the membership and the drain outlive ctx: they finish the open requests
func (a *Agent) Run(ctx context.Context, reloads <-chan *config.Config) error {
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
	drainTime, err := a.serve(ctx, reloads, limits)
	if err != nil {
		return err
	}
	if a.listeners.Shared {
		limits.halve(a.loopCtx) // another process of this agent is running or about to start
	}
	return a.shutdown(member, drainTime)
}

// shutdown ends the agent gracefully: it finishes the open requests within drainTime and meanwhile leaves the
// membership. It stops the loop last, since open requests need it.
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
	if a.handover != nil {
		a.handover.save() // a change may not be saved yet
	}
	a.stopLoop()
	<-a.loopDone
	a.cfg.Logger().Info("stopped", "metrics", a.loop.MetricsText())
	return nil
}

// serve serves until ctx is done. It returns the time within which the open requests must then finish.
func (a *Agent) serve(
	ctx context.Context, reloads <-chan *config.Config, limits *sharedLimits,
) (drainTime time.Duration, err error) {
	defer close(a.servingDone)
	failed := make(chan error, 2)
	if a.listeners.Admin != nil {
		go func() { failed <- a.admin.Serve(a.listeners.Admin) }()
	}
	firstListTimer := a.prepareAccepting(limits, failed)
	serversReady := a.serversReady
	active := &activeConfig{
		cfg:        a.cfg,
		downstream: a.downstream,
		loop:       a.loop,
		membership: a.membership.Load(),
		handover:   a.handover,
		drainTime:  downstream.DrainTime(&a.cfg.Settings),
	}
	for {
		select {
		case <-serversReady:
			a.startServing(failed)
			serversReady = nil
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
		case <-ctx.Done():
			return active.drainTime, nil
		}
	}
}

// prepareAccepting makes the preparations that don't require a usable server. A value on the returned channel means
// that the agent must report that it is ready although it knows no server. The channel is nil if the agent must never
// do so.
func (a *Agent) prepareAccepting(limits *sharedLimits, failed chan<- error) (timeout <-chan time.Time) {
	if !a.listeners.Shared {
		// Requests are rejected until a server is known.
		a.downstream.Start(failed)
		return time.After(firstListTimeout)
	}
	// The limits are divided before the first client is accepted, so that this process doesn't use the other one's share.
	// There is no timeout: the process that still serves may know a server.
	limits.followLock(a.loopCtx, a.lock)
	return nil
}

// startServing starts serving clients once requests may be sent to a server. Connections of a shared accept queue are
// not accepted before that, so that the process that still serves accepts them.
func (a *Agent) startServing(failed chan<- error) {
	if a.listeners.Shared {
		a.downstream.Start(failed)
	}
	a.downstream.SetServing()
}

// applySettings passes settings of the discovery service to serve and waits until they are in force. It returns
// discovery.ErrAgentStopping if the agent no longer applies settings, and otherwise the reason why they are rejected.
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

// Kill ends the agent as SIGKILL would: it closes all sockets at once and notifies no peers. It doesn't wait; Run
// returns once everything has ended. Kill may be called at any time.
func (a *Agent) Kill() { a.kill() }

// closeAll closes everything that is open and waits for the loop. Client connections are closed first, so that no
// client receives a response to a request that the end of the loop interrupted. Errors from closing are ignored since
// nothing more is sent on these sockets.
func (a *Agent) closeAll() {
	a.downstream.Close()
	if a.listeners.Admin != nil {
		_ = a.listeners.Admin.Close() // the admin server doesn't close it if it has not served it yet
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
