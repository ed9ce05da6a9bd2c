package agent

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// minSockets is the smallest number of descriptors that can be configured.
const minSockets = 64

// startWithMinSockets starts an agent with the smallest number of descriptors that can be configured. It also
// returns the agent's limit on client connections.
func startWithMinSockets(t *testing.T) (agent *testAgent, maxConns int) {
	t.Helper()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent = startAgent(t, discoveryWith(t, server.Addr), func(cfg *config.Config) { cfg.Sockets = minSockets })
	return agent, agent.cfg.MaxClientConns()
}

// The first request on a new connection gets a response, even if the agent has to close other connections to stay
// within its descriptor limit.
func TestFirstRequestAtTheDescriptorLimitIsAnswered(t *testing.T) {
	sends := func(text string) func(*testing.T, *agenttest.ClientConn) {
		return func(t *testing.T, client *agenttest.ClientConn) {
			t.Helper()
			send(client, text)
		}
	}
	for name, use := range map[string]func(t *testing.T, client *agenttest.ClientConn){
		"all connections are idle": func(t *testing.T, client *agenttest.ClientConn) {
			t.Helper()
			client.RequestReady(t)
		},
		"all connections are silent":       sends(""),
		"all connections have half a head": sends("GET /api/a HTTP/1.1\r\n"),
		"all connections have half a body": sends(strings.TrimSuffix(orderRequest(60_000, "xy"), "y")),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent, maxConns := startWithMinSockets(t)
			for range maxConns {
				use(t, agent.dial())
			}
			var clients sync.WaitGroup
			for range 8 {
				clients.Add(1)
				go func() {
					defer clients.Done()
					client, err := agenttest.ConnectClient(t, agent.addr)
					if err != nil {
						t.Error(err)
						return
					}
					send(client, orderRequest(longTimeoutMs, "x"))
					if status := client.Status(); status != http.StatusOK && status != http.StatusServiceUnavailable {
						t.Errorf("response status %d, want 200 or 503", status)
					}
				}()
			}
			clients.Wait()
		})
	}
}

// Idle client connections are closed in favor of new ones, and attempts beyond the limit open no connections, so that
// neither side can use up the descriptors.
func TestDescriptorLimit(t *testing.T) {
	release := make(chan struct{})
	server := agenttest.NewServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		<-release
		return agenttest.RespondOK(conn, req, n)
	})
	agent := startAgent(t, discoveryWith(t, server.Addr), func(cfg *config.Config) { cfg.Sockets = minSockets })
	for range 2 * agent.cfg.MaxClientConns() {
		agent.dial().RequestReady(t) // stays connected and idle
	}
	close(release)
	agent.wantOrderStatus(http.StatusOK)
}
