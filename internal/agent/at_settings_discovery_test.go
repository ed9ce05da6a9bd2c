package agent

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// fakeSettingsDiscovery is an instance of a discovery service that sends settings.
type fakeSettingsDiscovery struct {
	*httptest.Server
	calls chan url.Values // of each call

	mu       sync.Mutex
	version  uint64
	settings *endpoint.Settings
	stubborn bool // it tells its settings whatever the call has
	down     bool
	wake     chan struct{}
}

func newFakeSettingsDiscovery(t *testing.T, version uint64) *fakeSettingsDiscovery {
	d := &fakeSettingsDiscovery{version: version, calls: make(chan url.Values, 1000), wake: make(chan struct{})}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *fakeSettingsDiscovery) addr() string { return d.Listener.Addr().String() }

func (d *fakeSettingsDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	d.calls <- q
	num := func(key string) uint64 { n, _ := strconv.ParseUint(q.Get(key), 10, 64); return n }
	over := time.After(time.Duration(num("wait")) * time.Millisecond)
	for last := false; ; {
		d.mu.Lock()
		l, wake, down := List{Version: d.version, Full: num("index") == 0, Servers: []Target{}}, d.wake, d.down
		if s := d.settings; s != nil && q.Get("service") == s.Service && (d.stubborn || s.Version > max(num("in_force"), num("refused"))) {
			l.Settings = s
		}
		d.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case l.Settings != nil || l.Full || last:
			json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-wake:
		case <-over:
			last = true
		case <-req.Context().Done():
			return
		}
	}
}

func (d *fakeSettingsDiscovery) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *fakeSettingsDiscovery) publish(version uint64, value string) {
	d.change(func() {
		d.settings = &endpoint.Settings{Service: "pay", Version: version, Value: json.RawMessage(value)}
	})
}

// waitCall waits for a call that satisfies a condition.
func (d *fakeSettingsDiscovery) waitCall(t *testing.T, what string, is func(url.Values) bool) url.Values {
	t.Helper()
	for over := time.After(testTimeout); ; {
		select {
		case q := <-d.calls:
			if is(q) {
				return q
			}
		case <-over:
			t.Fatal("no call with ", what)
		}
	}
}

func (d *fakeSettingsDiscovery) waitCallWith(t *testing.T, key, value string) url.Values {
	t.Helper()
	return d.waitCall(t, key+"="+value, func(q url.Values) bool { return q.Get(key) == value })
}

// drain forgets the calls so far.
func (d *fakeSettingsDiscovery) drain() {
	for len(d.calls) > 0 {
		<-d.calls
	}
}

// settingsWith are the tests' settings without the keys that belong to one agent, one text replaced by
// another.
func settingsWith(from, to string) string {
	text := strings.NewReplacer(`"index":0,`, ``, `,"zone":0`, ``).Replace(testSettings)
	return strings.Replace(text, from, to, 1)
}
