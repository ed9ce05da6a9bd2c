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
	// shortTimeout is the longest request timeout in this test's settings.
	shortTimeout = 300 * time.Millisecond
	// earliestKill is the earliest time after SIGTERM at which the platform may send SIGKILL.
	earliestKill = shortTimeout + 700*time.Millisecond
	// lastDial is how long after SIGTERM clients still open connections.
	lastDial = 400 * time.Millisecond
	// trafficBeforeTerm is how long clients send requests before SIGTERM.
	trafficBeforeTerm = 2 * time.Second

	// idlingClients is the number of clients. Before each request a client idles for idleStep times a number from 0 to
	// idleSteps-1 that differs between clients, so that some idle beyond the start of the shutdown.
	idlingClients = 24
	idleSteps     = 8
	idleStep      = 120 * time.Millisecond
	// closeCheckTime is how long a client reads to check whether its connection is closed.
	closeCheckTime = time.Millisecond
)

// idlingClient sends requests on one connection after another and counts the outcomes.
type idlingClient struct {
	addr string
	idle time.Duration // before each request
	term time.Time     // when SIGTERM is sent

	answered, lost int
}

// run sends requests on each connection until it is closed, and opens connections until lastDial.
func (c *idlingClient) run(ctx context.Context) {
	for time.Since(c.term) < lastDial {
		conn, err := dialAgent(ctx, c.addr)
		if err != nil {
			return
		}
		c.use(ctx, conn)
		conn.close()
	}
}

// use sends requests on one connection until it is closed. A close between two requests is no loss, since the client
// can send the request again on another connection. A close before the response to the first request is a loss.
func (c *idlingClient) use(ctx context.Context, conn *clientConn) {
	for first := true; ; first = false {
		time.Sleep(c.idle) // the client's idle time
		if c.idle > 0 && conn.closedByPeer() {
			return // closed while idle: the agent would not read another request
		}
		if err := conn.write(ctx, order{path: orderPath, timeout: shortTimeout}); err != nil {
			return // closed before the request was sent
		}
		got, err := conn.read()
		if err != nil {
			// If a client idles for longer, the agent may close the connection before its first request.
			killed := time.Since(c.term) >= earliestKill
			if killed || first && c.idle < shortTimeout {
				c.lost++
			}
			return
		}
		c.answered++
		if got.close {
			return
		}
	}
}

// closedByPeer reports whether the agent has closed the connection without sending anything.
func (c *clientConn) closedByPeer() bool {
	_ = c.SetReadDeadline(time.Now().Add(closeCheckTime))
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// blockingServer starts a server that does not respond to requests after the given time until release is closed.
func blockingServer(t *testing.T, from time.Time, release <-chan struct{}) (addr string) {
	t.Helper()
	return startServer(t, func(w http.ResponseWriter, r *http.Request) {
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

// sleepUntil waits for a time of the test's schedule, which the clients, the server and the platform share.
func sleepUntil(moment time.Time) { time.Sleep(time.Until(moment)) }

// If the platform sends SIGKILL as early as it may, no request may be without a response by then, even though the
// server blocks from SIGTERM on and clients keep sending requests on all connections that stay open.
func TestNoUnansweredRequestsAtEarliestSIGKILL(t *testing.T) {
	term := time.Now().Add(trafficBeforeTerm)
	release := make(chan struct{})
	defer close(release)
	config := newConfig(silentDiscovery(t), listedServer("s-1", blockingServer(t, term, release)))
	config.Settings.Classes[0].LatencyObjectiveMs = 200
	config.Settings.Classes[0].TotalTimeoutMs = float64(shortTimeout.Milliseconds())
	p := newProgram(t, config.text(t))
	addr, _ := p.startListening(t)
	p.collectLog()

	clients := make([]idlingClient, idlingClients)
	running := startParallel(len(clients), func(i int) {
		clients[i] = idlingClient{addr: addr, term: term, idle: time.Duration(i%idleSteps) * idleStep}
		clients[i].run(t.Context())
	})
	sleepUntil(term)
	p.signal(t, syscall.SIGTERM)
	sleepUntil(term.Add(earliestKill))
	_ = p.cmd.Process.Kill() // the program may have ended already
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
		t.Errorf("%d requests answered, want at least one for each of %d clients", answered, len(clients))
	}
}
