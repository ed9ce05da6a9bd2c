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

// SettingsDiscovery is an instance of a discovery service that sends settings. Once it receives calls, its fields
// Settings, AlwaysSend and Down may be changed only by functions that are passed to Change.
type SettingsDiscovery struct {
	*httptest.Server
	Calls chan url.Values // the query of each call

	mu         sync.Mutex
	version    uint64
	Settings   *endpoint.Settings // nil if there are none
	AlwaysSend bool               // settings are sent regardless of the version that the caller has
	Down       bool               // every call fails
	wake       chan struct{}
}

// NewSettingsDiscovery starts an instance whose endpoint list is empty and has the given version.
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

// Addr returns the address of the instance.
func (d *SettingsDiscovery) Addr() string { return d.Listener.Addr().String() }

func (d *SettingsDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	d.Calls <- query
	wait := time.Duration(queryNumber(query, "wait")) * time.Millisecond
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

// response returns the list that answers a call, including the settings if the caller needs them. The caller must hold
// d.mu.
func (d *SettingsDiscovery) response(query url.Values) endpoint.List {
	list := endpoint.List{
		Version: d.version,
		Full:    queryNumber(query, "index") == 0,
		Servers: []endpoint.Endpoint{},
	}
	if d.Settings == nil || query.Get("service") != d.Settings.Service {
		return list
	}
	known := max(queryNumber(query, "in_force"), queryNumber(query, "refused"))
	if d.AlwaysSend || d.Settings.Version > known {
		list.Settings = d.Settings
	}
	return list
}

// queryNumber returns the value of a query parameter as a number, or 0 if it is absent or not a number.
func queryNumber(query url.Values, key string) uint64 {
	value, _ := strconv.ParseUint(query.Get(key), 10, 64)
	return value
}

// Change calls a function that changes the state of the instance, and makes the open calls check the state again.
func (d *SettingsDiscovery) Change(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	close(d.wake)
	d.wake = make(chan struct{})
}

// Publish makes the instance send settings with the given version and value.
func (d *SettingsDiscovery) Publish(version uint64, value string) {
	d.Change(func() {
		d.Settings = &endpoint.Settings{Service: "pay", Version: version, Value: json.RawMessage(value)}
	})
}

// waitCall waits for a call whose query satisfies matches.
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
			t.Fatal("no call to the discovery service with ", what)
		}
	}
}

// WaitCallWith waits for a call that has a query parameter with the given value.
func (d *SettingsDiscovery) WaitCallWith(t *testing.T, key, value string) url.Values {
	t.Helper()
	return d.waitCall(t, key+"="+value, func(query url.Values) bool { return query.Get(key) == value })
}

// DiscardCalls discards the calls received so far.
func (d *SettingsDiscovery) DiscardCalls() {
	for len(d.Calls) > 0 {
		<-d.Calls
	}
}

// SettingsWith returns Settings without the keys that are specific to one agent, with the first occurrence of from
// replaced by to.
func SettingsWith(from, to string) string {
	text := strings.NewReplacer(`"index":0,`, ``, `,"zone":0`, ``).Replace(Settings)
	return strings.Replace(text, from, to, 1)
}
