package admin

import (
	"errors"
	"net"
)

// maxHeadLines is the greatest number of lines of the head of a call. Once parsed, a short header field takes many
// times its size.
const maxHeadLines = 100

// errManyLines ends a call whose head has more than maxHeadLines lines.
var errManyLines = errors.New("admin: too many header fields")

// limitedListener accepts connections of which each carries one call, whose head has at most maxHeadLines lines.
type limitedListener struct{ net.Listener }

// Accept waits for the next connection.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn}, nil
}

// limitedConn is a connection of which a head with too many lines is not read to its end.
type limitedConn struct {
	net.Conn
	lines     int  // lines of the head so far
	lineSize  int  // bytes of the current line
	headEnded bool // the empty line behind the head has been read
}

// Read reads from the connection. It fails once the head has too many lines.
func (c *limitedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.countLines(p[:n])
	if c.lines > maxHeadLines {
		return 0, errManyLines
	}
	return n, err
}

// countLines counts the lines of the head in the next bytes of the connection.
func (c *limitedConn) countLines(text []byte) {
	for _, next := range text {
		switch {
		case c.headEnded:
			return
		case next == '\n':
			c.headEnded = c.lineSize == 0 && c.lines > 0
			c.lines++
			c.lineSize = 0
		case next != '\r':
			c.lineSize++
		}
	}
}
