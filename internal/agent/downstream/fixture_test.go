package downstream

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// testDispatcher answers each request with the same response, and counts the requests and the aborted responses.
type testDispatcher struct {
	response message.Response
	requests atomic.Int64
	aborted  atomic.Int64
}

func (d *testDispatcher) Dispatch(request *message.Request) {
	d.requests.Add(1)
	request.Response <- d.response
}

func (*testDispatcher) Abandon(*message.Request)                             {}
func (*testDispatcher) CancelStreaming()                                     {}
func (*testDispatcher) EndAll()                                              {}
func (*testDispatcher) AcceptFailed(error)                                   {}
func (*testDispatcher) InvalidRequest(string, string, *message.RequestError) {}

func (d *testDispatcher) ResponseAborted(*message.Request, error, error) { d.aborted.Add(1) }

// startServer starts a Server on the listener, with a testDispatcher that serves each request an empty response.
func startServer(t *testing.T, ln net.Listener) (*Server, *testDispatcher) {
	t.Helper()
	served := message.Response{Kind: message.Served, Header: http.Header{}, Body: &message.ResponseBody{}}
	dispatcher := &testDispatcher{response: served}
	return startServerWith(t, ln, dispatcher), dispatcher
}

// startServerWith starts a Server on the listener with the given dispatcher.
func startServerWith(tb testing.TB, ln net.Listener, dispatcher Dispatcher) *Server {
	tb.Helper()
	cfg := agenttest.NewConfig(tb, ln.Addr().String(), agenttest.NewDiscovery(tb))
	server := New(tb.Context(), cfg, Options{
		Listener:   ln,
		Dispatcher: dispatcher,
		Streams:    message.NewQuota(8),
		OnDrain:    func(bool) {},
	})
	server.SetServing()
	served := make(chan error, 1)
	server.Start(served)
	tb.Cleanup(func() {
		server.Close()
		<-served
	})
	return server
}
