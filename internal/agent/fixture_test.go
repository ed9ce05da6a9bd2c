package agent

import (
	"context"
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
	t         testing.TB
	addr      string
	stop      context.CancelFunc
	done      chan error
	adminAddr string // of the admin endpoint
	log       *testLog
	// reloads takes what a SIGHUP would bring.
	reloads chan *config.Config
}

// startAgent starts an agent that knows the list of the discovery as it is now.
func startAgent(t testing.TB, discovery *agenttest.Discovery, change func(*config.Config)) *testAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startAgentOn(t, discovery, ln, change)
}

// startAgentOn is startAgent with a listener of the test's.
func startAgentOn(t testing.TB, discovery *agenttest.Discovery, ln net.Listener, change func(*config.Config)) *testAgent {
	t.Helper()
	cfg := agenttest.NewConfig(t, ln.Addr().String(), discovery)
	log := &testLog{}
	cfg.Log = slog.New(slog.NewTextHandler(log, nil))
	if change != nil {
		change(cfg)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	agent := &testAgent{
		t:         t,
		addr:      ln.Addr().String(),
		adminAddr: operators.Addr().String(),
		log:       log,
		stop:      stop,
		done:      make(chan error, 1),
		reloads:   make(chan *config.Config),
	}
	agent.Agent, err = New(cfg, Listeners{Clients: ln, Admin: operators})
	if err != nil {
		t.Fatal(err)
	}
	go func() { agent.done <- agent.Run(ctx, agent.reloads) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-agent.done:
		case <-time.After(agenttest.Timeout):
			t.Error("the agent did not stop")
		}
	})
	agent.waitReady()
	return agent
}

func (agent *testAgent) waitReady() {
	for end := time.Now().Add(agenttest.Timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		resp, err := agenttest.HTTPClient.Get("http://" + agent.addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	agent.t.Fatal("the agent is not ready")
}

// statsNow reads the loop's statistics, in the loop.
func (agent *testAgent) statsNow() dispatch.Stats {
	stats := make(chan dispatch.Stats, 1)
	agent.loop.Post(func() { stats <- agent.loop.Stats() })
	return <-stats
}

// metricsNow reads the loop's metrics, in the loop.
func (agent *testAgent) metricsNow() dispatch.Metrics { return agent.statsNow().Metrics }

// testLog writes an agent's lines to the test that asks for them, and else to standard error.
type testLog struct {
	lines atomic.Pointer[agenttest.LineWriter]
}

func (log *testLog) Write(line []byte) (int, error) {
	if lines := log.lines.Load(); lines != nil {
		return lines.Write(line)
	}
	return os.Stderr.Write(line)
}

// logLines makes the agent pass its log lines to the test, as text.
func (agent *testAgent) logLines() <-chan string {
	lines := make(agenttest.LineWriter, agenttest.MaxTestLines)
	agent.log.lines.Store(&lines)
	return lines
}

// do sends a request and returns the response's status, header and body.
func (agent *testAgent) do(req *http.Request) (int, http.Header, string) {
	agent.t.Helper()
	return agenttest.Do(agent.t, req)
}
