package agent

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// callCount counts what passes on the sockets of calls to discovery, since the start.
type callCounters struct {
	bytesIn, bytesOut atomic.Uint64 // bytes, the heads of calls and answers with them
	calls             atomic.Uint64
}

// countedConn counts its bytes.
type countedConn struct {
	net.Conn
	client *discoveryClient
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.client.counters.bytesIn.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.client.counters.bytesOut.Add(uint64(n))
	return n, err
}

func (c *countedConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

func (d *discoveryClient) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if had, ok := ctx.Value(hadConnKey{}).(*atomic.Bool); ok && had.Load() {
		return nil, errConnectionLost
	}
	dialer := net.Dialer{Timeout: callGrace}
	if d.localAddr != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: d.localAddr}
	}
	nc, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &countedConn{nc, d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		nc.Close()
		return nil, net.ErrClosed
	}
	d.conns[c] = true
	return c, nil
}

// errLost ends a call whose connection was lost.
var errConnectionLost = errors.New("the connection was lost")

// hadConn is the key of whether a call has had a connection.
type hadConnKey struct{}

// onOneConn is the context of a call that is not made again by itself. The client of net/http makes a call
// whose kept connection is lost again at once, on a new one: at an instance's fall all its agents would.
func withSingleConn(ctx context.Context) context.Context {
	had := new(atomic.Bool)
	ctx = context.WithValue(ctx, hadConnKey{}, had)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { had.Store(true) }})
}
