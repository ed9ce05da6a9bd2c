package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// SIGHUP: the program runs on, calls discovery at the address that the file names now,
// whatever the environment said at the start, and an invalid file changes nothing.
func TestSIGHUPMovesDiscovery(t *testing.T) {
	asked := make(chan string, 100)
	discovery := func(name string) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- name
			<-r.Context().Done()
		}))
		t.Cleanup(func() {
			s.CloseClientConnections()
			s.Close()
		})
		return s.Listener.Addr().String()
	}
	first, second := discovery("first"), discovery("second")
	config := func(addr string) string {
		text, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "discovery": addr, "seed": "1",
			"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
			"known":    map[string]any{"version": 1, "full": true, "servers": []any{}},
			"settings": json.RawMessage(strings.Replace(settings, "on_request", "pushed", 1))})
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	cmd := program(t, config(first))
	path := ""
	for i, v := range cmd.Env {
		if v == "PROXY_DISCOVERY=" {
			cmd.Env[i] += first
		}
		if p, ok := strings.CutPrefix(v, "PROXY_CONFIG="); ok {
			path = p
		}
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	log := bufio.NewReader(stderr)
	wait := func(name string) { // the first is asked again and again, as it stays silent
		t.Helper()
		over := time.After(patience)
		for {
			select {
			case got := <-asked:
				if got == name {
					return
				}
			case <-over:
				t.Fatalf("the %s discovery was not asked", name)
			}
		}
	}
	hangUp := func(text, logged string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for line := ""; !strings.Contains(line, logged); {
			if line, err = log.ReadString('\n'); err != nil {
				t.Fatalf("no line with %q: %v", logged, err)
			}
		}
	}
	wait("first")
	hangUp("nonsense", "reload failed")
	hangUp(config(second), "discovery moved")
	wait("second")
	wait("second") // after its silence
	select {
	case got := <-asked:
		t.Errorf("the %s discovery was asked beside", got)
	default:
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, log)
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}
