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

// discoveryServer is a fake discovery whose endpoint list grows by one server at each change. A watch
// waits for a change.
type discoveryServer struct {
	addr string

	mu      sync.Mutex
	version uint64
	changed chan struct{}
	callers map[string]bool // addresses that called
}

// newDiscoveryServer starts a discovery whose list has one server. The test's end stops it.
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

// ServeHTTP answers a poll at once, and a watch once there is a newer version or its time is over.
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
			_ = json.NewEncoder(response).Encode(list) // an error: the agent has ended
			return
		}
		select {
		case <-wake:
		case <-over:
			_ = json.NewEncoder(response).Encode(list) // an error: the agent has ended
			return
		case <-request.Context().Done():
			return
		}
	}
}

// addServer makes the next version of the list.
func (d *discoveryServer) addServer() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}
