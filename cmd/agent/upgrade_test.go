package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A new version under load: the platform owns the clients' queue, a second process
// takes over from it, and no client meets a connection that is refused, reset or unread.
func TestUpgradeOnAnInheritedListener(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "done") }))
	defer backend.Close()
	discovery := silentDiscovery(t)
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer clients.Close()
	queue, err := clients.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer queue.Close()
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": clients.Addr().String(), "discovery": discovery, "seed": "1",
		"management": "127.0.0.1:0",
		"limits":     map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known": map[string]any{"version": 1, "full": true, "servers": []any{map[string]any{"id": "s-1",
			"addr": backend.Listener.Addr().String(), "zone": "east", "kind": "big", "state": "up", "weight": 1}}},
		"settings": json.RawMessage(settings)})
	if err != nil {
		t.Fatal(err)
	}
	shared := t.TempDir()
	start := func() (*exec.Cmd, func() error) {
		cmd := program(t, string(config))
		// Descriptor 5, as the platform does.
		cmd.ExtraFiles = []*os.File{nil, nil, queue}
		cmd.Env = append(cmd.Env, "PROXY_LISTEN_FD=5", "TMPDIR="+shared)
		stderr, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cmd.Process.Kill() })
		log := bufio.NewReader(stderr)
		line, err := log.ReadString('\n')
		found := regexp.MustCompile(`admin=(\S+)`).FindStringSubmatch(line)
		if err != nil || found == nil {
			t.Fatalf("no admin address in %q: %v", line, err)
		}
		for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
			resp, err := http.Get("http://" + found[1] + "/ops/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				t.Fatal("the process does not become ready")
			}
		}
		ended := make(chan error, 1)
		go func() {
			io.Copy(io.Discard, log)
			ended <- cmd.Wait()
		}()
		return cmd, func() error {
			select {
			case err := <-ended:
				return err
			case <-time.After(patience):
				return fmt.Errorf("it does not end")
			}
		}
	}

	old, oldEnds := start()
	stop := make(chan struct{})
	var answered, failed atomic.Int64
	var workers sync.WaitGroup
	for range 8 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			client := &http.Client{Timeout: patience, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-stop:
					return
				default:
				}
				req, _ := http.NewRequest("POST", "http://"+clients.Addr().String()+"/api/a1", strings.NewReader("x"))
				// The library sends again by itself only what it holds for repeatable.
				req.Header.Set("Request-Id", "1")
				req.Header.Set("Request-Class", "order")
				req.Header.Set("Request-Timeout-Ms", "3000")
				resp, err := client.Do(req)
				if err != nil {
					failed.Add(1)
					t.Errorf("a request was lost: %v", err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		}()
	}
	waitAnswered := func(n int64) {
		t.Helper()
		for end := time.Now().Add(patience); answered.Load() < n && failed.Load() == 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d answered, want %d", answered.Load(), n)
			}
		}
	}
	waitAnswered(100)
	next, nextEnds := start()
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := oldEnds(); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	waitAnswered(answered.Load() + 100)
	close(stop)
	workers.Wait()
	if err := next.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := nextEnds(); err != nil {
		t.Errorf("the new process ended with %v", err)
	}
}
