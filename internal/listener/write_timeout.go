package listener

import (
	"net"
	"time"
)

// maxTimedWrite is the number of bytes that share a deadline in WriteWithin.
const maxTimedWrite = 64 << 10

// WriteWithin writes data to a connection. The deadline counts from the beginning of the write, and again from each
// further maxTimedWrite bytes, so that it limits the time without progress and not the duration of the whole write. It
// replaces an earlier write deadline of the connection.
func WriteWithin(conn net.Conn, data []byte, timeout time.Duration) (int, error) {
	written := 0
	for {
		if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return written, err
		}
		end := min(written+maxTimedWrite, len(data))
		n, err := conn.Write(data[written:end])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

// WithWriteTimeout returns a listener whose connections write with WriteWithin.
func WithWriteTimeout(inner net.Listener, timeout time.Duration) net.Listener {
	return writeTimeoutListener{Listener: inner, timeout: timeout}
}

type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept returns the next connection.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return writeTimeoutConn{Conn: conn, timeout: l.timeout}, nil
}

type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes with WriteWithin.
func (c writeTimeoutConn) Write(data []byte) (int, error) {
	return WriteWithin(c.Conn, data, c.timeout)
}
