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

// lockedBuffer may be written to by many.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (buffer *lockedBuffer) Write(p []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.b.Write(p)
}

func (buffer *lockedBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.b.String()
}

// An agent without clients follows its list and its settings, shows its operators what it is, and
// tells its hooks, all under its own logger and from its own address.
func TestAgentWithoutClients(t *testing.T) {
	discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", "127.0.0.1:1"))
	from := make(chan string, 1000)
	serve := discovery.Config.Handler
	discovery.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		host, _, _ := net.SplitHostPort(req.RemoteAddr)
		from <- host
		serve.ServeHTTP(w, req)
	})
	cfg, err := config.Parse(agenttest.PushedConfigText(t, discovery, nil))
	if err != nil {
		t.Fatal(err)
	}
	var log lockedBuffer
	cfg.Log = slog.New(slog.NewTextHandler(&log, nil)).With("agent", "a1")
	cfg.CallFrom = net.IPv4(127, 0, 0, 77)
	lists, settings := make(chan uint64, 100), make(chan uint64, 100)
	cfg.Hooks.OnList = func(v uint64) { lists <- v }
	cfg.Hooks.OnSettings = func(v uint64) { settings <- v }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent, err := New(cfg, Listeners{Admin: ln})
	if err != nil {
		t.Fatal(err)
	}
	stop, end := context.WithCancel(context.Background())
	defer end()
	reloads, done := make(chan *config.Config), make(chan error, 1)
	go func() { done <- agent.Run(stop, reloads) }()
	next := func(what string, from <-chan uint64, want uint64) {
		t.Helper()
		select {
		case v := <-from:
			if v != want {
				t.Fatalf("%s %d in force, want %d", what, v, want)
			}
		case <-time.After(agenttest.Timeout):
			t.Fatalf("%s %d never in force", what, want)
		}
	}
	next("list", lists, 1)
	agenttest.WaitUntil(t, "it is ready", func() bool {
		resp, err := agenttest.HTTPClient.Get("http://" + ln.Addr().String() + "/ops/readiness")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	})
	for version := uint64(2); version < 5; version++ {
		discovery.Set(agenttest.Endpoint(fmt.Sprint("s-", version), "127.0.0.1:2"))
		next("list", lists, version)
	}
	changed, err := config.ParseReload(agenttest.PushedConfigText(t, discovery, nil), cfg)
	if err != nil {
		t.Fatal(err)
	}
	reloads <- changed
	next("settings", settings, 0)
	// The watch's fourth call begins after the hooks were called for the third change.
	agenttest.WaitUntil(t, "the fourth call to discovery", func() bool { return agent.Status().ListCalls >= 4 })
	status := agent.Status()
	if status.ListVersion != 4 || status.Servers != 4 || status.ListCalls < 4 || status.ListIn < 4*100 || status.ListOut < 4*50 || status.Membership != nil {
		t.Errorf("status %+v", status)
	}
	if host := <-from; host != "127.0.0.77" {
		t.Errorf("discovery was called from %s", host)
	}
	end()
	if err := <-done; err != nil {
		t.Error(err)
	}
	for line := range strings.Lines(log.String()) {
		if !strings.Contains(line, "agent=a1") {
			t.Errorf("line without its agent: %s", line)
		}
	}
	if text := log.String(); !strings.Contains(text, "msg=stopped") || !strings.Contains(text, " listCalls:") {
		t.Errorf("log %s", text)
	}
	select {
	case v := <-lists:
		t.Errorf("list %d in force once more", v)
	default:
	}
}

// A killed agent answers nobody at once, with or without clients, also one that ends already.
func TestKill(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	for name, stopped := range map[string]bool{"in service": false, "while it ends": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			discovery := agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr))
			cfg, err := config.Parse(agenttest.PushedConfigText(t, discovery, nil))
			if err != nil {
				t.Fatal(err)
			}
			var ln Listeners
			for _, l := range []*net.Listener{&ln.Clients, &ln.Admin} {
				if *l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
					t.Fatal(err)
				}
			}
			agent, err := New(cfg, ln)
			if err != nil {
				t.Fatal(err)
			}
			done := make(chan error, 1)
			stop, end := context.WithCancel(t.Context())
			defer end()
			go func() { done <- agent.Run(stop, nil) }()
			idle, err := net.Dial("tcp", ln.Clients.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer idle.Close()
			agenttest.WaitUntil(t, "it serves", func() bool {
				resp, err := agenttest.HTTPClient.Do(agenttest.NewRequest(ln.Clients.Addr().String(), "read", ""))
				if err == nil {
					resp.Body.Close()
				}
				return err == nil && resp.StatusCode == http.StatusOK
			})
			if stopped {
				end()
				agenttest.WaitUntil(t, "it ends", func() bool { return !agent.downstream.IsServing() })
			}
			agent.Kill()
			if err := <-done; !errors.Is(err, ErrKilled) {
				t.Errorf("Run returned %v", err)
			}
			idle.SetReadDeadline(time.Now().Add(agenttest.Timeout))
			if n, err := idle.Read(make([]byte, 100)); n > 0 || err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("a client's connection brought %d bytes, %v", n, err)
			}
			for _, l := range []net.Listener{ln.Clients, ln.Admin} {
				if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
					t.Errorf("a listener is still open: %v", err)
				}
			}
		})
	}
}

// New returns an error for what it can't use, and leaves the listeners to its caller.
func TestNewRejectsUnusableSettings(t *testing.T) {
	cfg, err := config.Parse(agenttest.PushedConfigText(t, agenttest.NewDiscovery(t), nil))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(cfg, Listeners{Shared: true}); err == nil || !strings.Contains(err.Error(), "no listener to share") {
		t.Errorf("a shared listener that is none: %v", err)
	}
}
