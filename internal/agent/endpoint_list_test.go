package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

func TestDrain(t *testing.T) {
	old, other := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", old.addr))
	a := startAgent(t, d, nil)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	d.set(target("s-2", other.addr))
	drains := target("s-1", old.addr)
	drains.State = "draining"
	d.waitNotified(t, drains)
	before := old.count()
	for range 8 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if old.count() != before || other.count() < 8 {
		t.Errorf("%d arrivals after the telling, %d elsewhere", old.count()-before, other.count())
	}
	select { // its idle connection is closed
	case <-old.ended:
	case <-time.After(testTimeout):
		t.Error("the idle connection to the draining backend stays open")
	}
}

func TestAddressChange(t *testing.T) {
	old, moved := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", old.addr))
	a := startAgent(t, d, nil)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	d.waitNotified(t, target("s-1", moved.addr))
	status, _, _ = a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if old.count() != 1 || moved.count() != 1 {
		t.Errorf("%d arrivals at the old address, %d at the new", old.count(), moved.count())
	}
}

// While discovery is down the known list stays in force and the calls are few; when it is back the agent gets
// what has changed.
func TestDiscoveryOutage(t *testing.T) {
	first, second := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", first.addr))
	a := startAgent(t, d, nil)
	d.waitVersion(t, 1)
	d.setDown(true)
	before := d.callCount()
	for d.callCount() == before { // the policy asks for the list again, after a time of its choice
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	if n := d.callCount() - before; n > 4 {
		t.Errorf("%d calls at once to a discovery that is down", n)
	}
	d.setDown(false)
	gone := target("s-1", first.addr)
	gone.State = "removed"
	d.set(target("s-2", second.addr))
	d.waitNotified(t, gone)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if second.count() == 0 {
		t.Error("the new backend is not used")
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

// Responses of discovery that cross do not take the list back to an older version.
func TestOldListIsDropped(t *testing.T) {
	l := startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), nil).agent.loop
	done := make(chan bool)
	l.post(func() {
		defer close(done)
		drains := target("s-1", "127.0.0.1:1")
		drains.State = "draining"
		at := l.discovery.currentSource()
		up := []Target{target("s-1", "127.0.0.1:1")}
		l.onListResponse(listResponse{source: at, watch: true, list: &List{Version: 9, Servers: []Target{drains}}})
		l.onListResponse(listResponse{source: at, list: &List{Version: 8, Full: true, Servers: up}})
		l.onListResponse(listResponse{source: at, watch: true, list: &List{Version: 8, Full: true, Servers: up}})
		if l.endpoints.byID["s-1"].isAvailable() {
			t.Error("an older list took back a drain")
		}
		l.onListResponse(listResponse{source: at, watch: true, list: &List{Version: 10, Full: true}})
		if len(l.endpoints.byID) != 0 || len(l.endpoints.byAddr) != 0 {
			t.Error("a backend that is gone is kept")
		}
	})
	<-done
}

func TestPolicyAddressesAreStableAndUnique(t *testing.T) {
	x, y := newEndpointList(nil, nil), newEndpointList(nil, nil)
	a, b := x.findOrAdd("s-1"), y.findOrAdd("s-1")
	if a.policyAddr != b.policyAddr {
		t.Error("two agents name one backend differently")
	}
	delete(y.byID, "s-1") // now its name is taken by another id
	if c := y.findOrAdd("s-1"); c.policyAddr == b.policyAddr {
		t.Error("two backends have one name")
	}
}

// Where changes of the list are pushed the policy asks for nothing: the agent keeps a watch by itself from
// its start, and reopens it after failures.
func TestPushedChangesAreWatchedFor(t *testing.T) {
	first, second := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", first.addr))
	a := startAgent(t, d, func(c *Config) { c.Settings.DiscoveryMode = "pushed" })
	d.waitNotified(t, target("s-2", second.addr))
	d.setDown(true)
	for before := d.callCount(); d.callCount() < before+2; time.Sleep(time.Millisecond) {
	}
	d.setDown(false)
	gone := target("s-1", first.addr)
	gone.State = "removed"
	d.waitNotified(t, gone)
	before := first.count()
	for range 4 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if first.count() != before || second.count() < 4 {
		t.Errorf("%d arrivals at the one that is gone, %d at the other", first.count()-before, second.count())
	}
}

// After a reload the list is watched at the new address, whichever side asks for the watch, and the old one
// gets no more calls.
func TestReloadMovesDiscovery(t *testing.T) {
	for _, mode := range []balancer.DiscoveryMode{balancer.DiscoveryPushed, balancer.DiscoveryOnRequest} {
		t.Run(string(mode), func(t *testing.T) {
			first, second := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
			old := newDiscoveryServer(t, target("s-1", first.addr))
			a := startAgent(t, old, func(c *Config) { c.Settings.DiscoveryMode = mode })
			old.waitVersion(t, 1)
			moved := newDiscoveryServer(t, target("s-1", first.addr), target("s-2", second.addr))
			moved.list.Version = 7
			cfg := *a.agent.loop.cfg
			cfg.Discovery = moved.Listener.Addr().String()
			a.reloads <- &cfg
			moved.waitVersion(t, 7)
			before := old.callCount()
			gone := target("s-1", first.addr)
			gone.State = "removed"
			moved.waitNotified(t, gone)
			for range 4 {
				status, _, _ := a.do(newRequest(a.addr, "order", "x"))
				wantStatus(t, status, 200)
			}
			if first.count() != 0 || second.count() < 4 {
				t.Errorf("%d arrivals at the one that is gone, %d at the other", first.count(), second.count())
			}
			if n := old.callCount() - before; n != 0 {
				t.Errorf("%d calls at the old address", n)
			}
		})
	}
}
