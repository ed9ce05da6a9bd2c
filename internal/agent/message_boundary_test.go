package agent

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// A second response to a request, which arrives some milliseconds after the first, is not taken for the response to the
// next request on the connection.
func TestSecondResponseIsNotUsedForTheNextRequest(t *testing.T) {
	const lateBy = 5 * time.Millisecond // less than the minimum idle time of a connection before reuse
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if !agenttest.RespondOK(conn, req, n) {
			return false
		}
		if n == 0 {
			time.Sleep(lateBy)
			_ = agenttest.SendResponse(conn, http.StatusOK, "", "a second response")
		}
		return true
	})
	client := agent.dial()
	for i := range 3 {
		sendf(client, "GET /api/%d HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: read\r\n"+
			"Request-Timeout-Ms: 4000\r\n\r\n", i, i)
		response, err := agenttest.ReadResponse(client.Reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if want := fmt.Sprintf("GET /api/%d ", i); response.Body != want {
			t.Errorf("response to request %d is %q, want %q", i, response.Body, want)
		}
	}
	if server.Count() != 3 {
		t.Errorf("server received %d requests, want 3", server.Count())
	}
}

// If a server sends part of a line on an idle connection, the connection is not reused: the next request uses another.
func TestPartialLineOnAnIdleConnectionIsDropped(t *testing.T) {
	sent := make(chan struct{})
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		agenttest.RespondOK(conn, req, n)
		if n == 0 {
			send(conn, "HTTP/1.1 2")
			close(sent)
		}
		return true
	})
	for i := range 2 {
		agent.wantOrderStatus(http.StatusOK)
		if i == 0 {
			<-sent
			time.Sleep(reuseDelay)
		}
	}
	if server.Count() != 2 {
		t.Errorf("server received %d requests, want 2", server.Count())
	}
}
