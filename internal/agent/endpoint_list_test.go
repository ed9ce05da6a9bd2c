package agent

import (
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
			cfg := *a.agent.cfg
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
