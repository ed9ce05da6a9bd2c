package agent

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
)

// connNumberKey is the context key of the number of a call's connection.
type connNumberKey struct{}

// watchCall is a call that a scripted discovery got: its index, and on which connection.
type watchCall struct {
	index string
	conn  int64
}

// scriptedDiscovery answers the n-th call (from 0) as the script says; what it returns is the
// body, and "" is no answer until the caller gives up.
func scriptedDiscovery(t *testing.T, script func(n int, c watchCall) string) (addr string, calls <-chan watchCall) {
	var count, conns atomic.Int64
	got := make(chan watchCall, 1000)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := watchCall{req.URL.Query().Get("index"), req.Context().Value(connNumberKey{}).(int64)}
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

func nextCall(t *testing.T, calls <-chan watchCall) watchCall {
	t.Helper()
	select {
	case c := <-calls:
		return c
	case <-time.After(testTimeout):
		t.Fatal("no call")
		return watchCall{}
	}
}

// fakeDiscovery has a list and answers fetches and watches.
type fakeDiscovery struct {
	*httptest.Server
	mu      sync.Mutex
	list    List
	changed map[string]uint64 // version of each entry's last change
	down    bool
	calls   int
	wake    chan struct{}
	asked   chan uint64 // the index of each watch call
}

func newDiscoveryServer(t testing.TB, servers ...Target) *fakeDiscovery {
	d := &fakeDiscovery{list: List{Version: 1, Full: true, Servers: servers}, changed: map[string]uint64{},
		wake: make(chan struct{}), asked: make(chan uint64, 1000)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *fakeDiscovery) serve(w http.ResponseWriter, req *http.Request) {
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
		json.NewEncoder(w).Encode(d.list)
		return
	}
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait"))
	d.asked <- index
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		version, wake, down := d.list.Version, d.wake, d.down
		delta := List{Version: version}
		if index == 0 { // all there is has changed since
			delta = List{Version: version, Full: true, Servers: slices.Clone(d.list.Servers)}
		} else if version > index {
			for _, s := range d.list.Servers {
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
			json.NewEncoder(w).Encode(List{Version: version})
			return
		case <-req.Context().Done():
			return
		}
	}
}

// set changes or adds an entry.
func (d *fakeDiscovery) set(s Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	d.changed[s.ID] = d.list.Version
	found := false
	for i := range d.list.Servers {
		if d.list.Servers[i].ID == s.ID {
			d.list.Servers[i], found = s, true
		}
	}
	if !found {
		d.list.Servers = append(d.list.Servers, s)
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *fakeDiscovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// waitNotified changes an entry and returns once the agent has passed the change to its loop: the watch calls
// again first and passes on then, so one more change is made and the call after that is waited for.
func (d *fakeDiscovery) waitNotified(t *testing.T, s Target) {
	t.Helper()
	d.set(s)
	d.waitVersion(t, d.list.Version)
	d.set(s)
	d.waitVersion(t, d.list.Version)
}

// waitVersion waits for a watch call with an index of at least version.
func (d *fakeDiscovery) waitVersion(t *testing.T, version uint64) {
	t.Helper()
	over := time.After(testTimeout)
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

func target(id, addr string) Target {
	return Target{ID: id, Addr: addr, Zone: "east", Kind: "big", State: "up", Weight: 1}
}
