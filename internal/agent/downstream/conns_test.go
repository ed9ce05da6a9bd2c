package downstream

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/socket"
)

// A connection that is closed by a drain ends only if no request has arrived on it.
func TestDrainingCrossesNoRequest(t *testing.T) {
	buf := make([]byte, 10)

	_, c := clientPair(t)
	c.closeWhenIdle()
	if _, err := c.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("nothing has come: %v", err)
	}

	client, c := clientPair(t)
	client.Write([]byte("GET"))
	for socket.IsIdleAlive(c.Conn) { // until it has arrived
		time.Sleep(time.Millisecond)
	}
	c.closeWhenIdle()
	if n, err := c.Read(buf); string(buf[:n]) != "GET" || err != nil {
		t.Errorf("a request has come: read %q, %v", buf[:n], err)
	}
	c.closeWhenIdle() // its rest has not arrived yet
	time.AfterFunc(50*time.Millisecond, func() { client.Write([]byte(" /")) })
	if n, err := c.Read(buf); string(buf[:n]) != " /" || err != nil {
		t.Errorf("half a request has come: read %q, %v", buf[:n], err)
	}
}

// Where connections are closed for others, a request that has arrived on the one chosen is not lost: it is
// read, and another connection is closed.
func TestClosingIdleConnectionsCrossesNoRequest(t *testing.T) {
	conns := newClientConns(4) // seven eighths, three, may be open
	var clients []net.Conn
	var servers []*clientConn
	for range 4 {
		client, c := clientPair(t)
		clients, servers = append(clients, client), append(servers, c)
	}
	fmt.Fprint(clients[0], "GET") // to the one that will have idled longest
	agenttest.WaitUntil(t, "it has arrived", func() bool { return !socket.IsIdleAlive(servers[0].Conn) })
	for _, c := range servers[:3] {
		conns.track(c, http.StateNew)
		conns.track(c, http.StateActive)
		conns.track(c, http.StateIdle)
	}
	conns.track(servers[3], http.StateNew) // with the fourth there are too many
	buf := make([]byte, 10)
	if n, err := servers[0].Read(buf); string(buf[:n]) != "GET" || err != nil {
		t.Fatalf("a request was crossed: read %q, %v", buf[:n], err)
	}
	conns.track(servers[0], http.StateActive)
	if _, err := servers[1].Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the next one did not make room: %v", err)
	}
	conns.track(servers[1], http.StateClosed)
	if conns.size() != 3 || conns.closing != 0 {
		t.Errorf("%d open, %d of them being ended", conns.size(), conns.closing)
	}
}

// Requests that a client has sent ahead are in the server's buffer when its connection becomes idle: the
// sweep of a drain does not take them for a client that is idle.
func TestDrainingKeepsARequestThatWasReadAhead(t *testing.T) {
	client, c := clientPair(t)
	conns := newClientConns(8)
	conns.track(c, http.StateNew)
	conns.track(c, http.StateActive)
	conns.track(c, http.StateIdle)
	c.SetReadDeadline(time.Time{})
	c.closeWhenIdle()                // the sweep
	conns.track(c, http.StateActive) // by what was read ahead
	time.AfterFunc(50*time.Millisecond, func() { client.Write([]byte("x")) })
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("the wait for the client's leaving ended with %v, and it has not left", err)
	}
}

// Connections that are all accepted before any is idle reach the limit with none to close; those that become
// idle then have to be closed. None is chosen twice while it is being closed.
func TestIdleClientsAreClosedAtTheLimit(t *testing.T) {
	const most = 16
	c := newClientConns(most)
	var conns []*clientConn
	for range most {
		p, y := net.Pipe()
		defer y.Close()
		x := &clientConn{Conn: p, release: func() {}}
		conns = append(conns, x)
		c.track(x, http.StateNew)
		c.track(x, http.StateActive)
	}
	closed := func() (n int) {
		for _, x := range conns {
			if x.closeIfIdle { // nothing has arrived, so its reader closes it
				n++
			}
		}
		return n
	}
	for _, x := range conns {
		c.track(x, http.StateIdle)
	}
	if n := closed(); n != most/8 {
		t.Errorf("%d of %d closed, want %d", n, most, most/8)
	}
	for _, x := range conns[:most/8] {
		c.track(x, http.StateClosed)
	}
	for range most / 8 { // new ones, while the server has not noticed a close yet
		x, y := net.Pipe()
		defer y.Close()
		c.track(x, http.StateNew)
	}
	if n := closed(); n != most/4 {
		t.Errorf("%d closed, want %d", n, most/4)
	}
}
