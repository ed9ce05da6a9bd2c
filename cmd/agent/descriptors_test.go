package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// While discovery is down idle clients and silent operators use every slot there is for them.
// The program keeps within its descriptors, which the system enforces here, and at discovery's
// return the call to it, an attempt to a new server and the admin endpoint have theirs.
func TestFullDescriptorsLeaveRoomForWhatMatters(t *testing.T) {
	serve := func(name string) *httptest.Server {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name) }))
		t.Cleanup(s.Close)
		return s
	}
	first, second := serve("first"), serve("second")
	var up atomic.Bool
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !up.Load() {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"version":9,"full":true,"servers":[{"id":"s-2","addr":%q,"zone":"east","kind":"big","state":"up","weight":1}]}`,
			second.Listener.Addr().String())
	}))
	t.Cleanup(discovery.Close)
	t.Cleanup(discovery.CloseClientConnections)
	const sockets = 256
	config, err := json.Marshal(map[string]any{"name": "n1", "listen": "127.0.0.1:0", "management": "127.0.0.1:0",
		"discovery": discovery.Listener.Addr().String(), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets},
		"known": map[string]any{"version": 1, "full": true, "servers": []any{map[string]any{"id": "s-1",
			"addr": first.Listener.Addr().String(), "zone": "east", "kind": "big", "state": "up", "weight": 1}}},
		"settings": json.RawMessage(strings.Replace(settings, "on_request", "pushed", 1))})
	if err != nil {
		t.Fatal(err)
	}
	cmd := program(t, string(config))
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", sockets, cmd.Path))
	limited.Env = cmd.Env
	stderr, err := limited.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := limited.Start(); err != nil {
		t.Fatal(err)
	}
	log := bufio.NewReader(stderr)
	line, err := log.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	addrs := regexp.MustCompile(` addr=(\S+) .* admin=(\S+) `).FindStringSubmatch(line)
	if addrs == nil {
		t.Fatalf("the program says %q", line)
	}
	rest := make(chan string, 1)
	go func() {
		text, _ := io.ReadAll(log)
		rest <- string(text)
	}()
	defer func() {
		limited.Process.Kill()
		limited.Wait()
		if text := <-rest; strings.Contains(text, "too many open files") {
			t.Error("the program ran out of descriptors")
		}
	}()

	var mu sync.Mutex
	var open []net.Conn
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			c.Close()
		}
	}()
	dial := func(addr string) net.Conn {
		c, err := net.DialTimeout("tcp", addr, patience)
		if err != nil {
			t.Error(err)
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		open = append(open, c)
		c.SetDeadline(time.Now().Add(2 * patience))
		return c
	}
	for range sockets { // more than there are slots; they rest once they have been answered
		if c := dial(addrs[1]); c != nil {
			fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		}
	}
	silent := make(chan struct{})
	go func() { // operators that send nothing come and come, in a bounded number
		defer close(silent)
		for range 300 {
			dial(addrs[2])
			time.Sleep(10 * time.Millisecond)
		}
	}()
	time.Sleep(time.Second) // all slots are taken by then
	up.Store(true)
	from := time.Now()
	for body := ""; body != "second"; {
		c, err := net.DialTimeout("tcp", addrs[1], patience)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprint(c, "POST /api/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\nRequest-Id: 1\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 3000\r\nContent-Length: 0\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			text, _ := io.ReadAll(resp.Body)
			body = string(text)
		}
		c.Close()
		if time.Since(from) > patience {
			t.Fatal("discovery's return is not noticed")
		}
	}
	resp, err := (&http.Client{Timeout: patience}).Get("http://" + addrs[2] + "/ops/readiness")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 200 {
		t.Errorf("operators were answered %d", resp.StatusCode)
	}
	<-silent
}
