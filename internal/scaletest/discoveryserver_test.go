package scaletest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// discoveryServer is a fake discovery service whose endpoint list grows by one server with each version.
type discoveryServer struct {
	addr string

	mu      sync.Mutex
	version uint64
	changed chan struct{}
	callers map[string]bool // IP addresses that have called
}

// newDiscoveryServer starts a fake discovery service whose list has one server. It is stopped at the end of the test.
func newDiscoveryServer(t *testing.T) *discoveryServer {
	t.Helper()
	d := &discoveryServer{version: 1, changed: make(chan struct{}), callers: map[string]bool{}}
	server := httptest.NewServer(d)
	d.addr = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return d
}

// ServeHTTP responds to a poll immediately, and to a watch once there is a newer version or its wait time is over.
func (d *discoveryServer) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	index, _ := strconv.ParseUint(request.FormValue("index"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("wait"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		d.callers[from] = true
		version, wake := d.version, d.changed
		d.mu.Unlock()
		list := endpoint.List{Version: version, Servers: []endpoint.Endpoint{}}
		for added := index + 1; added <= version; added++ {
			list.Servers = append(list.Servers, endpoint.Endpoint{
				ID: fmt.Sprintf("s-%d", added), Addr: "127.0.0.1:1", Zone: "east", Kind: "big", State: "up", Weight: 1,
			})
		}
		list.Full = index == 0
		if version > index {
			_ = json.NewEncoder(response).Encode(list) // fails only if the agent has ended
			return
		}
		select {
		case <-wake:
		case <-over:
			_ = json.NewEncoder(response).Encode(list) // fails only if the agent has ended
			return
		case <-request.Context().Done():
			return
		}
	}
}

// addServer adds a server to the list and returns the new version.
func (d *discoveryServer) addServer() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}
