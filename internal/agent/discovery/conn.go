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
func (c *Client) Traffic() Traffic {
	return Traffic{
		BytesIn:  c.counters.bytesIn.Load(),
		BytesOut: c.counters.bytesOut.Load(),
		Calls:    c.counters.calls.Load(),
	}
}

// countedConn is a connection of the client that counts its bytes.
type countedConn struct {
	net.Conn
	client *Client
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.client.counters.bytesIn.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.client.counters.bytesOut.Add(uint64(n))
	return n, err
}

// Close closes the connection, which the client then no longer has.
func (c *countedConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

// dial opens a connection of the HTTP client; a call that has lost its connection gets no other.
func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if hadConn, ok := ctx.Value(hadConnKey{}).(*atomic.Bool); ok && hadConn.Load() {
		return nil, errConnectionLost
	}
	dialer := net.Dialer{Timeout: callGrace}
	if c.localAddr != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.localAddr}
	}
	opened, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	conn := &countedConn{Conn: opened, client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		_ = opened.Close() // unused: the client is closed
		return nil, net.ErrClosed
	}
	c.conns[conn] = true
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
