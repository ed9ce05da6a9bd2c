package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (locked *lockedBuffer) Write(data []byte) (int, error) {
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.buffer.Write(data)
}

func (locked *lockedBuffer) String() string {
	locked.mu.Lock()
	defer locked.mu.Unlock()
	return locked.buffer.String()
}

// callerRecorder is a discovery that records the IP address of the caller of each call.
type callerRecorder struct {
	*agenttest.Discovery
	callers chan string
}

func newCallerRecorder(t *testing.T) callerRecorder {
	t.Helper()
	recorder := callerRecorder{
		Discovery: discoveryWith(t, "127.0.0.1:1"),
		callers:   make(chan string, 1000),
	}
	serve := recorder.Config.Handler
	recorder.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		host, _, _ := net.SplitHostPort(req.RemoteAddr)
		recorder.callers <- host
		serve.ServeHTTP(w, req)
	})
	return recorder
}

// versionsInForce receives the versions with which a hook of the agent is called.
type versionsInForce chan uint64

// wantNext waits for the next version and checks it.
func (versions versionsInForce) wantNext(t *testing.T, want uint64) {
	t.Helper()
	select {
	case version := <-versions:
		if version != want {
			t.Fatalf("hook was called with version %d, want %d", version, want)
		}
	case <-time.After(agenttest.Timeout):
		t.Fatalf("hook was not called with version %d", want)
	}
}

// An agent without client listener applies changes of its endpoint list and its settings, serves its admin endpoint and
// calls its hooks. It uses its own logger, and calls discovery from its own IP address.
func TestAgentWithoutClients(t *testing.T) {
	const callFrom = "127.0.0.77"
	discovery := newCallerRecorder(t)
	cfg, err := config.Parse(agenttest.PushedConfigText(t, discovery.Discovery, nil))
	if err != nil {
		t.Fatal(err)
	}
	var log lockedBuffer
	cfg.Log = slog.New(slog.NewTextHandler(&log, nil)).With("agent", "a1")
	cfg.DiscoveryLocalIP = net.ParseIP(callFrom)
	lists, settings := make(versionsInForce, 100), make(versionsInForce, 100)
	cfg.Hooks.OnList = func(version uint64) { lists <- version }
	cfg.Hooks.OnSettings = func(version uint64) { settings <- version }
	listener := agenttest.Listen(t)
	agent, err := New(cfg, Listeners{Admin: listener})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	reloads, done := make(chan *config.Config), make(chan error, 1)
	go func() { done <- agent.Run(ctx, reloads) }()

	lists.wantNext(t, 1)
	agenttest.WaitUntil(t, "the agent is ready", func() bool {
		status, err := getStatus(t.Context(), "http://"+listener.Addr().String()+"/ops/readiness")
		return err == nil && status == http.StatusOK
	})
	for version := uint64(2); version < 5; version++ {
		discovery.Set(agenttest.Endpoint(fmt.Sprint("s-", version), "127.0.0.1:2"))
		lists.wantNext(t, version)
	}
	changed, err := config.ParseReload(agenttest.PushedConfigText(t, discovery.Discovery, nil), cfg)
	if err != nil {
		t.Fatal(err)
	}
	reloads <- changed
	settings.wantNext(t, 0)
	wantStatusAfterFourLists(t, agent)
	if host := <-discovery.callers; host != callFrom {
		t.Errorf("discovery was called from %s, want the configured local IP address", host)
	}
	stop()
	if err := <-done; err != nil {
		t.Error(err)
	}
	wantLogWithAttribute(t, log.String(), "agent=a1")
	select {
	case version := <-lists:
		t.Errorf("OnList was called again, with version %d", version)
	default:
	}
}

// wantStatusAfterFourLists waits until an agent has made its fourth call to discovery, and checks that its status
// reports four calls and list version 4.
func wantStatusAfterFourLists(t *testing.T, agent *Agent) {
	t.Helper()
	// The fourth call of the watch begins after the hooks were called for the third change.
	agenttest.WaitUntil(t, "the fourth call to discovery", func() bool { return agent.Status().ListCalls >= 4 })
	status := agent.Status()
	listsAndServers := status.ListVersion == 4 && status.Servers == 4
	calls := status.ListCalls >= 4 && status.ListIn >= 4*100 && status.ListOut >= 4*50
	if !listsAndServers || !calls || status.Membership != nil {
		t.Errorf("status %+v", status)
	}
}

// wantLogWithAttribute checks that each line of a log has the attribute, and that the log contains the final metrics.
func wantLogWithAttribute(t *testing.T, log, attribute string) {
	t.Helper()
	for line := range strings.Lines(log) {
		if !strings.Contains(line, attribute) {
			t.Errorf("log line without the agent's attribute: %s", line)
		}
	}
	if !strings.Contains(log, "msg=stopped") || !strings.Contains(log, " listCalls:") {
		t.Errorf("log does not contain the final metrics: %s", log)
	}
}

// A killed agent closes its connections and listeners without further responses, in service and during a shutdown.
func TestKill(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	for name, stopped := range map[string]bool{"in service": false, "during a shutdown": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cfg, err := config.Parse(agenttest.PushedConfigText(t, discoveryWith(t, server.Addr), nil))
			if err != nil {
				t.Fatal(err)
			}
			listeners := Listeners{Clients: agenttest.Listen(t), Admin: agenttest.Listen(t)}
			agent, err := New(cfg, listeners)
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 1)
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			go func() { done <- agent.Run(ctx, nil) }()
			addr := listeners.Clients.Addr().String()
			idle := agenttest.DialClient(t, addr)
			agenttest.WaitUntil(t, "the agent serves", func() bool { return serves(addr) })
			if stopped {
				stop()
				agenttest.WaitUntil(t, "the shutdown has begun", func() bool { return !agent.downstream.IsServing() })
			}
			agent.Kill()
			if err := <-done; !errors.Is(err, ErrKilled) {
				t.Errorf("Run returned %v, want ErrKilled", err)
			}
			wantAllClosed(t, idle, listeners)
		})
	}
}

// serves reports whether the agent at addr serves a request.
func serves(addr string) bool {
	resp, err := agenttest.HTTPClient.Do(agenttest.NewRequest(addr, "read", ""))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// wantAllClosed checks that a killed agent has closed a client connection and its listeners.
func wantAllClosed(t *testing.T, client *agenttest.ClientConn, listeners Listeners) {
	t.Helper()
	read, err := client.Read(make([]byte, 100))
	if read > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("client connection: read %d bytes, error %v; want a close", read, err)
	}
	for _, listener := range []net.Listener{listeners.Clients, listeners.Admin} {
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("Accept returned %v, want net.ErrClosed", err)
		}
	}
}

// New returns an error if the listener to share is missing.
func TestNewRejectsAMissingSharedListener(t *testing.T) {
	cfg, err := config.Parse(agenttest.PushedConfigText(t, agenttest.NewDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(cfg, Listeners{Shared: true}); err == nil || !strings.Contains(err.Error(), "no listener to share") {
		t.Errorf("New without the listener to share: error %v", err)
	}
}
