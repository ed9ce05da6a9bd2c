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
	// drainSweepInterval is how often idle connections are closed while the downstream server drains.
	drainSweepInterval = 50 * time.Millisecond
	// openPartNumerator and openPartDenominator make the part of the limit above which idle connections are closed.
	openPartNumerator, openPartDenominator = 7, 8
)

// connPhase says what becomes of an open connection.
type connPhase uint8

const (
	inService   connPhase = iota
	beingClosed           // as idle; the server has not reported the close yet
)

// clientConns closes the client connections that have been idle longest when there are nearly as many as are
// allowed: clients keep connections for good, and those that wait for a descriptor would wait as long.
//
// It checks both when a connection is accepted and when one becomes idle. At the limit none is accepted any
// more, and if all became idle only then no descriptor would ever become free. A connection that is being
// closed no longer counts and is not chosen again, unless a request turns out to have arrived on it: then
// another one is closed.
type clientConns struct {
	slots     message.Quota
	mu        sync.Mutex
	maxConns  int
	open      map[net.Conn]connPhase
	closing   int       // connections that are beingClosed
	order     list.List // idle connections, the longest idle first
	idle      map[net.Conn]*list.Element
	allClosed chan struct{} // closed once no connection is open; nil: nobody waits for it
}

func newClientConns(maxConns int) *clientConns {
	return &clientConns{
		maxConns: maxConns,
		slots:    message.NewQuota(int64(maxConns)),
		open:     map[net.Conn]connPhase{},
		idle:     map[net.Conn]*list.Element{},
	}
}

// track handles a connection's change of state; it is the server's ConnState.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(conn)
	switch state {
	case http.StateNew:
		c.open[conn] = inService
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
	if client, ok := conn.(*clientConn); ok {
		client.requestBegun.Store(true) // also where its bytes were read with those of the last request
	}
	if c.open[conn] == beingClosed {
		c.open[conn] = inService
		c.closing--
	}
}

func (c *clientConns) setIdle(conn net.Conn) {
	if client, ok := conn.(*clientConn); ok {
		client.requestBegun.Store(false)
		client.queuedAt = time.Time{}
	}
	if c.open[conn] == inService {
		c.idle[conn] = c.order.PushBack(conn)
	}
}

func (c *clientConns) setClosed(conn net.Conn) {
	if c.open[conn] == beingClosed {
		c.closing--
	}
	delete(c.open, conn)
	if len(c.open) == 0 && c.allClosed != nil {
		close(c.allClosed)
		c.allClosed = nil
	}
}

// setLimit bounds the connections from now on; the slots bound what is accepted.
func (c *clientConns) setLimit(maxConns int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = maxConns
	c.closeLongestIdle()
}

// limit is the bound on the connections.
func (c *clientConns) limit() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxConns
}

// closeLongestIdle closes the connections that have been idle longest while more than a part of the limit are open.
// The caller has the lock.
func (c *clientConns) closeLongestIdle() {
	maxOpen := c.maxConns * openPartNumerator / openPartDenominator
	for len(c.open)-c.closing > maxOpen && c.order.Len() > 0 {
		oldest := c.order.Front().Value.(net.Conn)
		c.removeIdle(oldest)
		c.open[oldest] = beingClosed
		c.closing++
		closeWhenIdle(oldest)
	}
}

// closeWhenIdle closes a connection on which no request has begun: the server's read fails, and the server
// reports the close.
func closeWhenIdle(conn net.Conn) {
	if client, ok := conn.(*clientConn); ok {
		client.closeWhenIdle()
	}
}

// removeIdle takes a connection out of the idle ones. The caller has the lock.
func (c *clientConns) removeIdle(conn net.Conn) {
	if element := c.idle[conn]; element != nil {
		c.order.Remove(element)
		delete(c.idle, conn)
	}
}

// closeIdleUntil closes idle connections until ctx ends: not at once, as connections still arrive and clients
// still choose among those that they have.
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

// closeAllIdle closes all connections on which no request has begun, also those that never brought one.
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

// size is the number of open connections.
func (c *clientConns) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
