package downstream

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/memory"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// newFramedPair returns the client's end and the agent's end of a connection whose budgets have the given sizes.
func newFramedPair(t *testing.T, limits memory.Limits) (client *bufio.ReadWriter, conn *framedConn) {
	t.Helper()
	peer, accepted := clientPair(t)
	budget := newAdmission(limits, message.NewQuota(1), func() float64 { return 0 })
	return bufio.NewReadWriter(bufio.NewReader(peer), bufio.NewWriter(peer)), &framedConn{
		clientConn: accepted,
		admission:  budget,
	}
}

// largeLimits are limits that admit any request.
var largeLimits = memory.Limits{Requests: 1 << 20, LargeRequests: 1 << 20, UnprovenRequests: 1 << 20, Uploads: 1 << 20}

// write sends text at once.
func write(t *testing.T, client *bufio.ReadWriter, text string) {
	t.Helper()
	_, err := client.WriteString(text)
	if err == nil {
		err = client.Flush()
	}
	if err != nil {
		t.Fatal(err)
	}
}

// readRequestFrom reads a request with its body as the HTTP server does, and returns how many bytes were read of what
// follows it.
func readRequestFrom(t *testing.T, conn *framedConn) (text string, ahead int) {
	t.Helper()
	reader := bufio.NewReader(conn)
	req, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	var body strings.Builder
	if _, err := bufio.NewReader(req.Body).WriteTo(&body); err != nil {
		t.Fatal(err)
	}
	return req.URL.Path + " " + body.String(), reader.Buffered()
}

// The HTTP server gets one request at a time, though a client sends several at once.
func TestReadsEndAtTheEndOfARequest(t *testing.T) {
	client, conn := newFramedPair(t, largeLimits)
	likeRequests := strings.Repeat("GET /evil HTTP/1.1\r\n\r\n", 9)
	bodies := []string{"", "x", strings.Repeat("y", 3*initialReadBuffer), "", likeRequests}
	var text strings.Builder
	for i, body := range bodies {
		_, _ = fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
	}
	write(t, client, text.String())
	for i, body := range bodies {
		got, ahead := readRequestFrom(t, conn)
		if want := fmt.Sprintf("/%d %s", i, body); got != want || ahead > 0 {
			t.Fatalf("request %d: %q with %d bytes read ahead, want %q and none", i, got, ahead, want)
		}
		conn.requestDone()
	}
}

// A head with too many fields, or for which the budget has no space, is answered and never parsed.
func TestHeadsThatDoNotFitAreRefused(t *testing.T) {
	small := memory.Limits{
		Requests:         memory.RequestCost - 1,
		LargeRequests:    memory.RequestCost - 1,
		UnprovenRequests: memory.RequestCost - 1,
	}
	request := agenttest.RequestText(1, maxRequestTimeoutMs)
	for name, test := range map[string]struct {
		limits memory.Limits
		text   string
		status int
	}{
		"too many fields": {
			largeLimits,
			"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", maxRequestFields+1) + "\r\n",
			http.StatusRequestHeaderFieldsTooLarge,
		},
		"too long": {
			largeLimits,
			"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", maxRequestHead),
			http.StatusRequestHeaderFieldsTooLarge,
		},
		"no space for a request": {small, request, http.StatusServiceUnavailable},
		"no space for the buffer": {
			small,
			"GET / HTTP/1.1\r\nA: " + strings.Repeat("x", 9000),
			http.StatusServiceUnavailable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, conn := newFramedPair(t, test.limits)
			write(t, client, test.text)
			if n, err := conn.Read(make([]byte, readBufferSize)); n > 0 || err == nil {
				t.Errorf("%d bytes read, error %v, want none and an error", n, err)
			}
			response, err := http.ReadResponse(client.Reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != test.status || !response.Close {
				t.Errorf("status %d, closes: %v, want %d and a close", response.StatusCode, response.Close, test.status)
			}
			if free := conn.admission.requests; !free.TryAcquire(test.limits.Requests) && conn.grown.Load() == 0 {
				t.Error("a refused request has kept a part of the budget")
			}
		})
	}
}

// A client that waits for short responses is admitted when new clients have used up their part of the budget, and one
// that sends requests ahead is not.
func TestProvenClientIsAdmittedBesideNewOnes(t *testing.T) {
	limits := memory.Limits{Requests: 3 * memory.RequestCost, UnprovenRequests: memory.RequestCost}
	request := agenttest.RequestText(1, maxRequestTimeoutMs)
	client, proven := newFramedPair(t, limits)
	write(t, client, request)
	readRequestFrom(t, proven)
	proven.requestDone()
	proven.servedShort.Store(true)
	newConn := func() (*bufio.ReadWriter, *framedConn) {
		other, conn := newFramedPair(t, limits)
		conn.admission = proven.admission
		return other, conn
	}
	firstClient, first := newConn()
	write(t, firstClient, request)
	readRequestFrom(t, first) // uses up the part of new clients
	refusedClient, refused := newConn()
	write(t, refusedClient, request)
	if _, err := refused.Read(make([]byte, readBufferSize)); err == nil {
		t.Error("a new client is admitted beyond the part of new clients")
	}
	write(t, client, request+request)
	readRequestFrom(t, proven)
	proven.requestDone()
	if _, err := proven.Read(make([]byte, readBufferSize)); err == nil {
		t.Error("a request that was sent ahead is admitted as one of a client that waits")
	}
	first.requestDone()
	budget := proven.admission
	if !budget.requests.TryAcquire(limits.Requests) || !budget.unproven.TryAcquire(limits.UnprovenRequests) {
		t.Error("a part of the budget is not released")
	}
}
