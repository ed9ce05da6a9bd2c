package downstream

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// lateBytesDelay is how long after an attempt to close its connection a client sends further bytes.
const lateBytesDelay = 50 * time.Millisecond

// A drain closes a connection only if no request has arrived on it.
func TestDrainLosesNoRequest(t *testing.T) {
	_, idle := clientPair(t)
	idle.closeWhenIdle()
	wantReadTimeout(t, idle)

	client, conn := clientPair(t)
	send(t, client, "GET")
	waitForBytes(t, conn)
	conn.closeWhenIdle()
	wantRead(t, conn, "GET")
	conn.closeWhenIdle() // the rest of the request has not arrived
	sendAfter(lateBytesDelay, client, " /")
	wantRead(t, conn, " /")
}

// If a request has arrived on the connection that is selected for closing at the limit, it must not be lost: it is
// read, and another connection is closed instead.
func TestClosingIdleConnectionsLosesNoRequest(t *testing.T) {
	conns := newClientConns(4) // 7/8 of 4, rounded down: 3 may be open
	var clients []net.Conn
	var accepted []*clientConn
	for range 4 {
		client, conn := clientPair(t)
		clients = append(clients, client)
		accepted = append(accepted, conn)
	}
	send(t, clients[0], "GET") // on the connection that becomes idle first
	waitForBytes(t, accepted[0])
	for _, conn := range accepted[:3] {
		trackIdle(conns, conn)
	}
	conns.track(accepted[3], http.StateNew) // the fourth exceeds the limit
	wantRead(t, accepted[0], "GET")
	conns.track(accepted[0], http.StateActive)
	wantReadTimeout(t, accepted[1]) // the next one is closed instead
	conns.track(accepted[1], http.StateClosed)
	if conns.size() != 3 || conns.closing != 0 {
		t.Errorf("%d connections open, %d of them being closed, want 3 and none", conns.size(), conns.closing)
	}
}

// Requests that a client has pipelined are already in the buffer of the HTTP server when the connection becomes idle. A
// drain must not close that connection.
func TestDrainKeepsConnectionWithPipelinedRequest(t *testing.T) {
	client, conn := clientPair(t)
	conns := newClientConns(8)
	trackIdle(conns, conn)
	setReadDeadline(t, conn, time.Time{})
	conn.closeWhenIdle()                // as a drain does
	conns.track(conn, http.StateActive) // with the bytes that were read ahead
	sendAfter(lateBytesDelay, client, "x")
	wantRead(t, conn, "x")
}

// trackIdle reports a connection to conns as new, then active, then idle.
func trackIdle(conns *clientConns, conn net.Conn) {
	conns.track(conn, http.StateNew)
	conns.track(conn, http.StateActive)
	conns.track(conn, http.StateIdle)
}

// If all connections are accepted before any becomes idle, the limit is reached with none to close, so connections must
// be closed as they become idle. None is selected twice while it is being closed.
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
			if conn.closeIfIdle { // no bytes have arrived, so its reader closes it
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
	for range limit / 8 { // new ones, before the server reports further closes
		conns.track(pipeEnd(t), http.StateNew)
	}
	if count := closed(); count != limit/4 {
		t.Errorf("%d connections closed, want %d", count, limit/4)
	}
}

// pipeEnd returns one end of a pipe. The other end is closed after the test.
func pipeEnd(t *testing.T) net.Conn {
	t.Helper()
	end, other := net.Pipe()
	t.Cleanup(func() { _ = other.Close() })
	return end
}
