// Package upstream makes attempts at servers: it keeps a pool of connections, writes one message on a connection, reads
// its response, and says how the attempt ended and whether it may have executed. An attempt runs in the goroutine of
// its caller. The package never sends a message that may have executed again.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
	"fernbeam.example/fernbeam/internal/clock"
)

const (
	// settleTime is how long a connection rests before it carries another message. A server may send a second
	// response some milliseconds late; one that came later than this would be taken for the next message's.
	settleTime = 20 * time.Millisecond
	// defaultConnectTimeout and defaultKeepalive apply where the settings give none.
	defaultConnectTimeout, defaultKeepalive = time.Second, time.Second
)

// errNoDescriptor ends a connect for which no descriptor is left.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// Pool makes attempts and keeps idle connections. http.Transport is not used, as it retries by itself
// on a broken kept connection, and does not tell whether the last byte was written, on which it depends whether
// an attempt may have executed.
type Pool struct {
	budget message.Quota // of bytes of buffered response bodies
	dial   config.DialFunc

	mu              sync.Mutex
	maxConns        int
	connectTimeout  time.Duration
	keepalive       time.Duration            // connections that have been idle for longer are not used
	idle            map[string][]*serverConn // by address, the most recently used last
	closed          bool                     // nothing is kept any more
	openConns       int                      // open or being opened
	connectAttempts int                      // since the start
	idleTimes       idleTimeModel
}

// NewPool makes the pool of an agent with a configuration.
func NewPool(cfg *config.Config) *Pool {
	p := &Pool{
		maxConns: cfg.MaxServerConns(),
		budget:   message.NewBodyBudget(cfg.MemoryBytes()),
		dial:     cfg.Dialer(),
		idle:     map[string][]*serverConn{},
	}
	p.ApplySettings(cfg)
	return p
}

// SetConnLimit bounds the connections from now on.
func (p *Pool) SetConnLimit(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
	for p.openConns > p.maxConns {
		if !p.evict() {
			return
		}
	}
}

// BodyBudget bounds the bytes of buffered response bodies.
func (p *Pool) BodyBudget() message.Quota { return p.budget }

// ConnLimit is the bound on the connections.
func (p *Pool) ConnLimit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConns
}

// ApplySettings puts the settings in force for connections from now on.
func (p *Pool) ApplySettings(cfg *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = clock.FromMilliseconds(cfg.Settings.Limits.ConnectTimeoutMs)
	if p.connectTimeout <= 0 {
		p.connectTimeout = defaultConnectTimeout
	}
	// The server closes at its keepalive time at the latest; half of it is well before.
	p.keepalive = clock.FromMilliseconds(cfg.Settings.Limits.KeepaliveMs / 2)
	if p.keepalive <= 0 {
		p.keepalive = defaultKeepalive
	}
}

// acquire returns an idle connection that is alive and has rested, the most recently used first, or opens one.
func (p *Pool) acquire(ctx context.Context, addr string, deadline time.Time) (*serverConn, error) {
	for {
		conn, idleLimit := p.takeRested(addr)
		if conn == nil {
			return p.open(ctx, addr, deadline)
		}
		conn.idledFor = time.Since(conn.idleSince)
		if conn.idledFor < idleLimit && socket.IsOpenAndIdle(conn.Conn) {
			return conn, nil
		}
		p.discard(conn)
	}
}

// takeRested takes an idle connection that has rested out of the pool, with the idle time that it may have
// had; nil: there is none.
func (p *Pool) takeRested(addr string) (conn *serverConn, idleLimit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if time.Since(list[i].idleSince) >= settleTime {
			conn := list[i]
			p.idle[addr] = slices.Delete(list, i, i+1)
			return conn, p.idleTimes.limit(p.keepalive)
		}
	}
	return nil, 0
}

// open opens a connection, for which it closes an idle one at the limit.
func (p *Pool) open(ctx context.Context, addr string, deadline time.Time) (*serverConn, error) {
	until, err := p.reserve(deadline)
	if err != nil {
		return nil, err
	}
	opened, err := p.dial(ctx, addr, until)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return &serverConn{
		Conn:      opened,
		reader:    bufio.NewReaderSize(opened, maxResponseHead),
		addr:      addr,
		createdAt: time.Now(),
	}, nil
}

// reserve counts a connection that is about to be opened, and returns until when that may take.
func (p *Pool) reserve(deadline time.Time) (until time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= p.maxConns && !p.evict() {
		return time.Time{}, errNoDescriptor
	}
	p.openConns++
	p.connectAttempts++
	return clock.Earliest(deadline, time.Now().Add(p.connectTimeout)), nil
}

// evict closes the connection that has been idle longest, so that one to another server can be opened, and
// reports whether there was any. The caller has the lock.
func (p *Pool) evict() bool {
	var oldest *serverConn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	p.closeConn(oldest)
	return true
}

// closeConn closes a connection and no longer counts it. The caller has the lock.
func (p *Pool) closeConn(conn *serverConn) {
	p.openConns--
	_ = conn.Close() // it is given up, whatever its state
}

// release keeps a connection for the next message to its server, unless that is not to have any.
func (p *Pool) release(conn *serverConn, server *Server) {
	conn.setDeadline(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !server.IsAvailable() || p.closed {
		p.closeConn(conn)
		return
	}
	p.idle[conn.addr] = append(p.idle[conn.addr], conn)
}

// discard closes a connection that is not idle.
func (p *Pool) discard(conn *serverConn) {
	_ = conn.Close() // it is given up, whatever its state
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// recordIdleUse records the use of a kept connection for the model of idle times.
func (p *Pool) recordIdleUse(idled time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimes.record(idled, lost)
}

// IdleLimit is how long a connection may be idle by what is known now.
func (p *Pool) IdleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimes.limit(p.keepalive)
}

// connectTimeLimit is how long a connect may take.
func (p *Pool) connectTimeLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectTimeout
}

// Size is the number of connections that are open or being opened.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// ConnectCount is the number of connects since the start, whether they succeeded or not.
func (p *Pool) ConnectCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectAttempts
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[addr] {
		p.closeConn(conn)
	}
	delete(p.idle, addr)
}

// Shutdown closes the idle connections, and those that become idle from now on.
func (p *Pool) Shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for evicted := true; evicted; {
		evicted = p.evict()
	}
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.idleTimes.limit(p.keepalive)
	for addr, list := range p.idle {
		expiredCount := 0
		for expiredCount < len(list) && time.Since(list[expiredCount].idleSince) >= limit {
			p.closeConn(list[expiredCount])
			expiredCount++
		}
		p.idle[addr] = list[expiredCount:]
		if len(p.idle[addr]) == 0 {
			delete(p.idle, addr)
		}
	}
}
