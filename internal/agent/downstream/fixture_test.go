package downstream

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// testDispatcher answers each request with an empty response and counts the requests.
type testDispatcher struct {
	requests atomic.Int64
}

func (d *testDispatcher) Dispatch(request *message.Request) {
	d.requests.Add(1)
	request.Response <- message.Response{Kind: message.Served, Header: http.Header{}, Body: &message.ResponseBody{}}
}

func (*testDispatcher) Abandon(*message.Request)                             {}
func (*testDispatcher) CancelStreaming()                                     {}
func (*testDispatcher) EndAll()                                              {}
func (*testDispatcher) AcceptFailed(error)                                   {}
func (*testDispatcher) InvalidRequest(string, string, *message.RequestError) {}
func (*testDispatcher) ResponseAborted(*message.Request, error, error)       {}

// startServer starts a Server on the listener, with a testDispatcher.
func startServer(t *testing.T, ln net.Listener) (*Server, *testDispatcher) {
	t.Helper()
	dispatcher := new(testDispatcher)
	cfg := agenttest.NewConfig(t, ln.Addr().String(), agenttest.NewDiscovery(t))
	server := New(t.Context(), cfg, Options{
		Listener:   ln,
		Dispatcher: dispatcher,
		OnDrain:    func(bool) {},
	})
	server.SetServing()
	served := make(chan error, 1)
	server.Start(served)
	t.Cleanup(func() {
		server.Close()
		<-served
	})
	return server, dispatcher
}
