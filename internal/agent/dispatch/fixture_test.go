package dispatch

import (
	"context"
	"log/slog"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/downstream"
	"fernbeam.example/fernbeam/internal/agent/upstream"
)

// testLoop is a running event loop with a downstream server, without the rest of an agent.
type testLoop struct {
	*Loop
	addr string // where clients connect
	log  agenttest.LineWriter
	stop context.CancelFunc // starts a graceful shutdown
}

// startLoop starts a loop that has the current list of discovery. A non-nil change may modify its configuration.
func startLoop(t *testing.T, discovery *agenttest.Discovery, change func(*config.Config)) *testLoop {
	t.Helper()
	ln := agenttest.Listen(t)
	cfg := agenttest.NewConfig(t, ln.Addr().String(), discovery)
	lines := make(agenttest.LineWriter, agenttest.MaxBufferedLines)
	cfg.Log = slog.New(slog.NewTextHandler(lines, nil))
	if change != nil {
		change(cfg)
	}
	ctx, cancel := context.WithCancel(context.Background())
	loop, err := New(ctx, cfg, Options{Pool: upstream.NewPool(cfg), OnServersReady: func() {}})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run()
	}()
	clients := downstream.New(ctx, cfg, downstream.Options{
		Listener:   ln,
		Dispatcher: loop,
		OnDrain:    func(bool) {},
	})
	clients.Start(make(chan error, 1))
	stopping, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	context.AfterFunc(stopping, func() { stopped <- clients.Shutdown(downstream.DrainTime(&cfg.Settings)) })
	t.Cleanup(func() {
		stop()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		cancel()
		<-ended
	})
	return &testLoop{Loop: loop, addr: ln.Addr().String(), log: lines, stop: stop}
}

// runInLoop calls read in the loop and returns its result.
func runInLoop[T any](l *testLoop, read func() T) T {
	result := make(chan T, 1)
	l.Post(func() { result <- read() })
	return <-result
}
