package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/dispatch"
)

// testAgent is a running agent that listens on loopback ports chosen by the kernel.
type testAgent struct {
	*Agent
	tb        testing.TB
	addr      string // address for clients
	adminAddr string // address of the admin endpoint
	stop      context.CancelFunc
	done      chan error // receives the result of Run
	log       *testLog
	reloads   chan *config.Config // configurations to reload, as after SIGHUP
}

// startAgent starts an agent whose initial list is the current one of discovery, and waits until it is ready. If change
// is not nil it is applied to the configuration first.
func startAgent(tb testing.TB, discovery *agenttest.Discovery, change func(*config.Config)) *testAgent {
	tb.Helper()
	return startAgentOn(tb, discovery, agenttest.Listen(tb), change)
}

// startAgentOn is like startAgent, with the given listener for clients.
func startAgentOn(
	tb testing.TB, discovery *agenttest.Discovery, listener net.Listener, change func(*config.Config),
) *testAgent {
	tb.Helper()
	cfg := agenttest.NewConfig(tb, listener.Addr().String(), discovery)
	log := &testLog{}
	cfg.Log = slog.New(slog.NewTextHandler(log, nil))
	if change != nil {
		change(cfg)
	}
	adminListener := agenttest.Listen(tb)
	started, err := New(cfg, Listeners{Clients: listener, Admin: adminListener})
	if err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	agent := &testAgent{
		Agent:     started,
		tb:        tb,
		addr:      listener.Addr().String(),
		adminAddr: adminListener.Addr().String(),
		stop:      stop,
		done:      make(chan error, 1),
		log:       log,
		reloads:   make(chan *config.Config),
	}
	go func() { agent.done <- agent.Run(ctx, agent.reloads) }()
	tb.Cleanup(agent.stopAndWait)
	agent.waitReady()
	return agent
}

// startWithServer starts a server with the given responder, and an agent whose endpoint list has only that server.
func startWithServer(t *testing.T, respond agenttest.Responder) (*testAgent, *agenttest.Server) {
	t.Helper()
	server := agenttest.NewServer(t, respond)
	return startAgent(t, discoveryWith(t, server.Addr), nil), server
}

// discoveryWith starts a discovery that lists servers at the given addresses, with the IDs s-1, s-2 and so on.
func discoveryWith(tb testing.TB, addrs ...string) *agenttest.Discovery {
	tb.Helper()
	discovery := agenttest.NewDiscovery(tb)
	for i, addr := range addrs {
		server := agenttest.Endpoint(fmt.Sprint("s-", i+1), addr)
		discovery.List.Servers = append(discovery.List.Servers, server)
	}
	return discovery
}

// send writes text to a peer. Write errors are ignored: they mean that the peer has closed the connection, which tests
// notice in what the peer received or sent.
func send(peer io.Writer, text string) { _, _ = io.WriteString(peer, text) }

// sendf is like send, with a format.
func sendf(peer io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(peer, format, args...) }

// getStatus sends a GET request for url and returns the status code of the response.
func getStatus(ctx context.Context, url string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := agenttest.HTTPClient.Do(req)
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// stopAndWait shuts the agent down and waits until it has stopped.
func (agent *testAgent) stopAndWait() {
	agent.stop()
	select {
	case <-agent.done:
	case <-time.After(agenttest.Timeout):
		agent.tb.Error("agent did not stop")
	}
}

// waitReady waits until the agent reports that it is ready.
func (agent *testAgent) waitReady() {
	agent.tb.Helper()
	agenttest.WaitUntil(agent.tb, "the agent is ready", func() bool {
		status, err := getStatus(agent.tb.Context(), agent.readyURL())
		return err == nil && status == http.StatusOK
	})
}

// readyURL returns the URL at which clients check whether the agent is ready.
func (agent *testAgent) readyURL() string { return "http://" + agent.addr + "/-/ready" }

// readyStatus returns the status code that clients get from readyURL.
func (agent *testAgent) readyStatus() int {
	agent.tb.Helper()
	status, err := getStatus(agent.tb.Context(), agent.readyURL())
	if err != nil {
		agent.tb.Fatal(err)
	}
	return status
}

// dial opens a client connection, which stays open until the end of the test unless the test closes it.
func (agent *testAgent) dial() *agenttest.ClientConn {
	agent.tb.Helper()
	return agenttest.DialClient(agent.tb, agent.addr)
}

// do sends a request and returns the response. It must be called from the goroutine of the test.
func (agent *testAgent) do(req *http.Request) agenttest.Response {
	agent.tb.Helper()
	return agenttest.Send(agent.tb, req)
}

// wantOrderStatus sends a non-idempotent request and checks the status of the response.
func (agent *testAgent) wantOrderStatus(want int) {
	agent.tb.Helper()
	status := agent.do(agenttest.NewRequest(agent.addr, "order", "x")).Status
	if status != want {
		agent.tb.Errorf("response status %d, want %d", status, want)
	}
}

// blockLoop blocks the event loop until release is called.
func (agent *testAgent) blockLoop() (release func()) {
	unblock, blocked := make(chan struct{}), make(chan struct{})
	agent.loop.Post(func() {
		close(blocked)
		<-unblock
	})
	<-blocked
	return func() { close(unblock) }
}

// statsNow returns the current statistics of the event loop.
func (agent *testAgent) statsNow() dispatch.Stats {
	stats := make(chan dispatch.Stats, 1)
	agent.loop.Post(func() { stats <- agent.loop.Stats() })
	return <-stats
}

// metricsNow returns the current metrics of the event loop.
func (agent *testAgent) metricsNow() dispatch.Metrics { return agent.statsNow().Metrics }

// wantNoViolationsOrBackstops checks that the agent did not have to prevent an action of the policy, and did not have
// to end a request that the policy should have ended.
func (agent *testAgent) wantNoViolationsOrBackstops() {
	agent.tb.Helper()
	if metrics := agent.metricsNow(); metrics.Violations+metrics.Backstops > 0 {
		agent.tb.Errorf("violations or backstops counted: metrics %+v", metrics)
	}
}

// waitNoClients waits until the agent has noticed that all client connections are closed.
func (agent *testAgent) waitNoClients(t *testing.T) {
	t.Helper()
	agenttest.WaitUntil(t, "all client connections are closed", func() bool {
		return agent.downstream.OpenConns() == 0
	})
}

// waitConnEnded waits until the agent has closed a connection to the server.
func waitConnEnded(t *testing.T, server *agenttest.Server) {
	t.Helper()
	select {
	case <-server.ConnsClosed:
	case <-time.After(agenttest.Timeout):
		t.Fatal("connection to the server is still open")
	}
}

// logLines returns a channel that receives the lines that the agent logs from now on.
func (agent *testAgent) logLines() <-chan string {
	lines := make(agenttest.LineWriter, agenttest.MaxBufferedLines)
	agent.log.lines.Store(&lines)
	return lines
}

// testLog receives the log of an agent. It writes to standard error until logLines is called, and then to its channel.
type testLog struct {
	lines atomic.Pointer[agenttest.LineWriter]
}

func (log *testLog) Write(line []byte) (int, error) {
	if lines := log.lines.Load(); lines != nil {
		return lines.Write(line)
	}
	return os.Stderr.Write(line)
}

// orderHead returns the head of a non-idempotent request with the given timeout and Content-Length.
func orderHead(timeoutMs, length int) string {
	return fmt.Sprintf("POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n", timeoutMs, length)
}

// orderRequest returns a non-idempotent request with the given timeout and body.
func orderRequest(timeoutMs int, body string) string {
	return orderHead(timeoutMs, len(body)) + body
}
