package agenttest

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

// SettingsDiscovery is an instance of a discovery service that sends settings.
type SettingsDiscovery struct {
	*httptest.Server
	Calls chan url.Values // of each call

	mu       sync.Mutex
	version  uint64
	Settings *endpoint.Settings
	Stubborn bool // it tells its settings whatever the call has
	Down     bool
	wake     chan struct{}
}

func NewSettingsDiscovery(t *testing.T, version uint64) *SettingsDiscovery {
	d := &SettingsDiscovery{version: version, Calls: make(chan url.Values, 1000), wake: make(chan struct{})}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *SettingsDiscovery) Addr() string { return d.Listener.Addr().String() }

func (d *SettingsDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	q := req.URL.Query()
	d.Calls <- q
	num := func(key string) uint64 { n, _ := strconv.ParseUint(q.Get(key), 10, 64); return n }
	over := time.After(time.Duration(num("wait")) * time.Millisecond)
	for last := false; ; {
		d.mu.Lock()
		l, wake, down := endpoint.List{Version: d.version, Full: num("index") == 0, Servers: []endpoint.Endpoint{}}, d.wake, d.Down
		if s := d.Settings; s != nil && q.Get("service") == s.Service && (d.Stubborn || s.Version > max(num("in_force"), num("refused"))) {
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

func (d *SettingsDiscovery) Change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *SettingsDiscovery) Publish(version uint64, value string) {
	d.Change(func() {
		d.Settings = &endpoint.Settings{Service: "pay", Version: version, Value: json.RawMessage(value)}
	})
}

// waitCall waits for a call that satisfies a condition.
func (d *SettingsDiscovery) waitCall(t *testing.T, what string, is func(url.Values) bool) url.Values {
	t.Helper()
	for over := time.After(Timeout); ; {
		select {
		case q := <-d.Calls:
			if is(q) {
				return q
			}
		case <-over:
			t.Fatal("no call with ", what)
		}
	}
}

func (d *SettingsDiscovery) WaitCallWith(t *testing.T, key, value string) url.Values {
	t.Helper()
	return d.waitCall(t, key+"="+value, func(q url.Values) bool { return q.Get(key) == value })
}

// Drain forgets the calls so far.
func (d *SettingsDiscovery) Drain() {
	for len(d.Calls) > 0 {
		<-d.Calls
	}
}

// SettingsWith are the tests' settings without the keys that belong to one agent, one text replaced by
// another.
func SettingsWith(from, to string) string {
	text := strings.NewReplacer(`"index":0,`, ``, `,"zone":0`, ``).Replace(Settings)
	return strings.Replace(text, from, to, 1)
}
