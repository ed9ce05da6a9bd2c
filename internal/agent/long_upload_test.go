package agent

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

const (
	// longUploadTime is longer than the longest request timeout, the time allowed to a client that reads nothing, and the
	// sum of both: no deadline that counts from the head of a request may end it.
	longUploadTime = 73 * time.Second
	// uploadRate is the rate of a slow client in bytes per second.
	uploadRate = 64_000
	// uploadChunkTime is the time between two writes of a slow client.
	uploadChunkTime = 100 * time.Millisecond
	// uploadTimeout is the request timeout of a long upload. It counts from the last byte of the body.
	uploadTimeout = 2 * time.Second
)

// A request whose body takes longer than any timeout gets its final response, whatever the server does with it, and so
// does the next request on the connection. Guards against a deadline that counts from the head of the request and has
// expired when the response is written.
func TestLongUploadGetsItsFinalResponse(t *testing.T) {
	t.Parallel()
	respondWith := func(status int, header string) agenttest.Responder {
		return func(conn net.Conn, _ *http.Request, _ int) bool {
			return agenttest.SendResponse(conn, status, header, "done")
		}
	}
	for name, test := range map[string]struct {
		respond agenttest.Responder
		status  int
	}{
		"served":            {respond: hashResponder, status: http.StatusOK},
		"server error":      {respond: respondWith(http.StatusInternalServerError, ""), status: http.StatusBadGateway},
		"overloaded server": {respond: respondOverloaded, status: http.StatusServiceUnavailable},
		"invalid request":   {respond: respondWith(http.StatusBadRequest, ""), status: http.StatusBadRequest},
		"connection reset": {
			respond: func(conn net.Conn, _ *http.Request, _ int) bool { return agenttest.ResetConn(conn) },
			status:  http.StatusBadGateway,
		},
		"no response": {
			respond: func(net.Conn, *http.Request, int) bool { time.Sleep(2 * uploadTimeout); return false },
			status:  http.StatusGatewayTimeout,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, _ := startWithServer(t, test.respond)
			client := agent.dial()
			uploadSlowly(t, client, 0)
			status := finalStatusWithin(t, client, uploadTimeout+500*time.Millisecond)
			agenttest.WantStatus(t, status, test.status)
			send(client, agenttest.RequestText(2, int(uploadTimeout.Milliseconds())))
			agenttest.FinalStatus(t, client)
			wantNoneAborted(t, agent)
		})
	}
}

// A client that stops before the last byte of a long upload gets an error within the 3 s that such a client is allowed.
// Guards against the same deadline as TestLongUploadGetsItsFinalResponse.
func TestLongUploadThatStopsGetsAnError(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, hashResponder)
	client := agent.dial()
	uploadSlowly(t, client, 1)
	if status := finalStatusWithin(t, client, 3*time.Second); status < http.StatusBadRequest {
		t.Errorf("response status %d, want an error", status)
	}
	if server.Count() != 0 {
		t.Errorf("server received %d complete requests, want none", server.Count())
	}
	wantNoneAborted(t, agent)
}

// finalStatusWithin reads a response and returns its status code. The response must arrive within the limit and a
// tolerance for a busy machine.
func finalStatusWithin(t *testing.T, client *agenttest.ClientConn, limit time.Duration) int {
	t.Helper()
	const tolerance = time.Second
	sent := time.Now()
	status := agenttest.FinalStatus(t, client)
	if took := time.Since(sent); took > limit+tolerance {
		t.Errorf("response %v after the last byte, want at most %v", took, limit)
	}
	return status
}

// wantNoneAborted checks that the agent has written all responses completely.
func wantNoneAborted(t *testing.T, agent *testAgent) {
	t.Helper()
	if metrics := agent.metricsNow(); metrics.Aborted > 0 {
		t.Errorf("%d responses were not written completely, want none", metrics.Aborted)
	}
}

// uploadSlowly sends a request with a body that takes longUploadTime, except for the last cutOff bytes.
func uploadSlowly(t *testing.T, client *agenttest.ClientConn, cutOff int) {
	t.Helper()
	began := time.Now()
	if err := client.SetDeadline(began.Add(longUploadTime + agenttest.Timeout)); err != nil {
		t.Fatal(err)
	}
	const chunkBytes = int(uploadRate * uploadChunkTime / time.Second)
	chunks := int(longUploadTime / uploadChunkTime)
	send(client, orderHead(int(uploadTimeout.Milliseconds()), chunks*chunkBytes))
	chunk := strings.Repeat("x", chunkBytes)
	for i := range chunks {
		time.Sleep(time.Until(began.Add(time.Duration(i+1) * uploadChunkTime)))
		if i == chunks-1 {
			chunk = chunk[cutOff:]
		}
		if _, err := io.WriteString(client, chunk); err != nil {
			t.Fatalf("chunk %d of %d: %v", i, chunks, err)
		}
	}
}
