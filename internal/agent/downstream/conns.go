package downstream

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	// drainSweepInterval is the interval at which idle connections are closed while the server drains.
	drainSweepInterval = 50 * time.Millisecond
	// openShareNumerator/openShareDenominator is the fraction of the connection limit above which idle connections are
	// closed.
	openShareNumerator, openShareDenominator = 7, 8
	// maxSilentTime is how long a new connection may send nothing while a request waits for its connection to be accepted.
	maxSilentTime = 400 * time.Millisecond
)

// connPhase is the state of an open connection.
type connPhase uint8

const (
	connOpen    connPhase = iota
	connClosing           // closed while idle; the HTTP server has not reported the close yet
)

// clientConns tracks the client connections and closes those that have been idle longest when their number approaches
// the limit. Clients keep idle connections indefinitely. If the agent closed none of them, clients that wait to be
// accepted would wait indefinitely too.
//
// The number is checked both when a connection is accepted and when one becomes idle. A check at the accept alone would
// not suffice: no connection is accepted at the limit, so if all connections became idle only then, no descriptor would
// ever become free. A connection that is being closed is not counted and not selected again. If a request turns out to
// have arrived on it, another connection is closed instead.
type clientConns struct {
	slots       message.Quota
	mu          sync.Mutex
	maxConns    int
	open        map[net.Conn]connPhase
	closing     int       // number of connections that are connClosing
	idleOrder   list.List // idle connections, longest idle first
	idle        map[net.Conn]*list.Element
	silentOrder list.List // silentConn, longest open first: connections that have not carried a request
	silent      map[net.Conn]*list.Element
	allClosed   chan struct{} // closed once no connection is open; nil if nothing waits for that
}

func newClientConns(maxConns int) *clientConns {
	return &clientConns{
		maxConns: maxConns,
		slots:    message.NewQuota(int64(maxConns)),
		open:     map[net.Conn]connPhase{},
		idle:     map[net.Conn]*list.Element{},
		silent:   map[net.Conn]*list.Element{},
	}
}

// track records a connection's change of state. It is the ConnState hook of the HTTP server.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(conn)
	c.removeSilent(conn)
	switch state {
	case http.StateNew:
		c.open[conn] = connOpen
		c.silent[conn] = c.silentOrder.PushBack(silentConn{conn: conn, since: time.Now()})
	case http.StateActive:
		c.setActive(conn)
	case http.StateIdle:
		c.setIdle(conn)
	case http.StateClosed, http.StateHijacked:
		c.setClosed(conn)
	}
	c.closeLongestIdle()
}

func (c *clientConns) setActive(conn net.Conn) {
	if client := asClientConn(conn); client != nil {
		client.requestBegun.Store(true) // its bytes may have been read along with the last request
	}
	if c.open[conn] == connClosing {
		c.open[conn] = connOpen
		c.closing--
	}
}

func (c *clientConns) setIdle(conn net.Conn) {
	if client := asClientConn(conn); client != nil {
		client.requestBegun.Store(false)
		client.queuedAt = time.Time{}
	}
	if framed, ok := conn.(*framedConn); ok {
		framed.requestDone()
	}
	if c.open[conn] == connOpen {
		c.idle[conn] = c.idleOrder.PushBack(conn)
	}
}

func (c *clientConns) setClosed(conn net.Conn) {
	if framed, ok := conn.(*framedConn); ok {
		framed.releaseAll()
	}
	if c.open[conn] == connClosing {
		c.closing--
	}
	delete(c.open, conn)
	if len(c.open) == 0 && c.allClosed != nil {
		close(c.allClosed)
		c.allClosed = nil
	}
}

// setLimit changes the limit on open connections. It does not change the slots, which limit how many are accepted.
func (c *clientConns) setLimit(maxConns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = maxConns
	c.closeLongestIdle()
}

// limit returns the limit on open connections.
func (c *clientConns) limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxConns
}

// closeLongestIdle closes the connections that have been idle longest while the number of open connections exceeds the
// allowed fraction of the limit. The caller holds c.mu.
func (c *clientConns) closeLongestIdle() {
	maxOpen := c.maxConns * openShareNumerator / openShareDenominator
	for len(c.open)-c.closing > maxOpen && c.idleOrder.Len() > 0 {
		oldest := c.idleOrder.Front().Value.(net.Conn)
		c.removeIdle(oldest)
		c.open[oldest] = connClosing
		c.closing++
		closeWhenIdle(oldest)
	}
}

// silentConn is a connection that has not carried a request, and when it was accepted.
type silentConn struct {
	conn  net.Conn
	since time.Time
}

// closeSilent closes connections that have sent nothing for maxSilentTime, and reports whether there were any. It is
// called while a request waits for its connection to be accepted.
func (c *clientConns) closeSilent() (closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for element := c.silentOrder.Front(); element != nil; element = c.silentOrder.Front() {
		longest := element.Value.(silentConn)
		if time.Since(longest.since) < maxSilentTime {
			break
		}
		c.removeSilent(longest.conn)
		if c.open[longest.conn] == connOpen && !hasBegun(longest.conn) {
			c.open[longest.conn] = connClosing
			c.closing++
			closeWhenIdle(longest.conn)
			closed = true
		}
	}
	return closed
}

// removeSilent removes a connection from the silent list. The caller holds c.mu.
func (c *clientConns) removeSilent(conn net.Conn) {
	if element := c.silent[conn]; element != nil {
		c.silentOrder.Remove(element)
		delete(c.silent, conn)
	}
}

// hasBegun reports whether a request has begun on a connection, or may have.
func hasBegun(conn net.Conn) bool {
	client := asClientConn(conn)
	return client == nil || client.requestBegun.Load()
}

// closeWhenIdle closes a connection on which no request has begun: it makes the HTTP server's read fail, and the HTTP
// server then reports the close.
func closeWhenIdle(conn net.Conn) {
	if client := asClientConn(conn); client != nil {
		client.closeWhenIdle()
	}
}

// removeIdle removes a connection from the idle list. The caller holds c.mu.
func (c *clientConns) removeIdle(conn net.Conn) {
	if element := c.idle[conn]; element != nil {
		c.idleOrder.Remove(element)
		delete(c.idle, conn)
	}
}

// closeIdleUntil periodically closes idle connections until ctx is done. It starts after drainAcceptTime, because until
// then new connections arrive and clients may still pick a connection that they have open.
func (c *clientConns) closeIdleUntil(ctx context.Context) {
	sweep := time.NewTimer(drainAcceptTime)
	defer sweep.Stop()
	for {
		select {
		case <-sweep.C:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		for conn := range c.idle {
			closeWhenIdle(conn)
		}
		c.mu.Unlock()
		sweep.Reset(drainSweepInterval)
	}
}

// closeAllIdle closes all connections on which no request has begun, including those that never carried one.
func (c *clientConns) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		closeWhenIdle(conn)
	}
}

// noneOpen returns a channel that is closed once no connection is open.
func (c *clientConns) noneOpen() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allClosed != nil {
		return c.allClosed
	}
	allClosed := make(chan struct{})
	if len(c.open) == 0 {
		close(allClosed)
	} else {
		c.allClosed = allClosed
	}
	return allClosed
}

// size returns the number of open connections.
func (c *clientConns) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
