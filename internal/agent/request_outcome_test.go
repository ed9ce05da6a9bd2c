package agent

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

func TestRequestIsForwarded(t *testing.T) {
	var mu sync.Mutex
	var received http.Header
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		received = req.Header.Clone()
		mu.Unlock()
		return agenttest.RespondOK(conn, req, n)
	})
	req := agenttest.NewRequest(agent.addr, "send", "hello")
	req.URL.RawQuery = "a=1&b=%20"
	// The client's Connection header can't remove the headers that identify a request.
	req.Header.Set("Connection", "Request-Id, Idempotency-Key, X-Hop")
	req.Header.Set("X-Hop", "1")
	response := agent.do(req)
	agenttest.WantStatus(t, response.Status, http.StatusOK)
	if want := "POST /api/00000000000000a1?a=1&b=%20 hello"; response.Body != want {
		t.Errorf("body %q, want %q", response.Body, want)
	}
	if length := response.Header.Get("Content-Length"); length != fmt.Sprint(len(response.Body)) {
		t.Errorf("Content-Length %q is not the length of the body", length)
	}
	mu.Lock()
	defer mu.Unlock()
	if received.Get("Request-Id") != "1" || received.Get("Idempotency-Key") != "k1" || received.Get("X-Hop") != "" {
		t.Errorf("server received the header %v", received)
	}
	timeoutMs, err := strconv.Atoi(received.Get("Request-Timeout-Ms"))
	if err != nil || timeoutMs < 1 || timeoutMs > 4000 {
		t.Errorf("server received a timeout of %q ms, want 1 to 4000", received.Get("Request-Timeout-Ms"))
	}
	if server.Count() != 1 {
		t.Errorf("server received %d requests, want 1", server.Count())
	}
}

// outcome is the expected result of a request whose server uses the given responder.
type outcome struct {
	name     string
	class    string
	respond  agenttest.Responder
	status   int // status of the response to the client
	received int // requests that the server receives
}

// The ways in which an attempt can end determine the response to the client and whether there are retries.
func TestAttemptOutcomes(t *testing.T) {
	// mayHaveExecuted is the outcome of a non-idempotent request that may have executed: it fails after one attempt.
	mayHaveExecuted := func(name string, respond agenttest.Responder) outcome {
		return outcome{name + ": may have executed", "order", respond, http.StatusBadGateway, 1}
	}
	const (
		headWithLength = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
		headOfChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		headToClose    = "HTTP/1.1 200 OK\r\n\r\n"
		twoFramings    = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
		notStarted     = "Not-Started: 1\r\n"
		largestHead    = 16 << 10 // largest response head that an agent accepts, in bytes
	)
	endlessHead := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*largestHead)
	longBody := strings.Repeat("x", 40*message.MaxBufferedBody)
	for _, test := range []outcome{
		mayHaveExecuted("500", respondWith(http.StatusInternalServerError, "", "")),
		mayHaveExecuted("503 without Not-Started", respondWith(http.StatusServiceUnavailable, "", "")),
		mayHaveExecuted("reset after the last byte", sendTextAndReset("")),
		mayHaveExecuted("close after the last byte", sendTextAndClose("")),
		mayHaveExecuted("broken body", sendTextAndClose(headWithLength+"half")),
		mayHaveExecuted("broken chunk", sendTextAndClose(headOfChunks+"5\r\nhel")),
		{
			"response ends with the close", "order",
			sendTextAndClose(headToClose + "complete"), http.StatusOK, 1,
		},
		mayHaveExecuted("response broken by a reset", sendTextAndReset(headToClose+"half")),
		mayHaveExecuted("two framings", sendText(twoFramings)),
		mayHaveExecuted("endless head", sendText(endlessHead)),
		{
			"invalid bytes fail without a wait for the end of the line", "order",
			sendText("\x00\x01 no end of line"), http.StatusBadGateway, 1,
		},
		mayHaveExecuted("unreadable head", sendText("nonsense\r\n\r\n")),
		{
			"long response is streamed", "order",
			respondWith(http.StatusOK, "", longBody), http.StatusOK, 1,
		},
		{
			"503 with Not-Started: did not execute", "order",
			respondWith(http.StatusServiceUnavailable, notStarted, ""), http.StatusServiceUnavailable, 3,
		},
		{
			"504 with Not-Started: did not execute", "order",
			respondWith(http.StatusGatewayTimeout, notStarted, ""), http.StatusServiceUnavailable, 3,
		},
		{
			"400 is not retried", "send",
			respondWith(http.StatusBadRequest, "", ""), http.StatusBadRequest, 1,
		},
		{
			"500 is retried if idempotent by key, at most three attempts", "send",
			respondWith(http.StatusInternalServerError, "", ""), http.StatusServiceUnavailable, 3,
		},
	} {
		t.Run(test.name, test.check)
	}
}

func (test outcome) check(t *testing.T) {
	agent, server := startWithServer(t, test.respond)
	response := agent.do(agenttest.NewRequest(agent.addr, test.class, "x"))
	agenttest.WantStatus(t, response.Status, test.status)
	if server.Count() != test.received {
		t.Errorf("server received %d requests, want %d", server.Count(), test.received)
	}
	retryAfter := response.Header.Get("Retry-After")
	if response.Status == http.StatusServiceUnavailable && retryAfter != "0.600" {
		t.Errorf("rejected with Retry-After %q, want 0.600", retryAfter)
	}
	agent.wantNoViolationsOrBackstops()
}

func TestOverloadedAttemptIsRetried(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if n == 0 {
			return respondOverloaded(conn, req, n)
		}
		return agenttest.RespondOK(conn, req, n)
	})
	agent.wantOrderStatus(http.StatusOK)
	if server.Count() != 2 {
		t.Errorf("server received %d requests, want 2", server.Count())
	}
}

func TestInterimResponseIsSkipped(t *testing.T) {
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		send(conn, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return agenttest.RespondOK(conn, req, n)
	})
	agent.wantOrderStatus(http.StatusOK)
}

func TestRefusedConnectDidNotExecute(t *testing.T) {
	listener := agenttest.Listen(t)
	addr := listener.Addr().String()
	_ = listener.Close()
	agent := startAgent(t, discoveryWith(t, addr), nil)
	response := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, response.Status, http.StatusServiceUnavailable)
	if response.Header.Get("Retry-After") == "" {
		t.Error("rejected without Retry-After")
	}
}

// If a server sends no response the request fails within its timeout, and the connection is closed: a late response
// would otherwise be taken for the response to the next request.
func TestSilentServer(t *testing.T) {
	agent, server := startWithServer(t, func(net.Conn, *http.Request, int) bool { return true })
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "600")
	start := time.Now()
	status := agent.do(req).Status
	if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Errorf("response status %d, want 502 or 504", status)
	}
	if took := time.Since(start); took < 400*time.Millisecond {
		t.Errorf("request failed after %v, want at least 400 ms", took)
	}
	waitConnEnded(t, server)
	if server.Count() != 1 {
		t.Errorf("server received %d requests, want 1", server.Count())
	}
}
