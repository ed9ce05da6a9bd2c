package discovery

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// errConnectionLost is the error of a call that has lost its connection and must not open another one.
var errConnectionLost = errors.New("connection lost")

// callCounters counts the traffic of calls to discovery since the start.
type callCounters struct {
	bytesIn, bytesOut atomic.Uint64
	calls             atomic.Uint64
}

// Traffic is the traffic of calls to discovery since the start.
type Traffic struct {
	BytesIn, BytesOut uint64 // including the heads of requests and responses
	Calls             uint64
}

// Traffic returns the traffic of the client's calls since the start.
func (c *Client) Traffic() Traffic {
	return Traffic{
		BytesIn:  c.counters.bytesIn.Load(),
		BytesOut: c.counters.bytesOut.Load(),
		Calls:    c.counters.calls.Load(),
	}
}

// countingConn is a connection of the client that counts its bytes.
type countingConn struct {
	net.Conn
	client *Client
}

// Read implements io.Reader and counts the bytes.
func (c *countingConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.client.counters.bytesIn.Add(uint64(n))
	return n, err
}

// Write implements io.Writer and counts the bytes.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.client.counters.bytesOut.Add(uint64(n))
	return n, err
}

// Close closes the connection and removes it from the client's open connections.
func (c *countingConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

// dial opens a connection for the HTTP client. It fails for a call that has already had a connection and lost it.
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
	conn := &countingConn{Conn: opened, client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		_ = opened.Close() // the client is closed
		return nil, net.ErrClosed
	}
	c.conns[conn] = true
	return conn, nil
}

// hadConnKey is the context key of an *atomic.Bool that tells whether a call has had a connection.
type hadConnKey struct{}

// withSingleConn returns a context for a call that the HTTP client must not retry. net/http immediately retries a call
// whose reused connection is lost, on a new connection. When an instance fails, all its agents would do so at the same
// time.
func withSingleConn(ctx context.Context) context.Context {
	hadConn := new(atomic.Bool)
	ctx = context.WithValue(ctx, hadConnKey{}, hadConn)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { hadConn.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace)
}
