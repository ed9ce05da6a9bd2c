package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"clayproxy.example/clayproxy/internal/fleet"
)

// Listeners are what one agent listens on.
type Listeners struct {
	Clients net.Listener
	// Shared tells that other processes accept from the clients' queue too: it
	// outlives this process.
	Shared bool
	// Lock is the file that tells such processes of each other.
	Lock string
	// Operators is their door; nil: there is none.
	Operators net.Listener
}

// Run serves until stop is done, then ends in order. It returns nil when every
// request that was held has been answered. Each configuration that comes on reloads
// replaces the settings and the address of discovery; the rest takes effect at a start only.
func Run(stop context.Context, cfg *Config, ln Listeners, reloads <-chan *Config) error {
	return run(stop, cfg, ln, reloads, func(*front, *loop) {})
}

// run is Run, which also hands out the parts before they start.
func run(stop context.Context, cfg *Config, ln Listeners, reloads <-chan *Config, made func(*front, *loop)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // only after the front: requests held need the loop to the end
	f := newFront(cfg)
	usable := make(chan struct{})
	l, err := newLoop(ctx, cfg, sync.OnceFunc(func() { close(usable) }))
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	f.loop = l
	made(f, l)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run()
	}()
	view, err := joinFleet(cfg, f, l)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	failed := make(chan error, 2)
	m := newManagement(f, view, cfg.operatorConns(1))
	defer m.close()
	if ln.Operators != nil {
		go func() { failed <- m.serve(ln.Operators) }()
	}
	share := &shares{cfg: cfg, door: m, conns: f.conns, pool: l.pool, quotas: []quota{f.conns.slots, f.budget, l.pool.budget}}
	if ln.Shared {
		// Before the first client, so that what the other process has is left to it.
		if err := share.takeTurn(ctx, ln.Lock); err != nil {
			return fmt.Errorf("agent: %w", err)
		}
	}
	clients := newClientListener(ln.Clients, f.conns.slots)
	serve := func() { failed <- f.serve(clients) }
	if !ln.Shared {
		// Until a backend is known clients are answered that it is not.
		go serve()
		serve = nil
	}
	var waited <-chan time.Time
	if !ln.Shared { // there the process that still serves knows more
		waited = time.After(firstListWait)
	}
	held := cfg.heldFor()
	for serving := true; serving; {
		select {
		case <-usable:
			// From a shared queue nothing is taken before it can be served: the process
			// that still serves takes it.
			if serve != nil {
				go serve()
			}
			f.ready()
			usable = nil
		case <-waited:
			f.takes.Store(true)
		case err := <-failed:
			return err
		case c := <-reloads:
			held = max(held, c.heldFor()) // what is open keeps its old deadline
			f.retune(c)
			l.post(func() { l.reload(c) })
		case <-stop.Done():
			serving = false
		}
	}
	if ln.Shared {
		share.halve(ctx) // the other process is there, or comes
	}
	left := leaveFleet(view)
	if err := f.shutdown(clients, ln.Shared, held); err != nil {
		slog.Warn("shutdown", "err", err)
	}
	<-left
	cancel()
	<-ended
	slog.Info("stopped", "figures", fmt.Sprintf("%+v", l.figures))
	return nil
}

// joinFleet begins to take part in the fleet view, where the configuration has one. The loop
// gets each view as a posted event; nothing in the loop waits for it.
func joinFleet(cfg *Config, f *front, l *loop) (*fleet.Fleet, error) {
	if cfg.Fleet == nil {
		return nil, nil
	}
	c := *cfg.Fleet
	c.OnView = func(v *fleet.View) { l.post(func() { l.onFleet(v) }) }
	view, err := fleet.Start(c)
	if err == nil {
		f.onDrain = view.SetDraining
	}
	return view, err
}

// leaveFleet tells the others that this process ends, beside its last requests; what it gives
// is closed once they are told.
func leaveFleet(view *fleet.Fleet) <-chan struct{} {
	left := make(chan struct{})
	go func() {
		defer close(left)
		if view != nil {
			view.Leave()
		}
	}()
	return left
}

// firstListWait is how long clients are kept waiting for a first server: restarts are ready within
// 10 s, also where nothing is known and discovery is silent. Requests are then refused in time.
const firstListWait = 5 * time.Second

// MemoryLimit is the memory that the runtime is to keep within, long before the limit over
// which the agent would be killed.
func (c *Config) MemoryLimit() int64 { return int64(c.MemoryMB) << 20 * 3 / 4 }

// longestWait is how long a deadline counts for the platform at the most.
const longestWait = 3 * time.Second

// heldFor is how long requests are held after SIGTERM at the most. SIGKILL comes no sooner
// than the longest deadline (but longestWait) and 0.7 s after it: what came while connections
// still did has its whole time up to that, and its final answer well before the kill.
func (c *Config) heldFor() time.Duration {
	held := 100 * time.Millisecond
	for _, class := range c.Settings.Classes {
		held = max(held, min(ms(class.GiveUpMs), longestWait)+50*time.Millisecond)
	}
	return linger + held
}
