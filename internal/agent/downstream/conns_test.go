package downstream

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// lateBytesDelay is how long bytes of a client arrive after a connection was to be closed.
const lateBytesDelay = 50 * time.Millisecond

// A connection that is closed by a drain ends only if no request has arrived on it.
func TestDrainingCrossesNoRequest(t *testing.T) {
	_, idle := clientPair(t)
	idle.closeWhenIdle()
	wantReadTimeout(t, idle)

	client, conn := clientPair(t)
	send(t, client, "GET")
	waitForBytes(t, conn)
	conn.closeWhenIdle()
	wantRead(t, conn, "GET")
	conn.closeWhenIdle() // the rest of the request has not arrived yet
	sendAfter(lateBytesDelay, client, " /")
	wantRead(t, conn, " /")
}

// Where connections are closed for others, a request that has arrived on the one chosen is not lost: it is
// read, and another connection is closed.
func TestClosingIdleConnectionsCrossesNoRequest(t *testing.T) {
	conns := newClientConns(4) // seven eighths, three, may be open
	var clients []net.Conn
	var accepted []*clientConn
	for range 4 {
		client, conn := clientPair(t)
		clients = append(clients, client)
		accepted = append(accepted, conn)
	}
	send(t, clients[0], "GET") // on the connection that will have been idle longest
	waitForBytes(t, accepted[0])
	for _, conn := range accepted[:3] {
		trackIdle(conns, conn)
	}
	conns.track(accepted[3], http.StateNew) // with the fourth there are too many
	wantRead(t, accepted[0], "GET")
	conns.track(accepted[0], http.StateActive)
	wantReadTimeout(t, accepted[1]) // the next one is closed in its place
	conns.track(accepted[1], http.StateClosed)
	if conns.size() != 3 || conns.closing != 0 {
		t.Errorf("%d connections open, %d of them being closed, want 3 and none", conns.size(), conns.closing)
	}
}

// Requests that a client has sent ahead are in the server's buffer when its connection becomes idle: the sweep of a
// drain does not close it.
func TestDrainingKeepsARequestThatWasReadAhead(t *testing.T) {
	client, conn := clientPair(t)
	conns := newClientConns(8)
	trackIdle(conns, conn)
	setReadDeadline(t, conn, time.Time{})
	conn.closeWhenIdle()                // the sweep
	conns.track(conn, http.StateActive) // by what was read ahead
	sendAfter(lateBytesDelay, client, "x")
	wantRead(t, conn, "x")
}

// trackIdle has a connection accepted, in use and idle.
func trackIdle(conns *clientConns, conn net.Conn) {
	conns.track(conn, http.StateNew)
	conns.track(conn, http.StateActive)
	conns.track(conn, http.StateIdle)
}

// Connections that are all accepted before any is idle reach the limit with none to close; those that become
// idle then have to be closed. None is chosen twice while it is being closed.
func TestIdleClientsAreClosedAtTheLimit(t *testing.T) {
	const limit = 16
	conns := newClientConns(limit)
	var accepted []*clientConn
	for range limit {
		conn := &clientConn{Conn: pipeEnd(t), release: func() {}}
		accepted = append(accepted, conn)
		conns.track(conn, http.StateNew)
		conns.track(conn, http.StateActive)
	}
	closed := func() (count int) {
		for _, conn := range accepted {
			if conn.closeIfIdle { // nothing has arrived, so its reader closes it
				count++
			}
		}
		return count
	}
	for _, conn := range accepted {
		conns.track(conn, http.StateIdle)
	}
	if count := closed(); count != limit/8 {
		t.Errorf("%d of %d connections closed, want %d", count, limit, limit/8)
	}
	for _, conn := range accepted[:limit/8] {
		conns.track(conn, http.StateClosed)
	}
	for range limit / 8 { // new ones, while the server has not noticed a close yet
		conns.track(pipeEnd(t), http.StateNew)
	}
	if count := closed(); count != limit/4 {
		t.Errorf("%d connections closed, want %d", count, limit/4)
	}
}

// pipeEnd is one end of a pipe, whose other end is closed after the test.
func pipeEnd(t *testing.T) net.Conn {
	t.Helper()
	end, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	return end
}
