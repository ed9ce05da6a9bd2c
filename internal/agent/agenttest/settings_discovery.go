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

	mu          sync.Mutex
	version     uint64
	Settings    *endpoint.Settings // nil: it has none
	SendsAlways bool               // it sends its settings whatever version the call has
	Down        bool               // every call fails
	wake        chan struct{}
}

// NewSettingsDiscovery starts an instance whose list is empty and has a version.
func NewSettingsDiscovery(t *testing.T, version uint64) *SettingsDiscovery {
	t.Helper()
	d := &SettingsDiscovery{version: version, Calls: make(chan url.Values, eventBuffer), wake: make(chan struct{})}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

// Addr is the address of the instance.
func (d *SettingsDiscovery) Addr() string { return d.Listener.Addr().String() }

func (d *SettingsDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	d.Calls <- query
	wait := time.Duration(number(query, "wait")) * time.Millisecond
	timeout := time.After(wait)
	for timedOut := false; ; {
		d.mu.Lock()
		list, wake, down := d.response(query), d.wake, d.Down
		d.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case list.Settings != nil || list.Full || timedOut:
			writeList(w, &list)
			return
		}
		select {
		case <-wake:
		case <-timeout:
			timedOut = true
		case <-req.Context().Done():
			return
		}
	}
}

// response is the list for a call, with the settings if the call needs them. The caller has mu.
func (d *SettingsDiscovery) response(query url.Values) endpoint.List {
	list := endpoint.List{
		Version: d.version,
		Full:    number(query, "index") == 0,
		Servers: []endpoint.Endpoint{},
	}
	if d.Settings == nil || query.Get("service") != d.Settings.Service {
		return list
	}
	known := max(number(query, "in_force"), number(query, "refused"))
	if d.SendsAlways || d.Settings.Version > known {
		list.Settings = d.Settings
	}
	return list
}

// number is the number of a query's key; 0: it has none.
func number(query url.Values, key string) uint64 {
	value, _ := strconv.ParseUint(query.Get(key), 10, 64)
	return value
}

// Change calls a function that changes the instance, and has the open calls look again.
func (d *SettingsDiscovery) Change(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.wake)
	d.wake = make(chan struct{})
}

// Publish has settings of a version sent.
func (d *SettingsDiscovery) Publish(version uint64, value string) {
	d.Change(func() {
		d.Settings = &endpoint.Settings{Service: "pay", Version: version, Value: json.RawMessage(value)}
	})
}

// waitCall waits for a call that satisfies a condition.
func (d *SettingsDiscovery) waitCall(t *testing.T, what string, matches func(url.Values) bool) url.Values {
	t.Helper()
	timeout := time.After(Timeout)
	for {
		select {
		case query := <-d.Calls:
			if matches(query) {
				return query
			}
		case <-timeout:
			t.Fatal("no call with ", what)
		}
	}
}

// WaitCallWith waits for a call whose key has a value.
func (d *SettingsDiscovery) WaitCallWith(t *testing.T, key, value string) url.Values {
	t.Helper()
	return d.waitCall(t, key+"="+value, func(query url.Values) bool { return query.Get(key) == value })
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
