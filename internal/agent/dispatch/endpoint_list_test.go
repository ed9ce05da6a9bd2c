package dispatch

import (
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/discovery"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// listChange returns the response to a watch call with one changed entry.
func listChange(source *discovery.Source, version uint64, changed endpoint.Endpoint) discovery.Response {
	list := &endpoint.List{Version: version, Servers: []endpoint.Endpoint{changed}}
	return discovery.Response{Source: source, Watch: true, List: list}
}

// fullList returns the response to a request for the full list.
func fullList(source *discovery.Source, version uint64, entries ...endpoint.Endpoint) discovery.Response {
	list := &endpoint.List{Version: version, Full: true, Servers: entries}
	return discovery.Response{Source: source, List: list}
}

// When discovery moves to a new address, responses of the old address are applied until the new one has responded. The
// new address has its own versions.
func TestResponsesDuringDiscoveryMove(t *testing.T) {
	ready := agenttest.Endpoint("s-1", "127.0.0.1:1")
	draining := ready
	draining.State = endpoint.StateDraining
	loop := startLoop(t, agenttest.NewDiscovery(t, ready, agenttest.Endpoint("s-2", "127.0.0.1:2")), nil)
	done := make(chan bool)
	loop.Post(func() {
		defer close(done)
		old := loop.discovery.CurrentSource()
		loop.onListResponse(discovery.Response{Source: old, Watch: true, List: &endpoint.List{Version: 50}})
		loop.discovery.MoveTo("127.0.0.1:9")
		loop.onListResponse(listChange(old, 51, draining))
		if loop.endpoints.byID["s-1"].IsAvailable() {
			t.Error("response of the old address was dropped before the new address had responded")
		}
		loop.onListResponse(fullList(loop.discovery.CurrentSource(), 3, ready))
		if !loop.endpoints.byID["s-1"].IsAvailable() || loop.list.version != 3 {
			t.Errorf("list of the new address is not in force (version %d)", loop.list.version)
		}
		loop.onListResponse(listChange(old, 52, draining))
		if !loop.endpoints.byID["s-1"].IsAvailable() || loop.list.version != 3 {
			t.Error("response of the old address replaced the list of the new one")
		}
	})
	<-done
}

// Responses of discovery that arrive out of order do not restore an older version of the list.
func TestOldListIsDropped(t *testing.T) {
	ready := agenttest.Endpoint("s-1", "127.0.0.1:1")
	draining := ready
	draining.State = endpoint.StateDraining
	loop := startLoop(t, agenttest.NewDiscovery(t, ready), nil)
	done := make(chan bool)
	loop.Post(func() {
		defer close(done)
		source := loop.discovery.CurrentSource()
		loop.onListResponse(listChange(source, 9, draining))
		older := fullList(source, 8, ready)
		loop.onListResponse(older)
		older.Watch = true
		loop.onListResponse(older)
		if loop.endpoints.byID["s-1"].IsAvailable() {
			t.Error("older list reverted a drain")
		}
		loop.onListResponse(discovery.Response{
			Source: source,
			Watch:  true,
			List:   &endpoint.List{Version: 10, Full: true},
		})
		if len(loop.endpoints.byID) != 0 || len(loop.endpoints.byAddr) != 0 {
			t.Error("server that is no longer listed was kept")
		}
	})
	<-done
}

func TestPolicyAddressesAreStableAndUnique(t *testing.T) {
	first, second := newEndpointList(new(balancer.Settings)), newEndpointList(new(balancer.Settings))
	server := second.findOrAdd("s-1")
	if first.findOrAdd("s-1").policyAddr != server.policyAddr {
		t.Error("two agents use different policy addresses for the same server")
	}
	delete(second.byID, "s-1") // its address remains in use, as if by another id
	if other := second.findOrAdd("s-1"); other.policyAddr == server.policyAddr {
		t.Error("two servers have the same policy address")
	}
}
