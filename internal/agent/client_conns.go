package agent

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// sweepIdle is how often idle connections are looked for while the front empties.
const drainSweepInterval = 50 * time.Millisecond

// clientConns ends the client connections that have idled longest when there
// are nearly as many as may be: clients keep connections for good, and those that
// wait for a descriptor would wait as long.
//
// It looks both when a connection comes and when one falls idle. At the limit none
// comes any more, and if all fell idle only then nobody would ever make room. One
// that is being ended no longer counts and is not chosen again, unless a request
// proves to have come on it: then another makes room.
type clientConns struct {
	slots     quota
	mu        sync.Mutex
	maxConns  int
	open      map[net.Conn]bool // true: being ended
	closing   int
	order     list.List // idle connections, the longest idle first
	idle      map[net.Conn]*list.Element
	allClosed chan struct{} // if anyone waits for it: closed once none is open
}

func newClientConns(most int) *clientConns {
	return &clientConns{maxConns: most, slots: newQuota(int64(most)), open: map[net.Conn]bool{}, idle: map[net.Conn]*list.Element{}}
}

func (c *clientConns) track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(nc)
	switch state {
	case http.StateNew:
		c.open[nc] = false
	case http.StateActive:
		if cc, ok := nc.(*clientConn); ok {
			cc.requestBegun.Store(true) // also where its bytes were read with those of the last
		}
		if c.open[nc] {
			c.open[nc] = false
			c.closing--
		}
	case http.StateIdle:
		if cc, ok := nc.(*clientConn); ok {
			cc.requestBegun.Store(false)
			cc.queuedAt = time.Time{}
		}
		if !c.open[nc] {
			c.idle[nc] = c.order.PushBack(nc)
		}
	case http.StateClosed, http.StateHijacked:
		if c.open[nc] {
			c.closing--
		}
		delete(c.open, nc)
		if len(c.open) == 0 && c.allClosed != nil {
			close(c.allClosed)
			c.allClosed = nil
		}
	}
	c.closeLongestIdle()
}

// limit bounds the connections from now on; the slots bound what is accepted.
func (c *clientConns) setLimit(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = most
	c.closeLongestIdle()
}

// makeRoom ends those that have idled longest while there are nearly too many. The lock is held.
func (c *clientConns) closeLongestIdle() {
	for len(c.open)-c.closing > c.maxConns*7/8 && c.order.Len() > 0 {
		oldest := c.order.Front().Value.(net.Conn)
		c.removeIdle(oldest)
		c.open[oldest] = true
		c.closing++
		if cc, ok := oldest.(*clientConn); ok {
			cc.closeWhenIdle() // the server's read then fails, and it reports the close
		}
	}
}

// busy takes a connection off the idle ones.
func (c *clientConns) removeIdle(nc net.Conn) {
	if e := c.idle[nc]; e != nil {
		c.order.Remove(e)
		delete(c.idle, nc)
	}
}

// empty closes idle connections until ctx ends: not at once, as connections still come
// and clients still choose among those they have.
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
		for nc := range c.idle {
			if cc, ok := nc.(*clientConn); ok {
				cc.closeWhenIdle()
			}
		}
		c.mu.Unlock()
		sweep.Reset(drainSweepInterval)
	}
}

// leaveSilent ends all connections on which no request has begun, also those that never
// brought one.
func (c *clientConns) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		if cc, ok := nc.(*clientConn); ok {
			cc.closeWhenIdle()
		}
	}
}

// none returns a channel that is closed once no connection is open.
func (c *clientConns) noneOpen() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allClosed == nil {
		c.allClosed = make(chan struct{})
		if len(c.open) == 0 {
			left := c.allClosed
			c.allClosed = nil
			close(left)
			return left
		}
	}
	return c.allClosed
}

func (c *clientConns) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
