package main

import (
	"context"
	"errors"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"
)

const (
	// shortDeadline is the longest deadline of this test's deployment.
	shortDeadline = 300 * time.Millisecond
	// earliestKill is how soon after SIGTERM the platform may send SIGKILL to it.
	earliestKill = shortDeadline + 700*time.Millisecond
	// lastDial is how long after SIGTERM new connections come.
	lastDial = 400 * time.Millisecond
	// trafficBeforeTerm is how long clients send before SIGTERM.
	trafficBeforeTerm = 2 * time.Second

	// killedClients is how many clients there are. Before each request they idle for 0 to idleSteps-1 times idleStep,
	// some of them past the shutdown's start.
	killedClients = 24
	idleSteps     = 8
	idleStep      = 120 * time.Millisecond
	// closeCheckTime is how long a client reads to find whether its connection is closed.
	closeCheckTime = time.Millisecond
)

// killedClient sends requests on one connection after another, and counts their outcomes.
type killedClient struct {
	addr string
	idle time.Duration // before each request
	term time.Time     // when SIGTERM is sent

	answered, lost int
}

// run sends on each connection for as long as it stays open.
func (k *killedClient) run(ctx context.Context) {
	for time.Since(k.term) < lastDial {
		conn, err := dialAgent(ctx, k.addr)
		if err != nil {
			return
		}
		k.use(ctx, conn)
		conn.close()
	}
}

// use sends on one connection until it ends. A connection may be closed between requests, and its client then sends
// the request anew; on a first request the close is a loss.
func (k *killedClient) use(ctx context.Context, conn *clientConn) {
	for first := true; ; first = false {
		time.Sleep(k.idle) // the client's load
		if k.idle > 0 && conn.closedByPeer() {
			return // closed between requests: what is sent now was never read
		}
		if err := conn.write(ctx, order{path: orderPath, timeout: shortDeadline}); err != nil {
			return // closed before the request
		}
		got, err := conn.read()
		if err != nil {
			// A client that idles longer may find a silent connection closed before it sends.
			killed := time.Since(k.term) >= earliestKill
			if killed || first && k.idle < shortDeadline {
				k.lost++
			}
			return
		}
		k.answered++
		if got.close {
			return
		}
	}
}

// closedByPeer tells whether the connection has ended by now, with nothing sent.
func (c *clientConn) closedByPeer() bool {
	_ = c.SetReadDeadline(time.Now().Add(closeCheckTime))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// blockingServer starts a server that from a time on does not respond until release is closed.
func blockingServer(t *testing.T, from time.Time, release <-chan struct{}) (addr string) {
	t.Helper()
	return serve(t, func(w http.ResponseWriter, r *http.Request) {
		if time.Now().After(from) {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
		simulateWork(serviceTime)
		writeBody(w, "done")
	})
}

// sleepUntil waits for a moment of the test's schedule, which clients, server and platform share.
func sleepUntil(moment time.Time) { time.Sleep(time.Until(moment)) }

// SIGKILL at the earliest moment that the protocol allows finds nothing unanswered, while the server blocks from
// SIGTERM on and clients keep sending on each connection that stays open.
func TestEarliestSIGKILLFindsNothingUnanswered(t *testing.T) {
	term := time.Now().Add(trafficBeforeTerm)
	release := make(chan struct{})
	defer close(release)
	config := newConfig(silentDiscovery(t), listedServer("s-1", blockingServer(t, term, release)))
	config.Settings.Classes[0].LatencyObjectiveMs = 200
	config.Settings.Classes[0].TotalTimeoutMs = float64(shortDeadline.Milliseconds())
	p := newProgram(t, config.text(t))
	addr, _ := p.startListening(t)
	p.collectLog()

	clients := make([]killedClient, killedClients)
	running := startParallel(len(clients), func(i int) {
		clients[i] = killedClient{addr: addr, term: term, idle: time.Duration(i%idleSteps) * idleStep}
		clients[i].run(t.Context())
	})
	sleepUntil(term)
	p.signal(t, syscall.SIGTERM)
	sleepUntil(term.Add(earliestKill))
	_ = p.cmd.Process.Kill() // it may have ended by itself
	running.Wait()
	p.awaitEnd(t)
	answered := 0
	for _, client := range clients {
		answered += client.answered
		if client.lost > 0 {
			t.Errorf("a client that idles for %v lost %d requests", client.idle, client.lost)
		}
	}
	if answered < len(clients) {
		t.Errorf("%d requests answered, of %d clients", answered, len(clients))
	}
}
