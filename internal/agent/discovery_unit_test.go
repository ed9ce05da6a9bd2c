package agent

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

	"fernbeam.example/fernbeam/internal/clock"
)

// A watch that has fallen silent is opened anew, on a connection of its own: one that idles
// beside it may have fallen silent with it.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	addr, calls := scriptedDiscovery(t, func(_ int, c watchCall) string {
		if c.index == "" {
			return `{"version":7,"full":true,"servers":[]}`
		}
		return "" // all that is open now stays silent
	})
	d := newTestDiscoveryClient(addr, 7, func(listResponse) {})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	first := nextCall(t, calls)
	silent := time.Now()
	d.fetch(ctx) // on another connection, which idles from now on
	second := nextCall(t, calls)
	if first.conn == second.conn {
		t.Fatal("the fetch came on the watch's connection")
	}
	third := nextCall(t, calls)
	if third.index != "7" || third.conn == first.conn || third.conn == second.conn {
		t.Errorf("after the silence: call %+v, want index 7 on a new connection", third)
	}
	if took := time.Since(silent); took > notifiedWithin {
		t.Errorf("the watch was opened anew after %v", took)
	}
}

// After a move the new address is polled for the full list, however often its first calls fail, and never from
// a version of the old one.
func TestMovedDiscoveryIsPolledForTheFullList(t *testing.T) {
	t.Parallel()
	old, oldCalls := scriptedDiscovery(t, func(int, watchCall) string { return "" })
	moved, calls := scriptedDiscovery(t, func(n int, _ watchCall) string {
		if n < 2 {
			return "no list"
		}
		return `{"version":3,"full":true,"servers":[]}`
	})
	told := make(chan listResponse, 100)
	d := newTestDiscoveryClient(old, 41, func(n listResponse) { told <- n })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	if c := nextCall(t, oldCalls); c.index != "41" {
		t.Errorf("the known version was not asked from: %+v", c)
	}
	d.moveTo(moved)
	for i, want := range []string{"0", "0", "0", "3"} {
		if c := nextCall(t, calls); c.index != want {
			t.Errorf("call %d asks from %s, want %s", i, c.index, want)
		}
	}
	for n := range told {
		if n.err == nil {
			if !n.complete || n.list.Version != 3 {
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
	told := make(chan listResponse, 100)
	d := newTestDiscoveryClient(refusing.Addr().String(), 1, func(n listResponse) { told <- n })
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.keepWatch(ctx)
	last := time.Now()
	for range 6 { // the wait has doubled to its bound by then
		n := <-told
		if n.err == nil || errors.Is(n.err, errDiscoveryMoved) {
			t.Fatalf("told %+v", n)
		}
		if wait := time.Since(last); wait > notifiedWithin-watchWait-callGrace {
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
	d := newTestDiscoveryClient(busy.Listener.Addr().String(), 1, func(listResponse) {})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	from := time.Now()
	d.watch(ctx)
	most := maxCallBurst + int64(maxCallsPerSecond*time.Since(from).Seconds()) + 1
	if n := calls.Load(); n < 2 || n > most {
		t.Errorf("%d calls, want 2 to %d", n, most)
	}
}

// newTestDiscoveryClient is a discovery client without an agent, which knows version of the list at addr.
func newTestDiscoveryClient(addr string, version uint64, onResponse func(listResponse)) *discoveryClient {
	cfg := &Config{Discovery: addr, Known: List{Version: version}}
	return newDiscoveryClient(cfg, clock.System(), nil, onResponse)
}
