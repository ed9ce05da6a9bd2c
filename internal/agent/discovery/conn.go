package discovery

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// errConnectionLost ends a call whose connection was lost.
var errConnectionLost = errors.New("the connection was lost")

// callCounters count the traffic of calls to discovery since the start.
type callCounters struct {
	bytesIn, bytesOut atomic.Uint64
	calls             atomic.Uint64
}

// Traffic is the traffic of calls to discovery since the start.
type Traffic struct {
	BytesIn, BytesOut uint64 // the heads of requests and responses included
	Calls             uint64
}

// Traffic is the traffic of the client's calls since the start.
func (d *Client) Traffic() Traffic {
	return Traffic{
		BytesIn:  d.counters.bytesIn.Load(),
		BytesOut: d.counters.bytesOut.Load(),
		Calls:    d.counters.calls.Load(),
	}
}

// countedConn is a connection of the client that counts its bytes.
type countedConn struct {
	net.Conn
	client *Client
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

func (d *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if hadConn, ok := ctx.Value(hadConnKey{}).(*atomic.Bool); ok && hadConn.Load() {
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
	conn := &countedConn{nc, d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conns == nil {
		_ = nc.Close() // unused: the client is closed
		return nil, net.ErrClosed
	}
	d.conns[conn] = true
	return conn, nil
}

// hadConnKey is the context key of whether a call has had a connection.
type hadConnKey struct{}

// withSingleConn is the context of a call that is not retried by the HTTP client. net/http retries a call whose
// kept connection is lost at once, on a new one: at the failure of an instance all its agents would.
func withSingleConn(ctx context.Context) context.Context {
	hadConn := new(atomic.Bool)
	ctx = context.WithValue(ctx, hadConnKey{}, hadConn)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { hadConn.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}
