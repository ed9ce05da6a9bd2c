// Package upstream makes attempts at servers. It keeps a pool of connections, writes one message to a connection, reads
// the response, and reports how the attempt ended and whether it may have executed. An attempt runs in its caller's
// goroutine. The package never resends a message that may have executed.
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
	// minIdleTime is how long a connection stays idle before it carries another message. A server may send a second
	// response to a message some milliseconds after the first. If the second one arrived after minIdleTime, it would be
	// taken for the response to the next message.
	minIdleTime = 20 * time.Millisecond
	// defaultConnectTimeout and defaultKeepalive apply if the settings give no value.
	defaultConnectTimeout, defaultKeepalive = time.Second, time.Second
)

// errNoDescriptor is the error of a connect when the limit on connections has been reached. That limit keeps the agent
// within its limit on descriptors.
var errNoDescriptor = errors.New("no descriptor left for a connection")

// Pool makes attempts and keeps idle connections. It does not use http.Transport for two reasons: http.Transport
// retries by itself when a reused connection is broken, and it does not report whether the last byte of a request was
// written. An attempt can have executed only if that byte was written.
type Pool struct {
	budget  message.Quota // for the bytes of buffered response bodies, of long heads and of stream buffers
	streams message.Quota // connections on which a body is streamed
	dial    config.DialFunc

	mu              sync.Mutex
	maxConns        int
	connectTimeout  time.Duration
	keepalive       time.Duration            // connections idle for longer are not used
	idle            map[string][]*serverConn // by address, most recently used last
	closed          bool                     // no connection is kept any more
	openConns       int                      // open or being opened
	connectAttempts int                      // since the start
	idleTimes       idleTimeModel
}

// NewPool returns the pool of an agent with the given configuration.
func NewPool(cfg *config.Config) *Pool {
	p := &Pool{
		maxConns: cfg.MaxServerConns(),
		budget:   message.NewQuota(cfg.Memory().ResponseBodies),
		streams:  message.NewQuota(cfg.Memory().Streams),
		dial:     cfg.Dialer(),
		idle:     map[string][]*serverConn{},
	}
	p.ApplySettings(cfg)
	return p
}

// SetConnLimit changes the limit on connections, and closes idle connections beyond it.
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

// BodyBudget returns the quota for the bytes of buffered response bodies.
func (p *Pool) BodyBudget() message.Quota { return p.budget }

// Streams returns the quota of connections on which a body is streamed, in either direction.
func (p *Pool) Streams() message.Quota { return p.streams }

// ConnLimit returns the limit on connections.
func (p *Pool) ConnLimit() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maxConns
}

// ApplySettings applies the connect timeout and the keepalive time of the settings to later uses of connections.
func (p *Pool) ApplySettings(cfg *config.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = clock.FromMilliseconds(cfg.Settings.Limits.ConnectTimeoutMs)
	if p.connectTimeout <= 0 {
		p.connectTimeout = defaultConnectTimeout
	}
	// The server closes idle connections after its keepalive time; half of it leaves a safe margin.
	p.keepalive = clock.FromMilliseconds(cfg.Settings.Limits.KeepaliveMs / 2)
	if p.keepalive <= 0 {
		p.keepalive = defaultKeepalive
	}
}

// acquire returns the most recently used connection that is alive and has been idle for at least minIdleTime, or opens
// a new one.
func (p *Pool) acquire(ctx context.Context, addr string, deadline time.Time) (*serverConn, error) {
	for {
		conn, idleLimit := p.takeIdle(addr)
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

// takeIdle removes a connection that has been idle for at least minIdleTime from the pool, and returns it with the
// current limit on idle times. The connection is nil if there is none.
func (p *Pool) takeIdle(addr string) (conn *serverConn, idleLimit time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if time.Since(list[i].idleSince) >= minIdleTime {
			conn := list[i]
			p.idle[addr] = slices.Delete(list, i, i+1)
			return conn, p.idleTimes.limit(p.keepalive)
		}
	}
	return nil, 0
}

// open opens a connection. At the limit on connections it first closes an idle one.
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
	limitSendBuffer(opened)
	return &serverConn{
		Conn:      opened,
		reader:    bufio.NewReaderSize(opened, readBufferSize),
		addr:      addr,
		createdAt: time.Now(),
	}, nil
}

// reserve counts a connection that is about to be opened, and returns the deadline for the connect.
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

// evict closes the connection that has been idle longest, so that one to another server can be opened, and reports
// whether there was one. The caller must hold p.mu.
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

// closeConn closes a connection and stops counting it. The caller must hold p.mu.
func (p *Pool) closeConn(conn *serverConn) {
	p.uncount(conn)
	_ = conn.Close() // the connection is no longer used, so the error has no consequence
}

// release keeps a connection for the next message to its server. If the server is unavailable or the pool is shut down,
// it closes the connection instead.
func (p *Pool) release(conn *serverConn, server *Server) {
	conn.setDeadline(time.Time{})
	conn.releaseReserved()
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
	_ = conn.Close() // the connection is no longer used, so the error has no consequence
	conn.releaseReserved()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.uncount(conn)
}

// uncount stops counting a connection that has been closed. Further calls have no effect. The caller must hold p.mu.
func (p *Pool) uncount(conn *serverConn) {
	if !conn.closed {
		conn.closed = true
		p.openConns--
	}
}

// recordIdleUse records that a connection was reused after an idle time, and whether it turned out to be lost.
func (p *Pool) recordIdleUse(idled time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimes.record(idled, lost)
}

// IdleLimit returns how long a connection may currently be idle before it is no longer used.
func (p *Pool) IdleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimes.limit(p.keepalive)
}

// connectTimeLimit returns the connect timeout in force.
func (p *Pool) connectTimeLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectTimeout
}

// Size returns the number of connections that are open or being opened.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// ConnectCount returns the number of connects since the start, including failed ones.
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

// Shutdown closes the idle connections, and makes the pool close each other connection when it becomes idle.
func (p *Pool) Shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for evicted := true; evicted; {
		evicted = p.evict()
	}
}

// CloseExpired closes the connections that have been idle for IdleLimit or longer.
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
