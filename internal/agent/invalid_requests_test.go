package agent

import (
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

// countingResponder is a responder that sends the length of the request body.
func countingResponder(conn net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return agenttest.SendResponse(conn, http.StatusOK, "", fmt.Sprint(len(body)))
}

func TestMalformedInput(t *testing.T) {
	agent, server := startWithServer(t, countingResponder)
	checkInvalidRequests(t, agent)
	checkUnreadableRequests(t, agent)
	largest := agenttest.NewRequest(agent.addr, "order", strings.Repeat("x", message.MaxBufferedBody))
	response := agent.do(largest)
	if response.Status != http.StatusOK || response.Body != fmt.Sprint(message.MaxBufferedBody) {
		t.Errorf("largest body: status %d, server received %s bytes", response.Status, response.Body)
	}
	if server.Count() != 1 {
		t.Errorf("server received %d requests, want 1", server.Count())
	}
}

// checkInvalidRequests checks that requests that are valid HTTP but violate the agent's rules are rejected.
func checkInvalidRequests(t *testing.T, agent *testAgent) {
	t.Helper()
	set := func(name, value string) func(*http.Request) {
		return func(req *http.Request) { req.Header.Set(name, value) }
	}
	remove := func(name string) func(*http.Request) {
		return func(req *http.Request) { req.Header.Del(name) }
	}
	for _, test := range []struct {
		name   string
		class  string
		change func(*http.Request)
		status int
	}{
		{"unknown class", "order", set("Request-Class", "nobody's"), http.StatusBadRequest},
		{"no class", "order", remove("Request-Class"), http.StatusBadRequest},
		{"no id", "order", remove("Request-Id"), http.StatusBadRequest},
		{"no key", "send", remove("Idempotency-Key"), http.StatusBadRequest},
		{"timeout not a number", "order", set("Request-Timeout-Ms", "soon"), http.StatusBadRequest},
		{"timeout negative", "order", set("Request-Timeout-Ms", "-5"), http.StatusBadRequest},
		{"timeout zero", "order", set("Request-Timeout-Ms", "0"), http.StatusBadRequest},
		{"timeout huge", "order", set("Request-Timeout-Ms", "99999999999999999999"), http.StatusBadRequest},
		{"method not allowed", "order", func(req *http.Request) { req.Method = "DELETE" }, http.StatusMethodNotAllowed},
	} {
		req := agenttest.NewRequest(agent.addr, test.class, "x")
		test.change(req)
		if status := agent.do(req).Status; status != test.status {
			t.Errorf("%s: response status %d, want %d", test.name, status, test.status)
		}
	}
	oversize := agent.dial()
	send(oversize, orderHead(timeoutMs, message.MaxRequestBody+1)+"x")
	if status := oversize.Status(); status != http.StatusRequestEntityTooLarge {
		t.Errorf("oversize body: response status %d, want 413", status)
	}
}

// checkUnreadableRequests checks that text which is not a valid HTTP request gets status 400.
func checkUnreadableRequests(t *testing.T, agent *testAgent) {
	t.Helper()
	for _, text := range []string{
		"nonsense\r\n\r\n",
		"POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n",
		"POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
	} {
		client := agent.dial()
		send(client, text)
		if status := client.Status(); status != http.StatusBadRequest {
			t.Errorf("%q: response status %d, want 400", text, status)
		}
		_ = client.Close()
	}
}

// Request smuggling: a body whose framing is ambiguous, chunked and with a Content-Length, may contain the text of
// another request. Nothing after the last chunk is read as a request.
func TestNoRequestSmuggling(t *testing.T) {
	inner := "POST /api/b2 HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
	body := "1\r\nx\r\n0\r\n\r\n" + inner
	head := func(class, framing string) string {
		return "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: " + class +
			"\r\nRequest-Timeout-Ms: 4000\r\n" + framing + "\r\n\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d", len(body))
	for _, test := range []struct {
		name     string
		head     string
		status   int
		received int
	}{
		{"length first", head("order", length+"\r\nTransfer-Encoding: chunked"), http.StatusOK, 1},
		{"length last", head("order", "Transfer-Encoding: chunked\r\n"+length), http.StatusOK, 1},
		{"rejected", head("nobody's", "Transfer-Encoding: chunked\r\n"+length), http.StatusBadRequest, 0},
		{"HTTP/1.0", strings.Replace(head("order", "Connection: keep-alive\r\nTransfer-Encoding: chunked"),
			"HTTP/1.1", "HTTP/1.0", 1), http.StatusHTTPVersionNotSupported, 0},
		{"rejected, Content-Length only", head("nobody's", "Content-Length: 0"), http.StatusBadRequest, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			agent, server := startWithServer(t, agenttest.RespondOK)
			client := agent.dial()
			send(client, test.head+body)
			response, err := agenttest.ReadResponse(client.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			agenttest.WantStatus(t, response.Status, test.status)
			if !response.Closes {
				t.Error("response does not announce that the connection closes")
			}
			// A reset counts as a close: the kernel sends one because of the unread bytes.
			if status := client.Status(); status != 0 {
				t.Errorf("second response with status %d, want none", status)
			}
			if server.Count() != test.received {
				t.Errorf("server received %d requests, want %d", server.Count(), test.received)
			}
		})
	}
}

// A client that sends no complete request gets an error or a close within 3 s after it has connected, even if it keeps
// sending single bytes.
func TestConnectionsWithoutACompleteRequestEndInTime(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, agenttest.RespondOK)
	const (
		head = "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n" +
			"Request-Timeout-Ms: 4000\r\n"
		interval  = 50 * time.Millisecond // between repeated texts
		tolerance = time.Second           // for a busy machine
	)
	for name, peer := range map[string]struct {
		first   string // sent at once
		further string // sent repeatedly after that
	}{
		"silent":       {"", ""},
		"half a head":  {head, ""},
		"slow head":    {"POST /api/a1 HTTP/1.1\r\nX: ", "x"},
		"half a body":  {head + "Content-Length: 10\r\n\r\nabc", ""},
		"slow body":    {head + "Content-Length: 1000\r\n\r\nabc", "x"},
		"slow chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"endless head": {"POST /api/a1 HTTP/1.1\r\nX: ", strings.Repeat("x", 4096)},
		// The limit applies to the connection: an earlier request does not extend it.
		"half a second request": {"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\nPOST /api/a1 HT", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := agent.dial()
			start := time.Now()
			send(client, peer.first)
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				_, _ = io.Copy(io.Discard, client) // possibly a response, and then the close
			}()
			for ended := false; !ended; {
				send(client, peer.further)
				select {
				case <-closed:
					ended = true
				case <-time.After(interval):
				}
			}
			if took := time.Since(start); took > 3*time.Second+tolerance {
				t.Errorf("connection closed after %v, want at most 3 s", took)
			}
			if server.Count() != 0 {
				t.Errorf("server received %d requests, want none", server.Count())
			}
		})
	}
}

// If invalid bytes precede the first request on a connection the client gets an error, or the request is served as if
// they were not there. The connection is never closed without a response.
func TestInvalidBytesBeforeTheFirstRequest(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	for name, invalid := range map[string]string{
		"an empty line":        "\r\n",
		"nonsense":             "nonsense\r\n\r\n",
		"a zero byte":          "\x00",
		"a TLS hello":          "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"an HTTP/2 preface":    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"an endless line":      strings.Repeat("x", 40<<10),
		"two lengths":          "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"a request with no id": "GET /api/x HTTP/1.1\r\nHost: x\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 4000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := agent.dial()
			send(client, invalid+orderRequest(timeoutMs, "x"))
			resp, err := http.ReadResponse(client.Reader, nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode < http.StatusBadRequest && !strings.Contains(string(body), "/api/a") {
				t.Errorf("response status %d with body %q", resp.StatusCode, body)
			}
		})
	}
	if arrivals := server.Count(); arrivals > 1 {
		t.Errorf("server received %d requests, want at most 1", arrivals)
	}
}
