package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// settleTime is how long a connection rests before it carries another message. A backend may
// bring a second answer some milliseconds late; one that comes later than this would be
// taken for the next message's.
const settleTime = 20 * time.Millisecond

// pool makes attempts and keeps idle connections. http.Transport is not used on
// purpose: it sends again by itself on a broken kept connection, and does not
// tell whether the last byte was written, on which hangs whether an attempt may
// have run.
type connectionPool struct {
	maxConns int
	budget   quota
	dial     dialFunc // nil: dialTCP

	mu             sync.Mutex
	connectTimeout time.Duration
	keepalive      time.Duration // idle connections older than this are not used again

	idle            map[string][]*serverConn // by address, the most recently used last
	closed          bool                     // nothing is kept any more
	openConns       int
	connectAttempts int // connects since the start
	idleTimes       idleTimeModel
}

type serverConn struct {
	net.Conn
	reader    *bufio.Reader
	addr      string
	createdAt time.Time
	idleSince time.Time     // idle since
	uses      int           // requests carried
	idledFor  time.Duration // before the one it carries now
}

// story tells what broke a connection, and whether it was a kept one.
func (c *serverConn) describeFailure(err error) string {
	return fmt.Sprintf("%v on request %d of a connection opened %d ms ago and idle for %d ms before", err, c.uses,
		time.Since(c.createdAt).Milliseconds(), c.idledFor.Milliseconds())
}

var errNoDescriptor = errors.New("no descriptor left for a connection")

func newConnectionPool(c *Config) *connectionPool {
	p := &connectionPool{maxConns: c.serverConns(), budget: newBodyBudget(c), idle: map[string][]*serverConn{}}
	p.applySettings(c)
	return p
}

// limit bounds the connections from now on.
func (p *connectionPool) setLimit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.maxConns = most; p.openConns > p.maxConns && p.evict(); {
	}
}

// retune puts the settings in force for connections from now on.
func (p *connectionPool) applySettings(c *Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = milliseconds(c.Settings.Limits.ConnectTimeoutMs)
	// The backend closes at keepalive at the latest; half of it is well before.
	p.keepalive = milliseconds(c.Settings.Limits.KeepaliveMs / 2)
	if p.connectTimeout <= 0 {
		p.connectTimeout = time.Second
	}
	if p.keepalive <= 0 {
		p.keepalive = time.Second
	}
}

// get returns an idle connection that is still good and has rested, the most recently used
// first, or opens one.
func (p *connectionPool) acquire(ctx context.Context, addr string, deadline time.Time) (*serverConn, error) {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		i := len(list) - 1
		for i >= 0 && time.Since(list[i].idleSince) < settleTime {
			i--
		}
		if i < 0 {
			break
		}
		cn := list[i]
		p.idle[addr] = slices.Delete(list, i, i+1)
		limit := p.idleTimes.limit(p.keepalive)
		p.mu.Unlock()
		if cn.idledFor = time.Since(cn.idleSince); cn.idledFor < limit && isIdleConnAlive(cn.Conn) {
			return cn, nil
		}
		p.discard(cn)
	}
	if p.openConns >= p.maxConns && !p.evict() {
		p.mu.Unlock()
		return nil, errNoDescriptor
	}
	p.openConns++
	p.connectAttempts++
	until := earliest(deadline, time.Now().Add(p.connectTimeout))
	p.mu.Unlock()
	nc, err := p.dialServer(ctx, addr, until)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return &serverConn{Conn: nc, reader: bufio.NewReaderSize(nc, maxResponseHead), addr: addr, createdAt: time.Now()}, nil
}

func (p *connectionPool) dialServer(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	if p.dial != nil {
		return p.dial(ctx, addr, until)
	}
	return dialTCP(ctx, addr, until)
}

// evict closes the connection that has been idle longest, to make room for
// another backend's. The lock is held.
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
	p.openConns--
	oldest.Close()
	return true
}

func (p *connectionPool) release(cn *serverConn, b *upstreamServer) {
	cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.unavailable.Load() || p.closed {
		p.openConns--
		cn.Close()
		return
	}
	p.idle[cn.addr] = append(p.idle[cn.addr], cn)
}

func (p *connectionPool) discard(cn *serverConn) {
	cn.Close()
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// note takes the use of a kept connection for what is known of idle times.
func (p *connectionPool) recordIdleUse(idled time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimes.record(idled, lost)
}

// idleLimit is how long a connection may idle by what is known now.
func (p *connectionPool) idleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimes.limit(p.keepalive)
}

// patience is how long a connect may take.
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

// connects is the number of connections that were tried to open since the start.
func (p *connectionPool) connectCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectAttempts
}

// hangUp closes the idle connections to an address.
func (p *connectionPool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle[addr] {
		p.openConns--
		cn.Close()
	}
	delete(p.idle, addr)
}

// end closes what idles, and what falls idle from now on.
func (p *connectionPool) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.closed = true; p.evict(); {
	}
}

// sweep closes connections that have idled too long.
func (p *connectionPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.idleTimes.limit(p.keepalive)
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) >= limit {
			p.openConns--
			list[n].Close()
			n++
		}
		if p.idle[addr] = list[n:]; n == len(list) {
			delete(p.idle, addr)
		}
	}
}

// dialFunc opens a connection to a backend until a time.
type dialFunc func(ctx context.Context, addr string, until time.Time) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

// alive tells whether an idle connection is still open and silent. One that the
// peer closed, or that brings bytes nobody asked for, must not carry a request:
// it would end as a reset, which may have run.
func isIdleConnAlive(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && good
}
