package agenttest

import (
	"context"
	"encoding/json"
	"fmt"
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

// connNumberKey is the context key of the number of a call's connection.
type connNumberKey struct{}

// WatchCall is a call that a scripted discovery got: its index, and on which connection.
type WatchCall struct {
	Index string
	Conn  int64
}

// ScriptedDiscovery answers the n-th call (from 0) as the script says; what it returns is the
// body, and "" is no answer until the caller gives up.
func ScriptedDiscovery(t *testing.T, script func(n int, c WatchCall) string) (addr string, calls <-chan WatchCall) {
	var count, conns atomic.Int64
	got := make(chan WatchCall, 1000)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := WatchCall{req.URL.Query().Get("index"), req.Context().Value(connNumberKey{}).(int64)}
		n := count.Add(1) - 1
		got <- c
		text := script(int(n), c)
		if text == "" {
			<-req.Context().Done()
			return
		}
		fmt.Fprint(w, text)
	}))
	s.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connNumberKey{}, conns.Add(1))
	}
	s.Start()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s.Listener.Addr().String(), got
}

func NextCall(t *testing.T, calls <-chan WatchCall) WatchCall {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(Timeout):
		t.Fatal("no call")
		return WatchCall{}
	}
}

// Discovery has a list and answers fetches and watches.
type Discovery struct {
	*httptest.Server
	mu      sync.Mutex
	List    endpoint.List
	changed map[string]uint64 // version of each entry's last change
	down    bool
	calls   int
	wake    chan struct{}
	asked   chan uint64 // the index of each watch call
}

func NewDiscovery(t testing.TB, servers ...endpoint.Endpoint) *Discovery {
	d := &Discovery{List: endpoint.List{Version: 1, Full: true, Servers: servers}, changed: map[string]uint64{},
		wake: make(chan struct{}), asked: make(chan uint64, 1000)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *Discovery) serve(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	d.calls++
	down := d.down
	d.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := req.URL.Query()
	if !q.Has("index") {
		d.mu.Lock()
		defer d.mu.Unlock()
		json.NewEncoder(w).Encode(d.List)
		return
	}
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait"))
	d.asked <- index
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		version, wake, down := d.List.Version, d.wake, d.down
		delta := endpoint.List{Version: version}
		if index == 0 { // all there is has changed since
			delta = endpoint.List{Version: version, Full: true, Servers: slices.Clone(d.List.Servers)}
		} else if version > index {
			for _, s := range d.List.Servers {
				if d.changed[s.ID] > index {
					delta.Servers = append(delta.Servers, s)
				}
			}
		}
		d.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if version > index {
			json.NewEncoder(w).Encode(delta)
			return
		}
		select {
		case <-wake:
		case <-over:
			json.NewEncoder(w).Encode(endpoint.List{Version: version})
			return
		case <-req.Context().Done():
			return
		}
	}
}

// Set changes or adds an entry.
func (d *Discovery) Set(s endpoint.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.List.Version++
	d.changed[s.ID] = d.List.Version
	found := false
	for i := range d.List.Servers {
		if d.List.Servers[i].ID == s.ID {
			d.List.Servers[i], found = s, true
		}
	}
	if !found {
		d.List.Servers = append(d.List.Servers, s)
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *Discovery) CallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// WaitNotified changes an entry and returns once the agent has passed the change to its loop: the watch calls
// again first and passes on then, so one more change is made and the call after that is waited for.
func (d *Discovery) WaitNotified(t *testing.T, s endpoint.Endpoint) {
	t.Helper()
	d.Set(s)
	d.WaitVersion(t, d.List.Version)
	d.Set(s)
	d.WaitVersion(t, d.List.Version)
}

// WaitVersion waits for a watch call with an index of at least version.
func (d *Discovery) WaitVersion(t *testing.T, version uint64) {
	t.Helper()
	over := time.After(Timeout)
	for {
		select {
		case index := <-d.asked:
			if index >= version {
				return
			}
		case <-over:
			t.Fatalf("no watch call with index %d", version)
		}
	}
}

func Endpoint(id, addr string) endpoint.Endpoint {
	return endpoint.Endpoint{ID: id, Addr: addr, Zone: "east", Kind: "big", State: "up", Weight: 1}
}
