package agent

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/upstream"
)

// startWithServer starts an agent in front of one server with the given script.
func startWithServer(t *testing.T, answer func(conn net.Conn, req *http.Request, n int) bool) (*testAgent, *agenttest.Server) {
	t.Helper()
	server := agenttest.NewServer(t, answer)
	return startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), nil), server
}

func TestServed(t *testing.T) {
	var mu sync.Mutex
	var seen http.Header
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		seen = req.Header.Clone()
		mu.Unlock()
		return agenttest.RespondOK(conn, req, n)
	})
	req := agenttest.NewRequest(agent.addr, "send", "hello")
	req.URL.RawQuery = "a=1&b=%20"
	// What a client says of its connection does not take away what names its request.
	req.Header.Set("Connection", "Request-Id, Idempotency-Key, X-Hop")
	req.Header.Set("X-Hop", "1")
	status, header, body := agent.do(req)
	agenttest.WantStatus(t, status, 200)
	if want := "POST /api/00000000000000a1?a=1&b=%20 hello"; body != want {
		t.Errorf("body %q, want %q", body, want)
	}
	if header.Get("Content-Length") != fmt.Sprint(len(body)) {
		t.Errorf("Content-Length %q", header.Get("Content-Length"))
	}
	mu.Lock()
	defer mu.Unlock()
	if seen.Get("Request-Id") != "1" || seen.Get("Idempotency-Key") != "k1" || seen.Get("X-Hop") != "" {
		t.Errorf("the backend got %v", seen)
	}
	var left int
	if _, err := fmt.Sscan(seen.Get("Request-Timeout-Ms"), &left); err != nil || left < 1 || left > 4000 {
		t.Errorf("the backend was told %q ms", seen.Get("Request-Timeout-Ms"))
	}
	if server.Count() != 1 {
		t.Errorf("%d arrivals, want 1", server.Count())
	}
}

// The ends of an attempt: the client's response, and how often the server saw the request.
func TestOutcomes(t *testing.T) {
	always := func(status int, header, body string) func(net.Conn, *http.Request, int) bool {
		return func(conn net.Conn, _ *http.Request, _ int) bool {
			return agenttest.SendResponse(conn, status, header, body)
		}
	}
	raw := func(text string, keep bool) func(net.Conn, *http.Request, int) bool {
		return func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, text)
			return keep
		}
	}
	for _, test := range []struct {
		name     string
		class    string
		answer   func(net.Conn, *http.Request, int) bool
		status   int
		arrivals int
	}{
		{"500 may have run", "order", always(500, "", ""), 502, 1},
		{"503 without proof may have run", "order", always(503, "", ""), 502, 1},
		{"reset after the last byte may have run", "order",
			func(conn net.Conn, _ *http.Request, _ int) bool { return agenttest.ResetConn(conn) }, 502, 1},
		{"close after the last byte may have run", "order", raw("", false), 502, 1},
		{"broken body may have run", "order", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false), 502, 1},
		{"broken chunk may have run", "order",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", false), 502, 1},
		{"an answer may end with its connection", "order", raw("HTTP/1.1 200 OK\r\n\r\nwhole", false), 200, 1},
		{"an answer cut off by a reset may have run", "order", func(conn net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			return agenttest.ResetConn(conn)
		}, 502, 1},
		{"two framings at once may have run", "order",
			raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", true), 502, 1},
		{"an endless head may have run", "order", raw("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 2*upstream.MaxResponseHead), true), 502, 1},
		{"what is no HTTP is not waited for", "order", raw("\x00\x01 no end of line", true), 502, 1},
		{"unreadable head may have run", "order", raw("nonsense\r\n\r\n", true), 502, 1},
		{"a long answer is streamed", "order", always(200, "", strings.Repeat("x", 40*message.MaxBufferedBody)), 200, 1},
		{"turned away never ran", "order", always(503, "Not-Started: 1\r\n", ""), 503, 3},
		{"504 with proof never ran", "order", always(504, "Not-Started: 1\r\n", ""), 503, 3},
		{"what a server calls unfit fails, also where an error goes again", "send", always(400, "", ""), 400, 1},
		{"an error is repeated for a keyed one, three attempts at most", "send", always(500, "", ""), 503, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent, server := startWithServer(t, test.answer)
			status, header, _ := agent.do(agenttest.NewRequest(agent.addr, test.class, "x"))
			agenttest.WantStatus(t, status, test.status)
			if server.Count() != test.arrivals {
				t.Errorf("%d arrivals, want %d", server.Count(), test.arrivals)
			}
			if status == 503 && header.Get("Retry-After") != "0.600" {
				t.Errorf("refused with Retry-After %q", header.Get("Retry-After"))
			}
			if metrics := agent.metricsNow(); metrics.Backstops+metrics.Violations > 0 {
				t.Errorf("a guard had to act: %+v", metrics)
			}
		})
	}
}

func TestOverloadedAttemptIsRetried(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		if n == 0 {
			return agenttest.SendResponse(conn, 503, "Not-Started: 1\r\n", "")
		}
		return agenttest.RespondOK(conn, req, n)
	})
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
	if server.Count() != 2 {
		t.Errorf("%d arrivals, want 2", server.Count())
	}
}
