package agent

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// A client's close and an event that would have its request sent again cross on the way to the loop. The
// client closed first, so nothing is sent, whichever the loop takes first.
func TestNoRetryOnceTheClientHasClosed(t *testing.T) {
	arrived, respond := make(chan struct{}, 10), make(chan struct{})
	rejects := func(conn net.Conn, req *http.Request, n int) bool {
		arrived <- struct{}{}
		<-respond
		return respondOverloaded(conn, req, n)
	}
	first, second := agenttest.NewServer(t, rejects), agenttest.NewServer(t, rejects)
	agent := startAgent(t, discoveryWith(t, first.Addr, second.Addr), nil)
	client := agent.dial()
	send(client, agenttest.RequestText(1, 4000))
	<-arrived
	release := agent.blockLoop()
	close(respond)
	agenttest.WaitUntil(t, "the end of the attempt is posted to the loop", func() bool { return agent.loop.Backlog() > 0 })
	const retryTime = 200 * time.Millisecond // enough for a retry to arrive before the loop handles the close
	agent.loop.Post(func() {
		select {
		case <-arrived:
		case <-time.After(retryTime):
		}
	})
	_ = client.Close()
	agenttest.WaitUntil(t, "the client's close is posted to the loop", func() bool { return agent.loop.Backlog() > 2 })
	release()
	agent.waitNoClients(t)
	metrics := agent.metricsNow()
	attempts := first.Count() + second.Count()
	if attempts != 1 || metrics.ClientsGone != 1 || metrics.Violations > 0 {
		t.Errorf("%d attempts, want 1; metrics %+v", attempts, metrics)
	}
}

// A connection that is established after its client has closed carries nothing, also while the loop does not
// know of the close.
func TestLateConnectionCarriesNothingOnceTheClientHasClosed(t *testing.T) {
	t.Parallel()
	listener := fullListener(t)
	agent := startAgent(t, discoveryWith(t, listener.Addr().String()), withLongConnectTimeout)
	client := agent.dial()
	send(client, agenttest.RequestText(1, 20000))
	agenttest.WaitUntil(t, "the connect has begun", func() bool { return agent.pool.ConnectCount() == 1 })
	release := agent.blockLoop()
	defer release()
	_ = client.Close()
	agent.waitNoClients(t)
	// Space in the queue: a connect that continues is established with its next SYN, in a second.
	end := time.AfterFunc(connectRetryDelay, func() { _ = listener.Close() })
	defer end.Stop()
	agenttest.AcceptAll(listener, func(conn net.Conn) {
		head := make([]byte, 1000)
		_ = conn.SetReadDeadline(time.Now().Add(agenttest.Timeout))
		if n, _ := conn.Read(head); n > 0 {
			t.Errorf("sent to the server: %q", head[:n])
		}
	})
}

// A client may have sent more before it closes: a byte behind its request, or a body that is not read while
// the request is queued. It has closed all the same. (All of it fits into what the system buffers unread: the
// end of a connection can't be seen before what precedes it.)
func TestQueuedRequestIsNotSentOnceItsClientHasClosed(t *testing.T) {
	const longBody = message.MaxBufferedBody + 20_000
	request := agenttest.RequestText(9, longTimeoutMs)
	for name, test := range map[string]struct {
		request string
		further string // sent once the request is queued
	}{
		"nothing more":         {request, ""},
		"a further byte":       {request, "X"},
		"many more bytes":      {request + strings.Repeat("X", 30_000), ""},
		"half a long body":     {orderHead(longTimeoutMs, 400_000) + strings.Repeat("X", longBody), ""},
		"a complete long body": {orderHead(longTimeoutMs, longBody) + strings.Repeat("X", longBody), ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			queued := startAtConcurrencyLimit(t, agenttest.RespondOK)
			agent := queued.agent
			client := agent.dial()
			send(client, test.request)
			agenttest.WaitUntil(t, "the request is queued", queued.reached)
			if test.further != "" {
				send(client, test.further)
				time.Sleep(closeArrivalDelay) // so that it is read by itself, as a rule
			}
			_ = client.Close()
			time.Sleep(closeArrivalDelay)
			queued.proceed()
			agenttest.WaitUntil(t, "all requests have ended", func() bool {
				metrics := agent.metricsNow()
				return metrics.Failed+metrics.ClientsGone == 1 && metrics.Served == initialConcurrency
			})
			if queued.started() != queued.allowed {
				t.Error("a request was sent whose client had closed")
			}
		})
	}
}

// A client that closes its connection has its attempt cancelled.
func TestAttemptIsCancelledWhenTheClientCloses(t *testing.T) {
	arrived := make(chan struct{}, 10)
	agent, server := startWithServer(t, func(net.Conn, *http.Request, int) bool {
		arrived <- struct{}{}
		return true
	})
	ctx, cancel := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		req := agenttest.NewRequest(agent.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", "60000") // longer than the test waits for the cancellation
		resp, err := agenttest.HTTPClient.Do(req.WithContext(ctx))
		if err == nil {
			_ = resp.Body.Close()
		}
		failed <- err
	}()
	<-arrived
	cancel()
	<-failed
	waitConnEnded(t, server)
	if metrics := agent.metricsNow(); metrics.ClientsGone != 1 || metrics.Backstops != 0 {
		t.Errorf("metrics %+v", metrics)
	}
}

// A client that closes in the middle of a buffered body has sent no request: nothing is forwarded.
func TestRequestIsNotForwardedIfTheClientClosesDuringItsBody(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	client := agent.dial()
	send(client, orderHead(timeoutMs, len("complete"))+"half")
	_ = client.Close()
	agent.waitNoClients(t)
	agenttest.WaitUntil(t, "the invalid request is counted", func() bool { return agent.metricsNow().Invalid == 1 })
	if metrics := agent.metricsNow(); server.StartedCount() != 0 || metrics.Requests != 0 {
		t.Errorf("%d arrivals, metrics %+v", server.StartedCount(), metrics)
	}
}
