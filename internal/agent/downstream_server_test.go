package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

func TestMalformedInput(t *testing.T) {
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool { // no echo: it would be too large
		body, _ := io.ReadAll(req.Body)
		return agenttest.SendResponse(conn, 200, "", fmt.Sprint(len(body)))
	})
	set := func(name, value string) func(*http.Request) {
		return func(req *http.Request) { req.Header.Set(name, value) }
	}
	for _, test := range []struct {
		name   string
		class  string
		change func(*http.Request)
		body   string
		status int
	}{
		{"class", "order", set("Request-Class", "nobody's"), "x", 400},
		{"no class", "order", func(req *http.Request) { req.Header.Del("Request-Class") }, "x", 400},
		{"no id", "order", func(req *http.Request) { req.Header.Del("Request-Id") }, "x", 400},
		{"no key", "send", func(req *http.Request) { req.Header.Del("Idempotency-Key") }, "x", 400},
		{"time-out a word", "order", set("Request-Timeout-Ms", "soon"), "x", 400},
		{"time-out negative", "order", set("Request-Timeout-Ms", "-5"), "x", 400},
		{"time-out zero", "order", set("Request-Timeout-Ms", "0"), "x", 400},
		{"time-out huge", "order", set("Request-Timeout-Ms", "99999999999999999999"), "x", 400},
		{"method", "order", func(req *http.Request) { req.Method = "DELETE" }, "x", 405},
		{"oversize", "order", func(req *http.Request) { req.ContentLength = message.MaxRequestBody + 1 }, "x", 413},
	} {
		req := agenttest.NewRequest(agent.addr, test.class, test.body)
		if test.change != nil {
			test.change(req)
		}
		if test.status == 413 { // it has no end that the client could send
			client := agent.dialKept()
			fmt.Fprintf(client, "POST /api/x HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
				"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\nx", message.MaxRequestBody+1)
			if resp, err := http.ReadResponse(client.Br, nil); err != nil || resp.StatusCode != 413 {
				t.Errorf("%s: %v, %v", test.name, resp, err)
			}
			continue
		}
		if status, _, _ := agent.do(req); status != test.status {
			t.Errorf("%s: answered %d, want %d", test.name, status, test.status)
		}
	}
	for _, text := range []string{"nonsense\r\n\r\n", "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n",
		"POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"} {
		conn, err := net.Dial("tcp", agent.addr)
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(agenttest.Timeout))
		fmt.Fprint(conn, text)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != 400 {
			t.Errorf("%q: %v, %v", text, resp, err)
		}
		conn.Close()
	}
	if status, _, got := agent.do(agenttest.NewRequest(agent.addr, "order", strings.Repeat("x", message.MaxBufferedBody))); status != 200 || got != fmt.Sprint(message.MaxBufferedBody) {
		t.Errorf("the largest body: answered %d, arrived %s", status, got)
	}
	if server.Count() != 1 {
		t.Errorf("%d arrivals, want 1", server.Count())
	}
}

// Chunked framing may hide a request in what the sender meant as a body of the length that it also gave:
// nothing after the last chunk is read as a request.
func TestNothingInsideABodyIsTakenForARequest(t *testing.T) {
	inner := "POST /api/b2 HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
	body := "1\r\nx\r\n0\r\n\r\n" + inner
	head := func(class, framing string) string {
		return "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: " + class +
			"\r\nRequest-Timeout-Ms: 4000\r\n" + framing + "\r\n\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d", len(body))
	for _, test := range []struct {
		name, head string
		status     int
		arrivals   int
	}{
		{"length first", head("order", length+"\r\nTransfer-Encoding: chunked"), 200, 1},
		{"length last", head("order", "Transfer-Encoding: chunked\r\n"+length), 200, 1},
		{"rejected", head("nobody's", "Transfer-Encoding: chunked\r\n"+length), 400, 0},
		{"before 1.1", strings.Replace(head("order", "Connection: keep-alive\r\nTransfer-Encoding: chunked"),
			"HTTP/1.1", "HTTP/1.0", 1), 505, 0},
		{"rejected, plain", head("nobody's", "Content-Length: 0"), 400, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent, server := startWithServer(t, agenttest.RespondOK)
			conn, err := net.Dial("tcp", agent.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(agenttest.Timeout))
			fmt.Fprint(conn, test.head+body)
			br := bufio.NewReader(conn)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			agenttest.WantStatus(t, resp.StatusCode, test.status)
			if _, err := io.ReadAll(resp.Body); err != nil {
				t.Fatal(err)
			}
			if !resp.Close {
				t.Error("the answer does not say that the connection closes")
			}
			// A reset counts as a close: what was not read makes the kernel send one.
			if resp, err := http.ReadResponse(br, nil); err == nil {
				t.Errorf("a second answer, %d", resp.StatusCode)
			}
			if server.Count() != test.arrivals {
				t.Errorf("%d arrivals, want %d", server.Count(), test.arrivals)
			}
		})
	}
}

// A peer that connects and sends no complete request gets an error or a close within 3 s from connecting,
// also one that sends a byte now and then.
func TestImproperPeersAreEndedInTime(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, agenttest.RespondOK)
	head := "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 4000\r\n"
	for name, peer := range map[string]struct{ at, drip string }{
		"silent":       {"", ""},
		"half a head":  {head, ""},
		"slow head":    {"POST /api/a1 HTTP/1.1\r\nX: ", "x"},
		"half a body":  {head + "Content-Length: 10\r\n\r\nabc", ""},
		"slow body":    {head + "Content-Length: 1000\r\n\r\nabc", "x"},
		"slow chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"endless head": {"POST /api/a1 HTTP/1.1\r\nX: ", strings.Repeat("x", 4096)},
		// The time is the connection's: a request before does not buy more.
		"second half": {"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\nPOST /api/a1 HT", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", agent.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			from := time.Now()
			conn.SetDeadline(from.Add(agenttest.Timeout))
			fmt.Fprint(conn, peer.at)
			over := make(chan struct{})
			go func() {
				defer close(over)
				io.Copy(io.Discard, conn) // an answer, and then the close
			}()
			for ended := false; !ended; {
				if peer.drip != "" {
					io.WriteString(conn, peer.drip)
				}
				select {
				case <-over:
					ended = true
				case <-time.After(50 * time.Millisecond):
				}
			}
			// A second more than what is owed: a busy machine is not what is tested.
			if took := time.Since(from); took > 4*time.Second {
				t.Errorf("ended after %v", took)
			}
			if server.Count() != 0 {
				t.Errorf("%d arrivals", server.Count())
			}
		})
	}
}

// A request may wait for longer than it may take to arrive.
func TestRequestOutlivesItsReadTimeout(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		<-release
		return agenttest.RespondOK(conn, req, n)
	})
	time.AfterFunc(message.BodyGracePeriod+500*time.Millisecond, func() { close(release) })
	status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
	agenttest.WantStatus(t, status, 200)
}
