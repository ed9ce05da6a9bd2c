// Package agent runs the decision module as a real agent: clients on one side,
// backends and discovery on the other, and a loop that turns what happens into
// the module's events and carries out its actions.
package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/listener"
	"fernbeam.example/fernbeam/internal/membership"
)

// firstListWait is how long clients are kept waiting for a first server: restarts are ready within
// 10 s, also where nothing is known and discovery is silent. Requests are then refused in time.
const firstListTimeout = 5 * time.Second

// Agent is one agent. Many may run in one process.
type Agent struct {
	cfg        *Config
	ln         Listeners
	clients    *clientListener
	downstream *downstreamServer
	eventLoop  *eventLoop
	stopLoop   context.CancelFunc // of the loop, and of all that has its context
	loopDone   chan struct{}      // closed once the loop has
	usable     chan struct{}      // closed once a backend may be sent to
	// told takes settings that the list service told, until unserved is closed.
	settingsUpdates chan settingsUpdate
	servingDone     chan struct{}
	membership      atomic.Pointer[membership.Fleet]
	admin           *adminServer
	killed          context.Context
	kill            context.CancelFunc
}

// ErrKilled is what Run returns after Kill.
var ErrKilled = errors.New("agent: killed")

// Run serves until stop is done, then ends in order. It returns nil when every
// request that was held has been answered. Each configuration that comes on reloads
// replaces the settings, unless the list service has told others, and the addresses of discovery; the
// rest takes effect at a start only.
func Run(stop context.Context, cfg *Config, ln Listeners, reloads <-chan *Config) error {
	return run(stop, cfg, ln, reloads, func(*downstreamServer, *eventLoop) {})
}

// run is Run, which also hands out the parts before they start.
func run(stop context.Context, cfg *Config, ln Listeners, reloads <-chan *Config, made func(*downstreamServer, *eventLoop)) error {
	a, err := New(cfg, ln)
	if err != nil {
		return err
	}
	made(a.downstream, a.eventLoop)
	return a.Run(stop, reloads)
}

// New makes an agent, whose listeners it takes over unless there is an error: a setting that the
// module can't use, or a shared listener that is none.
func New(cfg *Config, ln Listeners) (*Agent, error) {
	if ln.Clients == nil {
		if ln.Shared {
			return nil, errors.New("agent: no listener to share")
		}
		ln.Clients = newUnusedListener()
	}
	a := &Agent{cfg: cfg, ln: ln, downstream: newDownstreamServer(cfg), loopDone: make(chan struct{}), usable: make(chan struct{}),
		settingsUpdates: make(chan settingsUpdate), servingDone: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	a.stopLoop = stop
	var err error
	if a.eventLoop, err = newEventLoop(ctx, cfg, sync.OnceFunc(func() { close(a.usable) })); err != nil {
		stop()
		return nil, fmt.Errorf("agent: %w", err)
	}
	if w := a.eventLoop.discovery.settingsWatch; w != nil {
		w.apply = a.applySettings
	}
	a.downstream.loop = a.eventLoop
	a.clients = newClientListener(listener.New(ln.Clients, a.downstream.acceptFailed), a.downstream.conns.slots)
	a.killed, a.kill = context.WithCancel(context.Background())
	return a, nil
}

// Run is the agent's life, of which it has one: it serves until stop is done, then ends in order,
// as the function Run says. At its return all sockets are closed. After Kill it returns ErrKilled.
func (a *Agent) Run(stop context.Context, reloads <-chan *Config) error {
	go func() {
		defer close(a.loopDone)
		a.eventLoop.run()
	}()
	view, err := startMembership(a.cfg, a.downstream, a.eventLoop)
	a.membership.Store(view)
	a.admin = newAdminServer(a.downstream, view, a.cfg.adminConns(1))
	a.admin.setLogger(a.cfg.logger())
	end := sync.OnceFunc(a.closeAll)
	defer end()
	defer context.AfterFunc(a.killed, end)()
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	share := &sharedLimits{cfg: a.cfg, admin: a.admin, conns: a.downstream.conns, pool: a.eventLoop.pool,
		quotas: []quota{a.downstream.conns.slots, a.downstream.bodyBudget, a.eventLoop.pool.budget}}
	held, err := a.serve(stop, reloads, share)
	if err != nil {
		return err
	}
	if a.ln.Shared {
		share.halve(a.eventLoop.ctx) // the other process is there, or comes
	}
	left := leaveMembership(view)
	err = a.downstream.shutdown(a.clients, a.ln.Shared, held)
	if a.killed.Err() != nil {
		return ErrKilled
	}
	if err != nil {
		a.cfg.logger().Warn("shutdown", "err", err)
	}
	<-left
	a.stopLoop() // only after the front: requests held need the loop to the end
	<-a.loopDone
	a.cfg.logger().Info("stopped", "metrics", fmt.Sprintf("%+v", *a.eventLoop.currentMetrics()))
	return nil
}

// serve serves until stop is done, and tells how long requests are held from then on.
func (a *Agent) serve(stop context.Context, reloads <-chan *Config, share *sharedLimits) (held time.Duration, err error) {
	defer close(a.servingDone)
	failed := make(chan error, 2)
	if a.ln.Operators != nil {
		go func() { failed <- a.admin.serve(a.ln.Operators) }()
	}
	if a.ln.Shared {
		// Before the first client, so that what the other process has is left to it.
		if err := share.holdLock(a.eventLoop.ctx, a.ln.Lock); err != nil {
			return 0, fmt.Errorf("agent: %w", err)
		}
	}
	serve := func() { failed <- a.downstream.serve(a.clients) }
	if !a.ln.Shared {
		// Until a backend is known clients are answered that it is not.
		go serve()
		serve = nil
	}
	var waited <-chan time.Time
	if !a.ln.Shared { // there the process that still serves knows more
		waited = time.After(firstListTimeout)
	}
	usable := a.usable
	force := &activeConfig{cfg: a.cfg, downstream: a.downstream, loop: a.eventLoop, drainTime: a.cfg.drainTime()}
	for {
		select {
		case <-usable:
			// From a shared queue nothing is taken before it can be served: the process
			// that still serves takes it.
			if serve != nil {
				go serve()
			}
			a.downstream.setServing()
			usable = nil
		case <-waited:
			a.downstream.acceptsClients.Store(true)
		case err := <-failed:
			if a.killed.Err() != nil {
				err = ErrKilled
			}
			return 0, err
		case c := <-reloads:
			force.reload(c)
		case h := <-a.settingsUpdates:
			force.applyUpdate(h)
		case <-a.killed.Done():
			return 0, ErrKilled
		case <-stop.Done():
			return force.drainTime, nil
		}
	}
}

// take hands settings that the list service told to serve, and returns once they are in force. An
// error is why they are not: errNotServing once nothing is taken over any more.
func (a *Agent) applySettings(ctx context.Context, s *endpoint.Settings) error {
	h := settingsUpdate{settings: s, done: make(chan error, 1)}
	select {
	case a.settingsUpdates <- h:
	case <-a.servingDone:
		return errAgentStopping
	case <-ctx.Done():
		return errAgentStopping
	}
	select {
	case err := <-h.done:
		return err
	case <-ctx.Done():
		return errAgentStopping
	}
}

// Kill ends the agent as SIGKILL would: its sockets are closed at once, and nothing is told to
// anybody. It does not wait; Run returns once all has ended. It may be called at any time.
func (a *Agent) Kill() { a.kill() }

// end closes whatever is open, clients first: a request that the loop's end cut off must not
// look answered.
func (a *Agent) closeAll() {
	a.clients.Close()
	a.downstream.server.Close()
	if a.ln.Operators != nil {
		a.ln.Operators.Close() // where it has not been served yet
	}
	a.admin.close()
	a.stopLoop()
	a.eventLoop.discovery.close()
	a.eventLoop.pool.shutdown()
	if view := a.membership.Load(); view != nil {
		view.Kill()
	}
	<-a.loopDone
}
