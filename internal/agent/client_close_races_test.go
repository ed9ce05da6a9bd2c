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

// A client's close and the end of an attempt that would be retried reach the event loop in either order. There must be
// no retry, even if the loop handles the end of the attempt first.
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
	agenttest.WaitUntil(t, "the end of the attempt is posted to the event loop", func() bool {
		return agent.loop.Backlog() > 0
	})
	const retryTime = 200 * time.Millisecond // enough for a retry to arrive before the event loop handles the close
	agent.loop.Post(func() {
		select {
		case <-arrived:
		case <-time.After(retryTime):
		}
	})
	_ = client.Close()
	agenttest.WaitUntil(t, "the close of the client is posted to the event loop", func() bool {
		return agent.loop.Backlog() > 2
	})
	release()
	agent.waitNoClients(t)
	metrics := agent.metricsNow()
	attempts := first.Count() + second.Count()
	if attempts != 1 || metrics.ClientsGone != 1 || metrics.Violations > 0 {
		t.Errorf("%d attempts, want 1; metrics %+v, want 1 closed client and no violation", attempts, metrics)
	}
}

// Nothing is sent on a server connection that is established after the client has closed, even if the event loop has
// not handled the close yet.
func TestNothingIsSentOnALateConnectionOnceTheClientHasClosed(t *testing.T) {
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
	// The accept queue gets space: a connect that was not cancelled succeeds with its next SYN, after 1 s.
	end := time.AfterFunc(connectRetryDelay, func() { _ = listener.Close() })
	defer end.Stop()
	agenttest.AcceptAll(listener, func(conn net.Conn) {
		head := make([]byte, 1000)
		_ = conn.SetReadDeadline(time.Now().Add(agenttest.Timeout))
		if n, _ := conn.Read(head); n > 0 {
			t.Errorf("agent sent %q to the server, want nothing", head[:n])
		}
	})
}

// The agent must notice that the client of a queued request has closed, even if unread bytes precede the close: a byte
// after the request, or a body that is not read while the request is queued. The unread bytes of these cases fit into
// the buffers of the kernel; otherwise the FIN could not arrive before they are read.
func TestQueuedRequestIsNotSentOnceItsClientHasClosed(t *testing.T) {
	const longBody = message.MaxBufferedBody + 20_000
	request := agenttest.RequestText(9, longTimeoutMs)
	for name, test := range map[string]struct {
		request string
		further string // sent after the request was queued
	}{
		"no further bytes":     {request, ""},
		"one further byte":     {request, "X"},
		"many further bytes":   {request + strings.Repeat("X", 30_000), ""},
		"half a long body":     {orderHead(longTimeoutMs, 400_000) + strings.Repeat("X", longBody), ""},
		"a complete long body": {orderHead(longTimeoutMs, longBody) + strings.Repeat("X", longBody), ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario := startAtConcurrencyLimit(t, agenttest.RespondOK)
			agent := scenario.agent
			client := agent.dial()
			send(client, test.request)
			agenttest.WaitUntil(t, "the request is queued", scenario.reached)
			if test.further != "" {
				send(client, test.further)
				time.Sleep(closeArrivalDelay) // so that it is usually read separately
			}
			_ = client.Close()
			time.Sleep(closeArrivalDelay)
			scenario.proceed()
			agenttest.WaitUntil(t, "all requests have ended", func() bool {
				metrics := agent.metricsNow()
				return metrics.Failed+metrics.ClientsGone == 1 && metrics.Served == initialConcurrency
			})
			if scenario.started() != scenario.allowed {
				t.Error("request was sent to the server after its client had closed")
			}
		})
	}
}

// If a client closes its connection the attempt in flight is cancelled.
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
		req.Header.Set("Request-Timeout-Ms", "60000") // longer than the test waits for the server connection to close
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
	agenttest.WaitUntil(t, "the close is counted", func() bool { return agent.metricsNow().ClientsGone > 0 })
	if metrics := agent.metricsNow(); metrics.ClientsGone != 1 || metrics.Backstops != 0 {
		t.Errorf("metrics %+v, want 1 closed client and no backstop", metrics)
	}
}

// A request whose client closes in the middle of a buffered body is incomplete and is not forwarded.
func TestRequestIsNotForwardedIfTheClientClosesDuringItsBody(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	client := agent.dial()
	send(client, orderHead(timeoutMs, len("complete"))+"half")
	_ = client.Close()
	agent.waitNoClients(t)
	agenttest.WaitUntil(t, "the invalid request is counted", func() bool { return agent.metricsNow().Invalid == 1 })
	if metrics := agent.metricsNow(); server.StartedCount() != 0 || metrics.Requests != 0 {
		t.Errorf("server received %d requests, metrics %+v; want no request", server.StartedCount(), metrics)
	}
}
