package dispatch

import (
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/discovery"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// The list follows the address that is in force: what the old one still brings counts until
// the new one has answered, and the new one's versions are of its own count.
func TestResponsesThatCrossAMove(t *testing.T) {
	up, drains := agenttest.Endpoint("s-1", "127.0.0.1:1"), agenttest.Endpoint("s-1", "127.0.0.1:1")
	drains.State = "draining"
	l := startLoop(t, agenttest.NewDiscovery(t, up, agenttest.Endpoint("s-2", "127.0.0.1:2")), nil)
	done := make(chan bool)
	l.Post(func() {
		defer close(done)
		old := l.discovery.CurrentSource()
		l.onListResponse(discovery.Response{Source: old, Watch: true, List: &endpoint.List{Version: 50}})
		l.discovery.MoveTo("127.0.0.1:9")
		l.onListResponse(discovery.Response{Source: old, Watch: true, List: &endpoint.List{Version: 51, Servers: []endpoint.Endpoint{drains}}})
		if l.endpoints.byID["s-1"].IsAvailable() {
			t.Error("what the old address told before the new one answered was dropped")
		}
		l.onListResponse(discovery.Response{Source: l.discovery.CurrentSource(), List: &endpoint.List{Version: 3, Full: true, Servers: []endpoint.Endpoint{up}}})
		if !l.endpoints.byID["s-1"].IsAvailable() || l.list.version != 3 {
			t.Errorf("the new address's list was not taken over (version %d)", l.list.version)
		}
		l.onListResponse(discovery.Response{Source: old, Watch: true, List: &endpoint.List{Version: 52, Servers: []endpoint.Endpoint{drains}}})
		if !l.endpoints.byID["s-1"].IsAvailable() || l.list.version != 3 {
			t.Error("the old address turned the list back")
		}
	})
	<-done
}

// Responses of discovery that cross do not take the list back to an older version.
func TestOldListIsDropped(t *testing.T) {
	l := startLoop(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1")), nil)
	done := make(chan bool)
	l.Post(func() {
		defer close(done)
		drains := agenttest.Endpoint("s-1", "127.0.0.1:1")
		drains.State = "draining"
		at := l.discovery.CurrentSource()
		up := []endpoint.Endpoint{agenttest.Endpoint("s-1", "127.0.0.1:1")}
		l.onListResponse(discovery.Response{Source: at, Watch: true, List: &endpoint.List{Version: 9, Servers: []endpoint.Endpoint{drains}}})
		l.onListResponse(discovery.Response{Source: at, List: &endpoint.List{Version: 8, Full: true, Servers: up}})
		l.onListResponse(discovery.Response{Source: at, Watch: true, List: &endpoint.List{Version: 8, Full: true, Servers: up}})
		if l.endpoints.byID["s-1"].IsAvailable() {
			t.Error("an older list took back a drain")
		}
		l.onListResponse(discovery.Response{Source: at, Watch: true, List: &endpoint.List{Version: 10, Full: true}})
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
