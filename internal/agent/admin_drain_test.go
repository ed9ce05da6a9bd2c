package agent

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// adminCall sends a request to the admin endpoint and returns the status of the response.
func (agent *testAgent) adminCall(method, path string) int {
	agent.tb.Helper()
	req, err := http.NewRequestWithContext(agent.tb.Context(), method, "http://"+agent.adminAddr+path, nil)
	if err != nil {
		agent.tb.Fatal(err)
	}
	resp, err := agenttest.HTTPClient.Do(req)
	if err != nil {
		agent.tb.Fatal(err)
	}
	_ = resp.Body.Close()
	if !resp.Close {
		agent.tb.Errorf("%s %s: connection is kept open after the response, want it closed", method, path)
	}
	return resp.StatusCode
}

// wantServedAndKept sends a request on a client connection, and checks that it is served and that the connection is
// kept open.
func wantServedAndKept(t *testing.T, conn *agenttest.ClientConn) {
	t.Helper()
	if response := conn.Request(t); response.Status != http.StatusOK || response.Closes {
		t.Errorf("status %d, connection closes: %v; want %d, false", response.Status, response.Closes, http.StatusOK)
	}
}

// wantServedAndClosed sends a request on a client connection, and checks that it is served and that the response
// announces the close of the connection.
func wantServedAndClosed(t *testing.T, conn *agenttest.ClientConn) {
	t.Helper()
	if response := conn.Request(t); response.Status != http.StatusOK || !response.Closes {
		t.Errorf("status %d, connection closes: %v; want %d, true", response.Status, response.Closes, http.StatusOK)
	}
}

func TestAdminDrainStartAndStop(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/nonsense"), http.StatusNotFound)
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/drain/start"), http.StatusMethodNotAllowed)
	used, idle := agent.dial(), agent.dial()
	wantServedAndKept(t, used)
	wantServedAndKept(t, idle)

	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), http.StatusOK)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), http.StatusOK) // is draining already
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusServiceUnavailable)
	// During the drain it still serves connected clients, and those that have not noticed the drain yet.
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	wantServedAndClosed(t, used)
	used.WantClosed(t)
	idle.WantClosed(t)
	wantServedAndClosed(t, agent.dial())

	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/stop"), http.StatusOK)
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusOK)
	afterDrain := agent.dial()
	for range 3 {
		wantServedAndKept(t, afterDrain)
	}
	if server.Count() != 7 {
		t.Errorf("server received %d requests, want 7", server.Count())
	}
}

// Connections to the admin endpoint that send no request, or an incomplete one, are closed. They neither keep other
// callers from being served nor have any effect.
func TestSilentAdminCallersDoNotBlockOthers(t *testing.T) {
	agent, _ := startWithServer(t, agenttest.RespondOK)
	incomplete := []string{
		"",
		"PUT /ops/dra",
		"PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
	}
	const silentCallers = 3 * 24 // three times the connection limit of the admin endpoint
	var silent []net.Conn
	for i := range silentCallers {
		conn := agenttest.DialClient(t, agent.adminAddr)
		send(conn, incomplete[i%len(incomplete)])
		silent = append(silent, conn)
	}
	for range 5 {
		agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	}
	for _, conn := range silent {
		text, err := io.ReadAll(conn)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("connection without a complete request is still open")
		}
		if strings.HasPrefix(string(text), "HTTP/1.1 2") {
			t.Errorf("response to an incomplete request: %q", text)
		}
	}
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusOK)
}

func TestAdminCallsDoNotWaitForTheEventLoop(t *testing.T) {
	agent, _ := startWithServer(t, agenttest.RespondOK)
	defer agent.blockLoop()()
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), http.StatusOK)
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusServiceUnavailable)
}
