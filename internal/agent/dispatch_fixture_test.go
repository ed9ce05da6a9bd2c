package agent

import (
	"context"
	"log/slog"
	"net"
	"testing"
)

// testLoop is a running event loop with clients' requests, and without the rest of an agent.
type testLoop struct {
	*eventLoop
	addr string // where clients connect
	log  lineWriter
	// stop ends it gracefully.
	stop context.CancelFunc
}

// startLoop starts a loop that knows the list of the discovery as it is now.
func startLoop(t *testing.T, d *fakeDiscovery, change func(*Config)) *testLoop {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := newTestConfig(t, ln.Addr().String(), d)
	lines := make(lineWriter, maxTestLines)
	cfg.Log = slog.New(slog.NewTextHandler(lines, nil))
	if change != nil {
		change(cfg)
	}
	ctx, cancel := context.WithCancel(context.Background())
	loop, err := newEventLoop(ctx, cfg, newConnectionPool(cfg), func() {}, nil)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		loop.run()
	}()
	clients := newDownstreamServer(ctx, cfg, ln, false, loop, func(bool) {})
	go func() { _ = clients.serve() }()
	stopping, stop := context.WithCancel(context.Background())
	stopped := make(chan error, 1)
	context.AfterFunc(stopping, func() { stopped <- clients.shutdown(drainTime(&cfg.Settings)) })
	t.Cleanup(func() {
		stop()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		cancel()
		<-ended
	})
	return &testLoop{eventLoop: loop, addr: ln.Addr().String(), log: lines, stop: stop}
}

// inLoop returns what read returns in the loop.
func inLoop[T any](l *testLoop, read func() T) T {
	result := make(chan T, 1)
	l.post(func() { result <- read() })
	return <-result
}
