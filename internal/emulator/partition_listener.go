package emulator

import (
	"net"
	"sync"
	"syscall"
)

// gate is a listener of a node for the agents of one zone, which a cut can make silent: what is
// open stays open and brings nothing, new connections never come up, and when the cut heals what
// was open is reset (PROTOCOL, "The network").
type partitionListener struct {
	*net.TCPListener
	mu            sync.Mutex
	healed        chan struct{} // not nil while it is silent; closed when it heals
	connections   map[*partitionConn]bool
	backlogFiller net.Conn // fills the queue of connections that are not accepted
	closed        bool
}

func newPartitionListener(addr string) (*partitionListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &partitionListener{TCPListener: ln.(*net.TCPListener), connections: map[*partitionConn]bool{}}, nil
}

func (g *partitionListener) setBacklog(n int) {
	if raw, err := g.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// silence begins or ends a cut.
func (g *partitionListener) setPartitioned(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case on == (g.healed != nil) || g.closed:
	case on:
		g.healed = make(chan struct{})
		// The system accepts for a listener; with no queue it takes one connection, then none.
		g.setBacklog(0)
		g.backlogFiller, _ = net.Dial("tcp", g.Addr().String())
	default:
		close(g.healed)
		g.healed = nil
		g.setBacklog(syscall.SOMAXCONN)
		if g.backlogFiller != nil {
			g.backlogFiller.Close()
		}
		g.resetConnections()
	}
}

// reset ends all connections with a reset. The caller holds mu.
func (g *partitionListener) resetConnections() {
	for c := range g.connections {
		c.TCPConn.SetLinger(0)
		c.TCPConn.Close()
	}
}

// end closes the gate as the end of its process does: connections are reset, calls refused.
func (g *partitionListener) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	g.closed = true
	if g.healed != nil {
		close(g.healed)
		g.healed = nil
	}
	if g.backlogFiller != nil {
		g.backlogFiller.Close()
	}
	g.TCPListener.Close()
	g.resetConnections()
}

// quiet is closed once the gate is not silent; nil: it is not.
func (g *partitionListener) partition() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healed
}

func (g *partitionListener) Accept() (net.Conn, error) {
	for {
		if q := g.partition(); q != nil {
			<-q
		}
		c, err := g.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if q := g.partition(); q != nil { // it came in the middle of becoming silent
			<-q
			c.SetLinger(0)
			c.Close()
			continue
		}
		gc := &partitionConn{TCPConn: c, listener: g}
		g.mu.Lock()
		g.connections[gc] = true
		g.mu.Unlock()
		return gc, nil
	}
}

func (g *partitionListener) openConnections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.connections)
}

// gated is a connection that came through a gate.
type partitionConn struct {
	*net.TCPConn
	listener *partitionListener
}

func (c *partitionConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if q := c.listener.partition(); q != nil {
		<-q
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *partitionConn) Write(p []byte) (int, error) {
	if q := c.listener.partition(); q != nil {
		<-q
		return 0, syscall.ECONNRESET
	}
	return c.TCPConn.Write(p)
}

func (c *partitionConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.connections, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
