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

// testAgent is an agent on a port that the kernel chooses.
type testAgent struct {
	*Agent
	tb        testing.TB
	addr      string // for clients
	adminAddr string // of the admin endpoint
	stop      context.CancelFunc
	done      chan error // gets what Run returned
	log       *testLog
	reloads   chan *config.Config // takes what a SIGHUP would bring
}

// startAgent starts an agent that knows the discovery's list as it is now; change may be nil.
func startAgent(tb testing.TB, discovery *agenttest.Discovery, change func(*config.Config)) *testAgent {
	tb.Helper()
	return startAgentOn(tb, discovery, agenttest.Listen(tb), change)
}

// startAgentOn is startAgent with a given listener for clients.
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

// startWithServer starts an agent in front of one server with the given responder.
func startWithServer(t *testing.T, respond agenttest.Responder) (*testAgent, *agenttest.Server) {
	t.Helper()
	server := agenttest.NewServer(t, respond)
	return startAgent(t, listing(t, server.Addr), nil), server
}

// listing is a discovery that lists servers at these addresses, as s-1, s-2 and so on.
func listing(tb testing.TB, addrs ...string) *agenttest.Discovery {
	tb.Helper()
	discovery := agenttest.NewDiscovery(tb)
	for i, addr := range addrs {
		server := agenttest.Endpoint(fmt.Sprint("s-", i+1), addr)
		discovery.List.Servers = append(discovery.List.Servers, server)
	}
	return discovery
}

// send writes text to a peer. A failure is the peer's close, which shows in what the peer receives or sends.
func send(peer io.Writer, text string) { _, _ = io.WriteString(peer, text) }

// sendf is send with a format.
func sendf(peer io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(peer, format, args...) }

// getStatus gets a URL and returns the response's status.
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

// stopAndWait shuts the agent down.
func (agent *testAgent) stopAndWait() {
	agent.stop()
	select {
	case <-agent.done:
	case <-time.After(agenttest.Timeout):
		agent.tb.Error("the agent did not stop")
	}
}

// waitReady waits until the agent says that it is ready.
func (agent *testAgent) waitReady() {
	agent.tb.Helper()
	agenttest.WaitUntil(agent.tb, "the agent is ready", func() bool {
		status, err := getStatus(agent.tb.Context(), agent.readyURL())
		return err == nil && status == http.StatusOK
	})
}

// readyURL is where clients see whether the agent is ready.
func (agent *testAgent) readyURL() string { return "http://" + agent.addr + "/-/ready" }

// readyStatus is what clients get from readyURL.
func (agent *testAgent) readyStatus() int {
	agent.tb.Helper()
	status, err := getStatus(agent.tb.Context(), agent.readyURL())
	if err != nil {
		agent.tb.Fatal(err)
	}
	return status
}

// dialKept opens a connection of a client that keeps it open until the end of the test.
func (agent *testAgent) dialKept() *agenttest.ClientConn {
	agent.tb.Helper()
	return agenttest.DialClient(agent.tb, agent.addr)
}

// do sends a request and returns the response. It belongs to the goroutine of the test.
func (agent *testAgent) do(req *http.Request) agenttest.Response {
	agent.tb.Helper()
	return agenttest.Send(agent.tb, req)
}

// wantOrderStatus sends a non-idempotent request and checks the response's status.
func (agent *testAgent) wantOrderStatus(want int) {
	agent.tb.Helper()
	status := agent.do(agenttest.NewRequest(agent.addr, "order", "x")).Status
	if status != want {
		agent.tb.Errorf("response %d, want %d", status, want)
	}
}

// blockLoop stops the event loop until release is called.
func (agent *testAgent) blockLoop() (release func()) {
	unblock, blocked := make(chan struct{}), make(chan struct{})
	agent.loop.Post(func() {
		close(blocked)
		<-unblock
	})
	<-blocked
	return func() { close(unblock) }
}

// statsNow reads the event loop's statistics, in the loop.
func (agent *testAgent) statsNow() dispatch.Stats {
	stats := make(chan dispatch.Stats, 1)
	agent.loop.Post(func() { stats <- agent.loop.Stats() })
	return <-stats
}

// metricsNow reads the event loop's metrics, in the loop.
func (agent *testAgent) metricsNow() dispatch.Metrics { return agent.statsNow().Metrics }

// wantNoGuardActed checks that the policy did nothing that the agent had to prevent or to make up for.
func (agent *testAgent) wantNoGuardActed() {
	agent.tb.Helper()
	if metrics := agent.metricsNow(); metrics.Violations+metrics.Backstops > 0 {
		agent.tb.Errorf("there were violations or backstops: metrics %+v", metrics)
	}
}

// waitNoClients waits until the agent knows that all connections of clients have ended.
func (agent *testAgent) waitNoClients(t *testing.T) {
	t.Helper()
	agenttest.WaitUntil(t, "all connections of clients have ended", func() bool {
		return agent.downstream.OpenConns() == 0
	})
}

// waitConnEnded waits until a connection of a server has ended.
func waitConnEnded(t *testing.T, server *agenttest.Server) {
	t.Helper()
	select {
	case <-server.ConnsClosed:
	case <-time.After(agenttest.Timeout):
		t.Fatal("a connection to the server stays open")
	}
}

// logLines makes the agent pass its log lines to the test, as text.
func (agent *testAgent) logLines() <-chan string {
	lines := make(agenttest.LineWriter, agenttest.MaxBufferedLines)
	agent.log.lines.Store(&lines)
	return lines
}

// testLog writes an agent's lines to the test once it has called logLines, and before to standard error.
type testLog struct {
	lines atomic.Pointer[agenttest.LineWriter]
}

func (log *testLog) Write(line []byte) (int, error) {
	if lines := log.lines.Load(); lines != nil {
		return lines.Write(line)
	}
	return os.Stderr.Write(line)
}

// orderHead is the head of a request with a timeout and a body of that length.
func orderHead(timeoutMs, length int) string {
	return fmt.Sprintf("POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n", timeoutMs, length)
}

// timedRequest is a request with a timeout and a body.
func timedRequest(timeoutMs int, body string) string {
	return orderHead(timeoutMs, len(body)) + body
}
