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
	t         testing.TB
	addr      string
	agent     *Agent
	stop      context.CancelFunc
	done      chan error
	adminAddr string // of the admin endpoint
	log       *testLog
	// reloads takes what a SIGHUP would bring.
	reloads chan *config.Config
}

// startAgent starts an agent that knows the list of the discovery as it is now.
func startAgent(t testing.TB, d *agenttest.Discovery, change func(*config.Config)) *testAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startAgentOn(t, d, ln, change)
}

// startAgentOn is startAgent with a listener of the test's.
func startAgentOn(t testing.TB, d *agenttest.Discovery, ln net.Listener, change func(*config.Config)) *testAgent {
	t.Helper()
	cfg := agenttest.NewConfig(t, ln.Addr().String(), d)
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
	a := &testAgent{
		t:         t,
		addr:      ln.Addr().String(),
		adminAddr: operators.Addr().String(),
		log:       log,
		stop:      stop,
		done:      make(chan error, 1),
		reloads:   make(chan *config.Config),
	}
	a.agent, err = New(cfg, Listeners{Clients: ln, Admin: operators})
	if err != nil {
		t.Fatal(err)
	}
	go func() { a.done <- a.agent.Run(ctx, a.reloads) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-a.done:
		case <-time.After(agenttest.Timeout):
			t.Error("the agent did not stop")
		}
	})
	a.waitReady()
	return a
}

func (a *testAgent) waitReady() {
	for end := time.Now().Add(agenttest.Timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		resp, err := agenttest.HTTPClient.Get("http://" + a.addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	a.t.Fatal("the agent is not ready")
}

// statsNow reads the loop's statistics, in the loop.
func (a *testAgent) statsNow() dispatch.Stats {
	stats := make(chan dispatch.Stats, 1)
	a.agent.loop.Post(func() { stats <- a.agent.loop.Stats() })
	return <-stats
}

// metricsNow reads the loop's metrics, in the loop.
func (a *testAgent) metricsNow() dispatch.Metrics { return a.statsNow().Metrics }

// testLog writes an agent's lines to the test that asks for them, and else to standard error.
type testLog struct {
	lines atomic.Pointer[agenttest.LineWriter]
}

func (l *testLog) Write(line []byte) (int, error) {
	if lines := l.lines.Load(); lines != nil {
		return lines.Write(line)
	}
	return os.Stderr.Write(line)
}

// logLines makes the agent pass its log lines to the test, as text.
func (a *testAgent) logLines() <-chan string {
	lines := make(agenttest.LineWriter, agenttest.MaxTestLines)
	a.log.lines.Store(&lines)
	return lines
}

// do sends a request and returns the response's status, header and body.
func (a *testAgent) do(req *http.Request) (int, http.Header, string) {
	a.t.Helper()
	return agenttest.Do(a.t, req)
}
