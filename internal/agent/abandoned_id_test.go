package agent

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// abandonOrder sends a non-idempotent request, waits until it has reached its server, and then ends the connection.
func abandonOrder(t *testing.T, agent *testAgent, server *agenttest.Server, request, closing string) {
	t.Helper()
	client := agent.dial()
	send(client, request)
	agenttest.WaitUntil(t, "the request is at the server", func() bool { return server.Count() == 1 })
	if err := clientCloses[closing](client.Conn.(*net.TCPConn)); err != nil {
		t.Fatal(err)
	}
}

// orderWithID returns a non-idempotent request with the given id.
func orderWithID(id string) string {
	return fmt.Sprintf("POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: 1\r\n\r\nx", id, timeoutMs)
}

// A non-idempotent request whose client left while it was at a server is not sent again when its id comes again on
// another connection, and it is not rejected, which would say that a retry is safe. Other ids are served.
func TestIDOfAnAbandonedRequestExecutesOnce(t *testing.T) {
	t.Parallel()
	for closing := range clientCloses {
		t.Run(closing, func(t *testing.T) {
			t.Parallel()
			server, release := blockedServer(t, agenttest.RespondOK)
			agent := startAgent(t, discoveryWith(t, server.Addr), nil)
			abandonOrder(t, agent, server, orderWithID("abandoned"), closing)
			again := agent.dial()
			send(again, orderWithID("abandoned"))
			release()
			if status := agenttest.FinalStatus(t, again); status != http.StatusBadGateway {
				t.Errorf("response status %d, want %d", status, http.StatusBadGateway)
			}
			send(again, orderWithID("other"))
			if status := agenttest.FinalStatus(t, again); status != http.StatusOK {
				t.Errorf("response status %d to another id, want %d", status, http.StatusOK)
			}
			if server.Count() != 2 {
				t.Errorf("%d requests executed, want 2", server.Count())
			}
		})
	}
}

// A request that no server has received is served when its id comes again, although its client left.
func TestIDOfAnAbandonedRequestThatWasNotSentIsServed(t *testing.T) {
	t.Parallel()
	scenario := startAtConcurrencyLimit(t, agenttest.RespondOK)
	client := scenario.agent.dial()
	send(client, orderWithID("queued"))
	agenttest.WaitUntil(t, "the request is queued", scenario.reached)
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	agenttest.WaitUntil(t, "the close is noticed", func() bool {
		return scenario.agent.metricsNow().ClientsGone == 1
	})
	scenario.proceed()
	again := scenario.agent.dial()
	send(again, orderWithID("queued"))
	if status := agenttest.FinalStatus(t, again); status != http.StatusOK {
		t.Errorf("response status %d, want %d", status, http.StatusOK)
	}
}
