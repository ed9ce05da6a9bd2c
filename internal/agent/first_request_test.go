package agent

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// startSmallAgent starts an agent with the fewest descriptors that may be configured.
func startSmallAgent(t *testing.T) (agent *testAgent, maxConns int) {
	t.Helper()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent = startAgent(t, listing(t, server.Addr), func(cfg *config.Config) { cfg.Sockets = config.MinSockets })
	return agent, agent.cfg.ClientConns()
}

// The first request on a new connection has a response, whatever the agent does with others just then to keep
// within its descriptors.
func TestFirstRequestAtTheLimitOfDescriptorsIsAnswered(t *testing.T) {
	sends := func(text string) func(*testing.T, *agenttest.KeptConn) {
		return func(t *testing.T, client *agenttest.KeptConn) {
			t.Helper()
			send(client, text)
		}
	}
	for name, use := range map[string]func(t *testing.T, client *agenttest.KeptConn){
		"all connections are idle": func(t *testing.T, client *agenttest.KeptConn) {
			t.Helper()
			client.RequestReady(t)
		},
		"all connections are silent":       sends(""),
		"all connections have half a head": sends("GET /api/a HTTP/1.1\r\n"),
		"all connections have half a body": sends(strings.TrimSuffix(timedRequest(60_000, "xy"), "y")),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, maxConns := startSmallAgent(t)
			for range maxConns {
				use(t, agent.dialKept())
			}
			var clients sync.WaitGroup
			for range 8 {
				clients.Add(1)
				go func() {
					defer clients.Done()
					client := agent.dialKept()
					send(client, timedRequest(longTimeoutMs, "x"))
					if status := client.Status(); status != http.StatusOK && status != http.StatusServiceUnavailable {
						t.Errorf("response %d", status)
					}
				}()
			}
			clients.Wait()
		})
	}
}

// Bytes that are no request, ahead of one on a new connection, lead to an error, or the request is served as if
// they were not there; the connection never ends without a response.
func TestInvalidBytesBeforeTheFirstRequest(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	for name, invalid := range map[string]string{
		"an empty line":        "\r\n",
		"nonsense":             "nonsense\r\n\r\n",
		"a zero byte":          "\x00",
		"a TLS hello":          "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
		"HTTP/2's preface":     "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"a line without end":   strings.Repeat("x", 40<<10),
		"two lengths":          "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
		"a request with no id": "GET /api/x HTTP/1.1\r\nHost: x\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 4000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := agent.dialKept()
			send(client, invalid+timedRequest(timeoutMs, "x"))
			resp, err := http.ReadResponse(client.Br, nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode < 400 && !strings.Contains(string(body), "/api/a") {
				t.Errorf("response %d with %q", resp.StatusCode, body)
			}
		})
	}
	if n := server.Count(); n > 1 {
		t.Errorf("%d arrivals", n)
	}
}
