package agenttest

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// connNumberKey is the context key for the number of the connection on which a call arrived.
type connNumberKey struct{}

// WatchCall is a call that a scripted discovery service has received.
type WatchCall struct {
	Index string // the call's parameter index
	Conn  int64  // the number of the connection on which the call arrived
}

// StartScriptedDiscovery starts a discovery service that answers the n-th call (counted from 0) with the body that
// script returns. If the body is empty, the service doesn't respond and waits until the caller gives up.
func StartScriptedDiscovery(
	t *testing.T, script func(n int, c WatchCall) string,
) (addr string, calls <-chan WatchCall) {
	t.Helper()
	var count, conns atomic.Int64
	received := make(chan WatchCall, eventBuffer)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		call := WatchCall{Index: req.URL.Query().Get("index"), Conn: req.Context().Value(connNumberKey{}).(int64)}
		n := count.Add(1) - 1
		received <- call
		body := script(int(n), call)
		if body == "" {
			<-req.Context().Done()
			return
		}
		_, _ = io.WriteString(w, body)
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumberKey{}, conns.Add(1))
	}
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String(), received
}

// NextCall waits for the next call to a scripted discovery service.
func NextCall(t *testing.T, calls <-chan WatchCall) WatchCall {
	t.Helper()
	select {
	case call := <-calls:
		return call
	case <-time.After(Timeout):
		t.Fatal("no call to the discovery service")
		return WatchCall{}
	}
}

// Discovery is a discovery service that answers polls and watches of its endpoint list.
type Discovery struct {
	*httptest.Server
	mu      sync.Mutex
	List    endpoint.List
	changed map[string]uint64 // the list version of each endpoint's last change, by endpoint ID
	removed map[string]uint64 // the list version of the removal of each endpoint that is no longer listed, by ID
	down    bool
	silent  bool
	calls   int
	wake    chan struct{}
	watched chan uint64 // the index of each watch call
}

// NewDiscovery starts a discovery service whose list contains the servers and has version 1.
func NewDiscovery(tb testing.TB, servers ...endpoint.Endpoint) *Discovery {
	tb.Helper()
	d := &Discovery{
		List:    endpoint.List{Version: 1, Full: true, Servers: servers},
		changed: map[string]uint64{},
		removed: map[string]uint64{},
		wake:    make(chan struct{}),
		watched: make(chan uint64, eventBuffer),
	}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	tb.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *Discovery) serve(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	d.calls++
	down, silent := d.down, d.silent
	d.mu.Unlock()
	if silent {
		<-req.Context().Done()
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := req.URL.Query()
	if !query.Has("index") {
		d.mu.Lock()
		defer d.mu.Unlock()
		writeList(w, &d.List)
		return
	}
	index, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait"))
	d.watched <- index
	d.serveWatch(req.Context(), w, index, time.Duration(wait)*time.Millisecond)
}

// serveWatch answers a watch call as soon as the list has a version above index, or with an empty delta after wait.
func (d *Discovery) serveWatch(ctx context.Context, w http.ResponseWriter, index uint64, wait time.Duration) {
	timeout := time.After(wait)
	for {
		d.mu.Lock()
		delta, wake, down, silent := d.changesSince(index), d.wake, d.down, d.silent
		d.mu.Unlock()
		if silent {
			<-ctx.Done()
			return
		}
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if delta.Version > index {
			writeList(w, &delta)
			return
		}
		select {
		case <-wake:
		case <-timeout:
			writeList(w, &endpoint.List{Version: delta.Version})
			return
		case <-ctx.Done():
			return
		}
	}
}

// changesSince returns the endpoints that changed after a version. Like the project's discovery service, it returns no
// full list for version 0, but all changes. The caller must hold d.mu.
func (d *Discovery) changesSince(version uint64) endpoint.List {
	delta := endpoint.List{Version: d.List.Version}
	for _, entry := range d.List.Servers {
		if version == 0 || d.changed[entry.ID] > version {
			delta.Servers = append(delta.Servers, entry)
		}
	}
	for id, removedAt := range d.removed {
		if removedAt > version {
			delta.Servers = append(delta.Servers, endpoint.Endpoint{ID: id, State: endpoint.StateRemoved})
		}
	}
	return delta
}

// writeList writes list as the response to a call. It ignores errors: the caller may have closed the connection.
func writeList(w http.ResponseWriter, list *endpoint.List) { _ = json.NewEncoder(w).Encode(list) }

// Set adds an endpoint to the list or replaces the one with the same ID.
func (d *Discovery) Set(entry endpoint.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.List.Version++
	d.changed[entry.ID] = d.List.Version
	delete(d.removed, entry.ID)
	hasID := func(listed endpoint.Endpoint) bool { return listed.ID == entry.ID }
	if i := slices.IndexFunc(d.List.Servers, hasID); i >= 0 {
		d.List.Servers[i] = entry
	} else {
		d.List.Servers = append(d.List.Servers, entry)
	}
	d.wakeWatches()
}

// Remove removes the endpoint with the given ID from the list.
func (d *Discovery) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.List.Version++
	d.removed[id] = d.List.Version
	hasID := func(listed endpoint.Endpoint) bool { return listed.ID == id }
	d.List.Servers = slices.DeleteFunc(d.List.Servers, hasID)
	d.wakeWatches()
}

// SetSilent sets whether calls get no response. Calls that arrived meanwhile never get one.
func (d *Discovery) SetSilent(silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = silent
	d.wakeWatches()
}

// SetDown sets whether every call fails with status 503.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wakeWatches()
}

// wakeWatches makes the open watch calls check the state again. The caller must hold d.mu.
func (d *Discovery) wakeWatches() {
	close(d.wake)
	d.wake = make(chan struct{})
}

// CallCount returns the number of calls so far.
func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// WaitNotified changes an endpoint and returns once the agent has passed the change to its event loop. The agent's
// watch makes its next call before it passes a change on. WaitNotified therefore makes a second change and waits for
// the call after that.
func (d *Discovery) WaitNotified(t *testing.T, entry endpoint.Endpoint) {
	t.Helper()
	d.Set(entry)
	d.WaitVersion(t, d.List.Version)
	d.Set(entry)
	d.WaitVersion(t, d.List.Version)
}

// WaitVersion waits for a watch call with an index of at least version.
func (d *Discovery) WaitVersion(t *testing.T, version uint64) {
	t.Helper()
	timeout := time.After(Timeout)
	for {
		select {
		case index := <-d.watched:
			if index >= version {
				return
			}
		case <-timeout:
			t.Fatalf("no watch call with index %d", version)
		}
	}
}

// Endpoint returns the endpoint of a server that is ready.
func Endpoint(id, addr string) endpoint.Endpoint {
	return endpoint.Endpoint{ID: id, Addr: addr, Zone: "east", Kind: "big", State: endpoint.StateUp, Weight: 1}
}
