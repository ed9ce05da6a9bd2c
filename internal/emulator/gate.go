package emulator

import (
	"net"
	"sync"
	"syscall"
)

// gate is a listener of a node for the agents of one zone, which a cut can make silent: what is
// open stays open and brings nothing, new connections never come up, and when the cut heals what
// was open is reset (PROTOCOL, "The network").
type gate struct {
	*net.TCPListener
	mu     sync.Mutex
	healed chan struct{} // not nil while it is silent; closed when it heals
	conns  map[*gated]bool
	dummy  net.Conn // fills the queue of connections that are not accepted
	ended  bool
}

func newGate(addr string) (*gate, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &gate{TCPListener: ln.(*net.TCPListener), conns: map[*gated]bool{}}, nil
}

func (g *gate) backlog(n int) {
	if raw, err := g.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
	}
}

// silence begins or ends a cut.
func (g *gate) silence(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case on == (g.healed != nil) || g.ended:
	case on:
		g.healed = make(chan struct{})
		// The system accepts for a listener; with no queue it takes one connection, then none.
		g.backlog(0)
		g.dummy, _ = net.Dial("tcp", g.Addr().String())
	default:
		close(g.healed)
		g.healed = nil
		g.backlog(syscall.SOMAXCONN)
		if g.dummy != nil {
			g.dummy.Close()
		}
		g.reset()
	}
}

// reset ends all connections with a reset. The caller holds mu.
func (g *gate) reset() {
	for c := range g.conns {
		c.TCPConn.SetLinger(0)
		c.TCPConn.Close()
	}
}

// end closes the gate as the end of its process does: connections are reset, calls refused.
func (g *gate) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ended {
		return
	}
	g.ended = true
	if g.healed != nil {
		close(g.healed)
		g.healed = nil
	}
	if g.dummy != nil {
		g.dummy.Close()
	}
	g.TCPListener.Close()
	g.reset()
}

// quiet is closed once the gate is not silent; nil: it is not.
func (g *gate) quiet() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.healed
}

func (g *gate) Accept() (net.Conn, error) {
	for {
		if q := g.quiet(); q != nil {
			<-q
		}
		c, err := g.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if q := g.quiet(); q != nil { // it came in the middle of becoming silent
			<-q
			c.SetLinger(0)
			c.Close()
			continue
		}
		gc := &gated{TCPConn: c, g: g}
		g.mu.Lock()
		g.conns[gc] = true
		g.mu.Unlock()
		return gc, nil
	}
}

func (g *gate) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// gated is a connection that came through a gate.
type gated struct {
	*net.TCPConn
	g *gate
}

func (c *gated) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if q := c.g.quiet(); q != nil {
		<-q
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *gated) Write(p []byte) (int, error) {
	if q := c.g.quiet(); q != nil {
		<-q
		return 0, syscall.ECONNRESET
	}
	return c.TCPConn.Write(p)
}

func (c *gated) Close() error {
	c.g.mu.Lock()
	delete(c.g.conns, c)
	c.g.mu.Unlock()
	return c.TCPConn.Close()
}
