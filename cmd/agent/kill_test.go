package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// shortDeadline is the longest deadline of the deployment that is played here.
	shortDeadline = 300 * time.Millisecond
	// earliestKill is how soon after SIGTERM the platform may send SIGKILL to it.
	earliestKill = shortDeadline + 700*time.Millisecond
	// lastDial is how long after SIGTERM new connections come.
	lastDial = 400 * time.Millisecond
)

// killedClient sends requests on one connection after another, and counts their outcomes.
type killedClient struct {
	addr string
	rest time.Duration // before each request
	term time.Time     // when SIGTERM was sent

	answered, lost int
}

// run sends on each connection for as long as it stays open.
func (k *killedClient) run() {
	for time.Since(k.term) < lastDial {
		c, err := net.Dial("tcp", k.addr)
		if err != nil {
			return
		}
		k.use(c)
		c.Close()
	}
}

// use sends on one connection until it ends. A connection may be closed between requests, and
// its client then sends the request anew; on a first request the close is a loss.
func (k *killedClient) use(c net.Conn) {
	_ = c.SetDeadline(time.Now().Add(patience))
	br := bufio.NewReader(c)
	for first := true; ; first = false {
		time.Sleep(k.rest)
		if k.rest > 0 && closedByPeer(c, br) {
			return // closed between requests: what is sent now was never read
		}
		if _, err := fmt.Fprintf(c, "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
			"Request-Timeout-Ms: %d\r\nContent-Length: 1\r\n\r\nx", shortDeadline.Milliseconds()); err != nil {
			return // closed before the request
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			// Who rests longer may find a silent connection closed before it sends.
			killed := time.Since(k.term) >= earliestKill
			if killed || first && k.rest < shortDeadline {
				k.lost++
			}
			return
		}
		resp.Body.Close()
		k.answered++
		if resp.Close {
			return
		}
	}
}

// closedByPeer tells whether the connection has ended by now, with nothing sent.
func closedByPeer(c net.Conn, br *bufio.Reader) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := br.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(patience))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// SIGKILL at the earliest moment that the protocol allows finds nothing unanswered, while the
// server blocks from SIGTERM on and clients keep sending on each connection that stays open.
func TestEarliestSIGKILLFindsNothingUnanswered(t *testing.T) {
	term := time.Now().Add(2 * time.Second)
	release := make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if time.Now().After(term) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, "done")
	}))
	defer backend.Close()
	defer close(release)
	servers := []any{map[string]any{"id": "s-1", "addr": backend.Listener.Addr().String(),
		"zone": "east", "kind": "big", "state": "up", "weight": 1}}
	config, err := json.Marshal(map[string]any{
		"name": "n1", "listen": "127.0.0.1:0", "discovery": silentDiscovery(t), "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"known":  map[string]any{"version": 1, "full": true, "servers": servers},
		"settings": json.RawMessage(strings.NewReplacer(`"giveUpMs":3000`, fmt.Sprintf(`"giveUpMs":%d`, shortDeadline.Milliseconds()),
			`"aimMs":2000`, `"aimMs":200`).Replace(settings))})
	if err != nil {
		t.Fatal(err)
	}
	cmd := program(t, string(config))
	log, addr := startProgram(t, cmd)
	defer cmd.Process.Kill()
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		for err == nil {
			_, err = log.ReadString('\n')
		}
	}()

	// Some send at once, some rest on their connections in between, past the shutdown's start.
	var clients []*killedClient
	var running sync.WaitGroup
	for i := range 24 {
		k := &killedClient{addr: addr, term: term, rest: time.Duration(i%8) * 120 * time.Millisecond}
		clients = append(clients, k)
		running.Add(1)
		go func() {
			defer running.Done()
			k.run()
		}()
	}
	time.Sleep(time.Until(term))
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Until(term.Add(earliestKill)))
	_ = cmd.Process.Kill() // it may have ended by itself
	running.Wait()
	<-logged
	_ = cmd.Wait()
	answered := 0
	for _, k := range clients {
		answered += k.answered
		if k.lost > 0 {
			t.Errorf("a client that rests for %v lost %d requests", k.rest, k.lost)
		}
	}
	if answered < len(clients) {
		t.Errorf("%d requests answered, of %d clients", answered, len(clients))
	}
}
