package agent

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
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

// connectionPool makes attempts and keeps idle connections. http.Transport is not used, as it retries by itself
// on a broken kept connection, and does not tell whether the last byte was written, on which it depends whether
// an attempt may have executed.
type connectionPool struct {
	budget quota // of bytes of buffered response bodies
	dial   DialFunc

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

func newConnectionPool(cfg *Config) *connectionPool {
	p := &connectionPool{
		maxConns: cfg.serverConns(),
		budget:   newBodyBudget(cfg.MemoryMB),
		dial:     cfg.Dial,
		idle:     map[string][]*serverConn{},
	}
	if p.dial == nil {
		p.dial = dialTCP
	}
	p.applySettings(cfg)
	return p
}

// setConnLimit bounds the connections from now on.
func (p *connectionPool) setConnLimit(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
	for p.openConns > p.maxConns {
		if !p.evict() {
			return
		}
	}
}

// bodyBudget bounds the bytes of buffered response bodies.
func (p *connectionPool) bodyBudget() quota { return p.budget }

// connLimit is the bound on the connections.
func (p *connectionPool) connLimit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConns
}

// applySettings puts the settings in force for connections from now on.
func (p *connectionPool) applySettings(cfg *Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = milliseconds(cfg.Settings.Limits.ConnectTimeoutMs)
	if p.connectTimeout <= 0 {
		p.connectTimeout = defaultConnectTimeout
	}
	// The server closes at its keepalive time at the latest; half of it is well before.
	p.keepalive = milliseconds(cfg.Settings.Limits.KeepaliveMs / 2)
	if p.keepalive <= 0 {
		p.keepalive = defaultKeepalive
	}
}

// acquire returns an idle connection that is alive and has rested, the most recently used first, or opens one.
func (p *connectionPool) acquire(ctx context.Context, addr string, deadline time.Time) (*serverConn, error) {
	for {
		conn, idleLimit := p.takeRested(addr)
		if conn == nil {
			return p.open(ctx, addr, deadline)
		}
		conn.idledFor = time.Since(conn.idleSince)
		if conn.idledFor < idleLimit && isIdleConnAlive(conn.Conn) {
			return conn, nil
		}
		p.discard(conn)
	}
}

// takeRested takes an idle connection that has rested out of the pool, with the idle time that it may have
// had; nil: there is none.
func (p *connectionPool) takeRested(addr string) (conn *serverConn, idleLimit time.Duration) {
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
func (p *connectionPool) open(ctx context.Context, addr string, deadline time.Time) (*serverConn, error) {
	until, err := p.reserve(deadline)
	if err != nil {
		return nil, err
	}
	nc, err := p.dial(ctx, addr, until)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return &serverConn{
		Conn:      nc,
		reader:    bufio.NewReaderSize(nc, maxResponseHead),
		addr:      addr,
		createdAt: time.Now(),
	}, nil
}

// reserve counts a connection that is about to be opened, and returns until when that may take.
func (p *connectionPool) reserve(deadline time.Time) (until time.Time, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.openConns >= p.maxConns && !p.evict() {
		return time.Time{}, errNoDescriptor
	}
	p.openConns++
	p.connectAttempts++
	return earliest(deadline, time.Now().Add(p.connectTimeout)), nil
}

func dialTCP(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// evict closes the connection that has been idle longest, so that one to another server can be opened, and
// tells whether there was any. The caller has the lock.
func (p *connectionPool) evict() bool {
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
func (p *connectionPool) closeConn(conn *serverConn) {
	p.openConns--
	_ = conn.Close() // it is given up, whatever its state
}

// release keeps a connection for the next message to its server, unless that is not to have any.
func (p *connectionPool) release(conn *serverConn, server *upstreamServer) {
	conn.setDeadline(time.Time{})
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !server.isAvailable() || p.closed {
		p.closeConn(conn)
		return
	}
	p.idle[conn.addr] = append(p.idle[conn.addr], conn)
}

// discard closes a connection that is not idle.
func (p *connectionPool) discard(conn *serverConn) {
	_ = conn.Close() // it is given up, whatever its state
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns--
}

// recordIdleUse records the use of a kept connection for the model of idle times.
func (p *connectionPool) recordIdleUse(idled time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimes.record(idled, lost)
}

// idleLimit is how long a connection may be idle by what is known now.
func (p *connectionPool) idleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimes.limit(p.keepalive)
}

// connectTimeLimit is how long a connect may take.
func (p *connectionPool) connectTimeLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectTimeout
}

// size is the number of connections that are open or being opened.
func (p *connectionPool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// connectCount is the number of connects since the start, whether they succeeded or not.
func (p *connectionPool) connectCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectAttempts
}

// closeIdle closes the idle connections to an address.
func (p *connectionPool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[addr] {
		p.closeConn(conn)
	}
	delete(p.idle, addr)
}

// shutdown closes the idle connections, and those that become idle from now on.
func (p *connectionPool) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for evicted := true; evicted; {
		evicted = p.evict()
	}
}

// closeExpired closes the connections that have been idle for too long.
func (p *connectionPool) closeExpired() {
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
