package discovery

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/clock"
)

// Agents begin spread over the addresses, and those of one that fails move on to different ones.
func TestAgentsAreSpreadOverAddresses(t *testing.T) {
	addrs := []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}
	pairs := map[[2]string]int{}
	for i := range 600 {
		name := fmt.Sprint("pay-", i)
		o := orderAddresses(addrs, name)
		if again := orderAddresses([]string{addrs[2], addrs[0], addrs[1]}, name); !slices.Equal(o, again) {
			t.Fatalf("%s asks in the order %v, or %v where the file names them otherwise", name, o, again)
		}
		pairs[[2]string{o[0], o[1]}]++
	}
	for pair, n := range pairs {
		if n < 60 || n > 140 {
			t.Errorf("%d of 600 agents ask in the order %v, want some 100", n, pair)
		}
	}
	if len(pairs) != 6 {
		t.Errorf("%d orders of 6 are used", len(pairs))
	}
}

// The waits are drawn evenly from zero up to their bound: of a failover, and of a round, which doubles.
func TestWaitsHaveFullJitter(t *testing.T) {
	most, low := map[int]time.Duration{}, map[int]time.Duration{}
	for range 300 {
		for turns, i := newAddressBackoff(), 0; i < 15; i++ {
			w := turns.nextDelay(3)
			if most[i] = max(most[i], w); low[i] == 0 || w < low[i] {
				low[i] = w
			}
		}
	}
	for i := range 15 {
		bound := maxFailoverDelay
		if i%3 == 2 {
			bound = min(minRoundBackoff<<(i/3), maxRoundBackoff)
		}
		if most[i] > bound || most[i] < bound*3/4 || low[i] > bound/4 {
			t.Errorf("wait %d is %v to %v in 300 draws, want 0 to %v", i, low[i], most[i], bound)
		}
	}
}

// A watch moves where a call fails, keeps its version and stays where it is answered.
func TestWatchMovesOnFailureAndStays(t *testing.T) {
	t.Parallel()
	by := map[string]*agenttest.SettingsDiscovery{}
	cfg := &config.Config{Name: "pay-1", Control: &config.Control{}}
	for range 3 {
		d := agenttest.NewSettingsDiscovery(t, 41)
		by[d.Addr()] = d
		cfg.Control.Addresses = append(cfg.Control.Addresses, d.Addr())
	}
	cfg.Discovery = cfg.Control.Addresses[0]
	cfg.Known.Version = 7
	d := New(cfg, clock.System(), nil, func(Response) {})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	asked := orderAddresses(cfg.Addresses(), "pay-1")
	first, second, third := by[asked[0]], by[asked[1]], by[asked[2]]
	go d.KeepWatch(ctx)
	first.WaitCallWith(t, "index", "7")
	first.WaitCallWith(t, "index", "41")
	first.Change(func() { first.Down = true })
	second.WaitCallWith(t, "index", "41")
	first.Change(func() { first.Down = false })
	first.Drain()
	for range 3 {
		if q := second.WaitCallWith(t, "index", "41"); len(q) != 2 {
			t.Errorf("the call has %v", q)
		}
	}
	if n := len(first.Calls) + len(third.Calls); n != 0 {
		t.Errorf("%d calls went elsewhere though the second address answered", n)
	}
	second.Listener.Close()
	second.CloseClientConnections()
	third.WaitCallWith(t, "index", "41")
}

// A call whose connection is lost is not retried until the wait after a failure is over: the agents of an
// instance that fails would all call at once.
func TestLostCallIsNotRetriedAtOnce(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var conns atomic.Int64
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			br := bufio.NewReader(nc)
			for n := 0; n < 2; n++ { // the second call gets no answer
				if _, err := http.ReadRequest(br); err != nil || n == 1 {
					break
				}
				text := `{"version":5,"full":false,"servers":[]}`
				fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			}
			nc.Close()
		}
	}()
	atFailure := make(chan int64, 100)
	cfg := &config.Config{Name: "pay-1", Discovery: ln.Addr().String(), Control: &config.Control{Service: "pay"}}
	cfg.Known.Version = 1
	d := New(cfg, clock.System(), nil, func(n Response) {
		if n.Err != nil {
			atFailure <- conns.Load()
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.KeepWatch(ctx)
	for want := range int64(3) {
		if got := <-atFailure; got != want+1 {
			t.Errorf("%d connections came before failure %d was told", got, want+1)
		}
	}
}

// An instance that has an older version than the others is skipped; only once all have one the full list is
// asked for.
func TestOlderVersionIsAcceptedOnlyFromAllAddresses(t *testing.T) {
	t.Parallel()
	cfg := &config.Config{Name: "pay-1", Control: &config.Control{}}
	var mu sync.Mutex
	var asked []string
	for range 3 {
		addr, _ := agenttest.ScriptedDiscovery(t, func(_ int, c agenttest.WatchCall) string {
			mu.Lock()
			defer mu.Unlock()
			asked = append(asked, c.Index)
			if len(asked) > 4 {
				return ""
			}
			return `{"version":2,"full":true,"servers":[]}`
		})
		cfg.Control.Addresses = append(cfg.Control.Addresses, addr)
	}
	cfg.Discovery = cfg.Control.Addresses[0]
	cfg.Known.Version = 7
	d := New(cfg, clock.System(), nil, func(Response) {})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.KeepWatch(ctx)
	agenttest.WaitUntil(t, "five calls", func() bool { mu.Lock(); defer mu.Unlock(); return len(asked) >= 5 })
	mu.Lock()
	defer mu.Unlock()
	if want := []string{"7", "7", "7", "0", "2"}; !slices.Equal(asked[:5], want) {
		t.Errorf("asked from %v, want %v", asked, want)
	}
}

// Without the section "control" the client has one address, no backoff of several and no settings to ask for.
func TestClientWithoutControlSection(t *testing.T) {
	client := newTestClient("127.0.0.1:1", 1, func(Response) {})
	if client.backoff != nil || client.settingsWatch != nil || len(client.CurrentSource().addrs) != 1 {
		t.Error("the discovery client has parts that only the section calls for")
	}
}

// A move to several addresses leaves the client with all of them.
func TestMoveToSeveralAddresses(t *testing.T) {
	client := newTestClient("127.0.0.1:1", 1, func(Response) {})
	client.MoveTo("127.0.0.1:2", "127.0.0.1:3")
	if addrs := client.CurrentSource().addrs; len(addrs) != 2 {
		t.Errorf("the addresses are %v", addrs)
	}
}
