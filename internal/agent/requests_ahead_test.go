package agent

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

const (
	// aheadBodySize is the size of the bodies of requests that are sent ahead.
	aheadBodySize = 8000
	// aheadServiceTime is the service time of each of them.
	aheadServiceTime = 20 * time.Millisecond
)

// aheadRequest returns the text of the i-th request that is sent ahead, and its body. The body tells at each place
// which request it belongs to.
func aheadRequest(i int) (text, body string) {
	var marks strings.Builder
	for marks.Len() < aheadBodySize {
		_, _ = fmt.Fprintf(&marks, "%d at %06d;", i, marks.Len())
	}
	body = marks.String()[:aheadBodySize]
	head := fmt.Sprintf("POST /api/a%d HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n", i, i, longTimeoutMs, len(body))
	return head + body, body
}

// respondSlowly is a responder that gives the client time to send more.
func respondSlowly(conn net.Conn, req *http.Request, n int) bool {
	time.Sleep(aheadServiceTime)
	return agenttest.RespondOK(conn, req, n)
}

// A server gets each request as its client sent it, however many requests the client sends at once: what the agent
// doesn't keep of them never becomes a part of another request's body.
func TestRequestsSentAheadAreUnchanged(t *testing.T) {
	t.Parallel()
	for requests, allServed := range map[int]bool{2: true, 8: true, 12: true, 40: false, 200: false} {
		t.Run(fmt.Sprint(requests), func(t *testing.T) {
			t.Parallel()
			agent, server := startWithServer(t, respondSlowly)
			client := agent.dial()
			var text strings.Builder
			bodies := make([]string, requests)
			for i := range requests {
				var request string
				request, bodies[i] = aheadRequest(i)
				text.WriteString(request)
			}
			go send(client, text.String())
			served := 0
			for i := range requests {
				got, err := agenttest.ReadResponse(client.Reader, nil)
				if err != nil || got.Status != http.StatusOK {
					break
				}
				if want := fmt.Sprintf("POST /api/a%d %s", i, bodies[i]); got.Body != want {
					t.Fatalf("request %d reached the server as %d bytes %.80q, want %.80q", i, len(got.Body), got.Body, want)
				}
				served++
			}
			if served == 0 || allServed && served < requests {
				t.Errorf("%d of %d requests served", served, requests)
			}
			if executed := server.Count(); executed != served {
				t.Errorf("the server got %d requests, of which %d were answered", executed, served)
			}
		})
	}
}
