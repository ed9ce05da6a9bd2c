package agent

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// startSmallAgent has the fewest descriptors that may be configured.
func startSmallAgent(t *testing.T) (agent *testAgent, most int) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent = startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), func(cfg *config.Config) { cfg.Sockets = config.MinSockets })
	return agent, agent.cfg.ClientConns()
}

// The first request on a new connection is answered, whatever the agent does with others just then to keep
// within its descriptors.
func TestFirstRequestAtTheLimitOfDescriptorsIsAnswered(t *testing.T) {
	for name, fill := range map[string]func(t *testing.T, agent *testAgent, most int){
		"room is made of resting connections": func(t *testing.T, agent *testAgent, most int) {
			for range most {
				agent.dialKept().RequestReady(t)
			}
		},
		"silent connections hold all": func(t *testing.T, agent *testAgent, most int) {
			for range most {
				agent.dialKept()
			}
		},
		"halves of requests hold all": func(t *testing.T, agent *testAgent, most int) {
			for range most {
				fmt.Fprint(agent.dialKept(), "GET /api/a HTTP/1.1\r\n")
			}
		},
		"halves of bodies hold all": func(t *testing.T, agent *testAgent, most int) {
			for range most {
				fmt.Fprint(agent.dialKept(), strings.TrimSuffix(timedRequest(60_000, "xy"), "y"))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, most := startSmallAgent(t)
			fill(t, agent, most)
			var asking sync.WaitGroup
			for range 8 {
				asking.Add(1)
				go func() {
					defer asking.Done()
					client := agent.dialKept()
					fmt.Fprint(client, timedRequest(30_000, "x"))
					if status := client.Status(); status != 200 && status != 503 {
						t.Errorf("answered %d", status)
					}
				}()
			}
			asking.Wait()
		})
	}
}

// Bytes that are no request, ahead of one on a new connection, are answered with an error or served as if
// they were not there; the connection never ends without a response.
func TestInvalidBytesBeforeTheFirstRequest(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	for name, bytes := range map[string]string{
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
			fmt.Fprint(client, bytes+timedRequest(timeoutMs, "x"))
			resp, err := http.ReadResponse(client.Br, nil)
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if resp.StatusCode < 400 && !strings.Contains(string(body), "/api/a") {
				t.Errorf("answered %d with %q", resp.StatusCode, body)
			}
		})
	}
	if n := server.Count(); n > 1 {
		t.Errorf("%d arrivals", n)
	}
}
