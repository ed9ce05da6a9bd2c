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
	// A Connection header can't remove the headers that identify a request.
	req.Header.Set("Connection", "Request-Id, Idempotency-Key, X-Hop")
	req.Header.Set("X-Hop", "1")
	response := agent.do(req)
	agenttest.WantStatus(t, response.Status, http.StatusOK)
	if want := "POST /api/00000000000000a1?a=1&b=%20 hello"; response.Body != want {
		t.Errorf("body %q, want %q", response.Body, want)
	}
	if length := response.Header.Get("Content-Length"); length != fmt.Sprint(len(response.Body)) {
		t.Errorf("Content-Length %q", length)
	}
	mu.Lock()
	defer mu.Unlock()
	if received.Get("Request-Id") != "1" || received.Get("Idempotency-Key") != "k1" || received.Get("X-Hop") != "" {
		t.Errorf("the server received %v", received)
	}
	timeoutMs, err := strconv.Atoi(received.Get("Request-Timeout-Ms"))
	if err != nil || timeoutMs < 1 || timeoutMs > 4000 {
		t.Errorf("the server received a timeout of %q ms", received.Get("Request-Timeout-Ms"))
	}
	if server.Count() != 1 {
		t.Errorf("%d arrivals, want 1", server.Count())
	}
}

// outcome is what becomes of a request whose server responds in some way.
type outcome struct {
	name     string
	class    string
	respond  agenttest.Responder
	status   int // of the response to the client
	arrivals int // at the server
}

// The ends of an attempt: the client's response, and how often the server saw the request.
func TestAttemptOutcomes(t *testing.T) {
	// The request may have executed and is non-idempotent: it fails after one attempt.
	mayHaveExecuted := func(name string, respond agenttest.Responder) outcome {
		return outcome{name + " may have run", "order", respond, http.StatusBadGateway, 1}
	}
	const (
		headWithLength = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
		headOfChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		headToClose    = "HTTP/1.1 200 OK\r\n\r\n"
		twoFramings    = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
		notStarted     = "Not-Started: 1\r\n"
		largestHead    = 16 << 10 // that an agent reads of a response, in bytes
	)
	endlessHead := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*largestHead)
	longBody := strings.Repeat("x", 40*message.MaxBufferedBody)
	for _, test := range []outcome{
		mayHaveExecuted("500", respondWith(http.StatusInternalServerError, "", "")),
		mayHaveExecuted("503 without proof", respondWith(http.StatusServiceUnavailable, "", "")),
		mayHaveExecuted("reset after the last byte", sendTextAndReset("")),
		mayHaveExecuted("close after the last byte", sendTextAndClose("")),
		mayHaveExecuted("broken body", sendTextAndClose(headWithLength+"half")),
		mayHaveExecuted("broken chunk", sendTextAndClose(headOfChunks+"5\r\nhel")),
		{
			"a response may end with its connection", "order",
			sendTextAndClose(headToClose + "complete"), http.StatusOK, 1,
		},
		mayHaveExecuted("a response cut off by a reset", sendTextAndReset(headToClose+"half")),
		mayHaveExecuted("two framings at once", sendText(twoFramings)),
		mayHaveExecuted("an endless head", sendText(endlessHead)),
		{
			"what is no HTTP is not waited for", "order",
			sendText("\x00\x01 no end of line"), http.StatusBadGateway, 1,
		},
		mayHaveExecuted("unreadable head", sendText("nonsense\r\n\r\n")),
		{
			"a long response is streamed", "order",
			respondWith(http.StatusOK, "", longBody), http.StatusOK, 1,
		},
		{
			"503 with proof never ran", "order",
			respondWith(http.StatusServiceUnavailable, notStarted, ""), http.StatusServiceUnavailable, 3,
		},
		{
			"504 with proof never ran", "order",
			respondWith(http.StatusGatewayTimeout, notStarted, ""), http.StatusServiceUnavailable, 3,
		},
		{
			"what a server calls a bad request is not retried, though an error is", "send",
			respondWith(http.StatusBadRequest, "", ""), http.StatusBadRequest, 1,
		},
		{
			"an error is retried with a key, three attempts at most", "send",
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
	if server.Count() != test.arrivals {
		t.Errorf("%d arrivals, want %d", server.Count(), test.arrivals)
	}
	retryAfter := response.Header.Get("Retry-After")
	if response.Status == http.StatusServiceUnavailable && retryAfter != "0.600" {
		t.Errorf("rejected with Retry-After %q", retryAfter)
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
		t.Errorf("%d arrivals, want 2", server.Count())
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

// A server that sends nothing: the request fails within its timeout, and the connection is closed, as the
// late response would be taken for the next one's.
func TestSilentServer(t *testing.T) {
	agent, server := startWithServer(t, func(net.Conn, *http.Request, int) bool { return true })
	req := agenttest.NewRequest(agent.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "600")
	start := time.Now()
	status := agent.do(req).Status
	if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
		t.Errorf("response %d, want a failure", status)
	}
	if took := time.Since(start); took < 400*time.Millisecond {
		t.Errorf("gave up after %v", took)
	}
	waitConnEnded(t, server)
	if server.Count() != 1 {
		t.Errorf("%d arrivals, want 1", server.Count())
	}
}
