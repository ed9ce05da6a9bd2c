package processtest

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// linkIP is the IP address on which all links listen.
	linkIP = "127.0.0.1"
	// linkDialTimeout bounds the time to connect to a link's target.
	linkDialTimeout = time.Second
	// linkChunkBytes is the maximum size of a chunk, which a link reads and relays as a whole.
	linkChunkBytes = 32 << 10
)

// Link is a TCP proxy from one process to a listener of another. A cut closes the link's open connections, and each new
// one immediately after accepting it. A delay holds back each chunk of bytes in either direction. A drop closes a
// fraction of the new connections immediately after accepting them, as if lost packets had made them fail. The methods
// are safe for concurrent use.
type Link struct {
	target   string
	ln       net.Listener
	mu       sync.Mutex
	cut      bool
	delay    time.Duration
	drop     float64
	conns    map[net.Conn]bool
	accepted []time.Time
}

// newLink starts a proxy to the address target.
func newLink(target string) (*Link, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(linkIP)})
	if err != nil {
		return nil, err
	}
	l := &Link{target: target, ln: ln, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Addr returns the proxy's loopback address (host:port).
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Accepted returns, in order, the time at which each connection was accepted. Connections that the link closed
// immediately after accepting them are included.
func (l *Link) Accepted() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.accepted)
}

// SetCut cuts or restores the link. A cut closes the open connections.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.conns {
			closeConn(conn)
		}
	}
}

// SetDelay sets the delay of each chunk of bytes.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// SetDrop sets the fraction (0 to 1) of new connections that are closed immediately after they are accepted.
func (l *Link) SetDrop(fraction float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop = fraction
}

// accept relays connections until the link is closed.
func (l *Link) accept() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		if !l.admit() {
			closeConn(in)
			continue
		}
		go l.relay(in)
	}
}

// admit records a new connection and reports whether it is to be relayed.
func (l *Link) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted = append(l.accepted, time.Now())
	return !l.cut && rand.Float64() >= l.drop
}

// relay connects to the target and relays both directions until one of them ends.
func (l *Link) relay(in net.Conn) {
	out, err := net.DialTimeout("tcp", l.target, linkDialTimeout) //nolint:noctx // the timeout bounds it
	if err != nil {
		closeConn(in)
		return
	}
	if !l.register(in, out) {
		closeConn(in)
		closeConn(out)
		return
	}
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		l.pipe(out, in)
	}()
	l.pipe(in, out)
	<-requestsEnded
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, in)
	delete(l.conns, out)
}

// register adds the two connections of a relay to those that a cut closes. It returns false if the link is cut.
func (l *Link) register(in, out net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[in] = true
	l.conns[out] = true
	return true
}

// pipe copies src to dst, each chunk after the link's delay, and then closes both.
func (l *Link) pipe(dst, src net.Conn) {
	defer closeConn(dst)
	defer closeConn(src)
	buf := make([]byte, linkChunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			l.awaitDelay()
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitDelay waits for the link's delay, a fault that a test injects.
func (l *Link) awaitDelay() {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
}

// close ends the proxy and its connections.
func (l *Link) close() {
	_ = l.ln.Close() // the proxy is not used any more
	l.SetCut(true)
}

// closeConn closes a relayed connection. Both peers notice the close, so the relay ignores its error.
func closeConn(conn net.Conn) { _ = conn.Close() }
