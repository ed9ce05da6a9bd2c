package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/clock"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// A watch that has fallen silent is opened anew, on a connection of its own: one that idles
// beside it may have fallen silent with it.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	addr, calls := agenttest.ScriptedDiscovery(t, func(_ int, c agenttest.WatchCall) string {
		if c.Index == "" {
			return `{"version":7,"full":true,"servers":[]}`
		}
		return "" // all that is open now stays silent
	})
	d := newTestClient(addr, 7, func(Response) {})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.KeepWatch(ctx)
	first := agenttest.NextCall(t, calls)
	silent := time.Now()
	d.Fetch(ctx) // on another connection, which idles from now on
	second := agenttest.NextCall(t, calls)
	if first.Conn == second.Conn {
		t.Fatal("the fetch came on the watch's connection")
	}
	third := agenttest.NextCall(t, calls)
	if third.Index != "7" || third.Conn == first.Conn || third.Conn == second.Conn {
		t.Errorf("after the silence: call %+v, want index 7 on a new connection", third)
	}
	if took := time.Since(silent); took > agenttest.NotifiedWithin {
		t.Errorf("the watch was opened anew after %v", took)
	}
}

// After a move the new address is polled for the full list, however often its first calls fail, and never from
// a version of the old one.
func TestMovedDiscoveryIsPolledForTheFullList(t *testing.T) {
	t.Parallel()
	old, oldCalls := agenttest.ScriptedDiscovery(t, func(int, agenttest.WatchCall) string { return "" })
	moved, calls := agenttest.ScriptedDiscovery(t, func(n int, _ agenttest.WatchCall) string {
		if n < 2 {
			return "no list"
		}
		return `{"version":3,"full":true,"servers":[]}`
	})
	told := make(chan Response, 100)
	d := newTestClient(old, 41, func(n Response) { told <- n })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.KeepWatch(ctx)
	if c := agenttest.NextCall(t, oldCalls); c.Index != "41" {
		t.Errorf("the known version was not asked from: %+v", c)
	}
	d.MoveTo(moved)
	for i, want := range []string{"0", "0", "0", "3"} {
		if c := agenttest.NextCall(t, calls); c.Index != want {
			t.Errorf("call %d asks from %s, want %s", i, c.Index, want)
		}
	}
	for n := range told {
		if n.Err == nil {
			if !n.Complete || n.List.Version != 3 {
				t.Errorf("told %+v", n)
			}
			break
		}
	}
}

// A discovery whose calls fail in other ways than by silence is asked again as well.
func TestFailedCallsAreRetriedInTime(t *testing.T) {
	t.Parallel()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	told := make(chan Response, 100)
	d := newTestClient(refusing.Addr().String(), 1, func(n Response) { told <- n })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.KeepWatch(ctx)
	last := time.Now()
	for range 6 { // the wait has doubled to its bound by then
		n := <-told
		if n.Err == nil || errors.Is(n.Err, errMoved) {
			t.Fatalf("told %+v", n)
		}
		if wait := time.Since(last); wait > agenttest.NotifiedWithin-watchWait-callGrace {
			t.Errorf("a refused call was repeated after %v", wait)
		}
		last = time.Now()
	}
}

// A discovery that answers every watch at once is not called in a tight loop.
func TestDiscoveryCallsAreRateLimited(t *testing.T) {
	var calls atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer busy.Close()
	d := newTestClient(busy.Listener.Addr().String(), 1, func(Response) {})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	from := time.Now()
	d.Watch(ctx)
	most := maxCallBurst + int64(maxCallsPerSecond*time.Since(from).Seconds()) + 1
	if n := calls.Load(); n < 2 || n > most {
		t.Errorf("%d calls, want 2 to %d", n, most)
	}
}

// newTestClient is a discovery client without an agent, which knows version of the list at addr.
func newTestClient(addr string, version uint64, onResponse func(Response)) *Client {
	cfg := &config.Config{Discovery: addr, Known: endpoint.List{Version: version}}
	return New(cfg, clock.System(), nil, onResponse)
}
