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

// adminCall makes a call to the admin endpoint and returns the status of its response.
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
		agent.tb.Errorf("%s %s: the connection stays open for another call", method, path)
	}
	return resp.StatusCode
}

// wantServedAndKept sends a request on a connection and checks that it is served and that the connection stays open.
func wantServedAndKept(t *testing.T, conn *agenttest.ClientConn) {
	t.Helper()
	if response := conn.Request(t); response.Status != http.StatusOK || response.Closes {
		t.Errorf("response %d, closes: %v; want %d and an open connection", response.Status, response.Closes, http.StatusOK)
	}
}

// wantServedAndClosed is wantServedAndKept for a connection that has to be closed with the response.
func wantServedAndClosed(t *testing.T, conn *agenttest.ClientConn) {
	t.Helper()
	if response := conn.Request(t); response.Status != http.StatusOK || !response.Closes {
		t.Errorf("response %d, closes: %v; want %d and a close", response.Status, response.Closes, http.StatusOK)
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
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), http.StatusOK) // it drains already
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusServiceUnavailable)
	// It still serves the clients that it has, and those that do not know of the drain yet.
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
		t.Errorf("%d arrivals, want 7", server.Count())
	}
}

// Callers that send nothing, or part of a call, neither keep others out nor stay connected, and part of a call
// has no effect.
func TestAdminCallsAreAnsweredBesideSilentCallers(t *testing.T) {
	agent, _ := startWithServer(t, agenttest.RespondOK)
	incomplete := []string{
		"",
		"PUT /ops/dra",
		"PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
	}
	const silentCallers = 3 * 24 // three times the connections that the admin endpoint may have open
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
			t.Fatal("a caller that sends no complete call stays connected")
		}
		if strings.HasPrefix(string(text), "HTTP/1.1 2") {
			t.Errorf("the response to part of a call is %q", text)
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
