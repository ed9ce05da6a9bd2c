package agent

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// testDispatcher serves each request with an empty response, and counts the requests.
type testDispatcher struct {
	requests atomic.Int64
}

func (d *testDispatcher) dispatch(c *clientRequest) {
	d.requests.Add(1)
	c.response <- finalResponse{kind: responseServed, header: http.Header{}, body: &responseBody{}}
}

func (*testDispatcher) abandon(*clientRequest)                       {}
func (*testDispatcher) cancelStreaming()                             {}
func (*testDispatcher) endAll()                                      {}
func (*testDispatcher) acceptFailed(error)                           {}
func (*testDispatcher) invalidRequest(string, string, *requestError) {}
func (*testDispatcher) responseAborted(*clientRequest, error, error) {}

// startServer serves the clients that connect to a listener by a testDispatcher.
func startServer(t *testing.T, ln net.Listener) (*downstreamServer, *testDispatcher) {
	t.Helper()
	requests := new(testDispatcher)
	cfg := newTestConfig(t, ln.Addr().String(), newDiscoveryServer(t))
	server := newDownstreamServer(t.Context(), cfg, ln, false, requests, func(bool) {})
	server.setServing()
	served := make(chan error, 1)
	go func() { served <- server.serve() }()
	t.Cleanup(func() {
		server.close()
		<-served
	})
	return server, requests
}

// listen is a listener on a port that the system chooses.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}
