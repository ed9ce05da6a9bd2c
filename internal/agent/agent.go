package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"time"
)

// Run serves until stop is done, then ends in order. It returns nil when every
// request that was held has been answered. Each configuration that comes on reloads
// replaces the address of discovery; the rest of it takes effect at a start only.
func Run(stop context.Context, cfg *Config, ln net.Listener, reloads <-chan *Config) error {
	return run(stop, cfg, ln, reloads, func(*loop) {})
}

// run is Run, which also hands out the loop before it starts.
func run(stop context.Context, cfg *Config, ln net.Listener, reloads <-chan *Config, made func(*loop)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // only after the front: requests held need the loop to the end
	f := newFront(cfg)
	l, err := newLoop(ctx, cfg, func() { f.ready.Store(true) })
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	f.loop = l
	made(l)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.run()
	}()
	failed := make(chan error, 1)
	go func() { failed <- f.serve(ln) }()
	for serving := true; serving; {
		select {
		case err := <-failed:
			return err
		case c := <-reloads:
			l.post(func() { l.reload(c) })
		case <-stop.Done():
			serving = false
		}
	}
	if err := f.shutdown(cfg.heldFor()); err != nil {
		slog.Warn("shutdown", "err", err) // connections that never brought a request
	}
	cancel()
	<-ended
	slog.Info("stopped", "figures", fmt.Sprintf("%+v", l.figures))
	return nil
}

// heldFor is how long requests that are held at the end are waited for, once no more
// connections come. SIGKILL comes no sooner than the longest deadline and 0.7 s after
// SIGTERM: what came last has its whole time, and the end is well before that.
func (c *Config) heldFor() time.Duration {
	held := 100 * time.Millisecond
	for _, class := range c.Settings.Classes {
		held = max(held, ms(class.GiveUpMs)+50*time.Millisecond)
	}
	return held
}
