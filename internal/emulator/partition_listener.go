package emulator

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// partitionListener is a server's listener for the agents of one zone. It can emulate a network partition. During a
// partition, open connections stay open without transferring data, and new connections are not established. At the end
// of the partition, the open connections are reset (PROTOCOL, "The network").
type partitionListener struct {
	*net.TCPListener

	mu            sync.Mutex
	healed        chan struct{} // non-nil during a partition; closed when it ends
	connections   map[*partitionConn]bool
	backlogFiller net.Conn // fills the backlog during a partition
	closed        bool
}

// newPartitionListener returns a listener at the given address, initially without a partition.
func newPartitionListener(address string) (*partitionListener, error) {
	listener, err := listenTCP(address)
	if err != nil {
		return nil, err
	}
	return &partitionListener{
		TCPListener: listener,
		connections: map[*partitionConn]bool{},
	}, nil
}

// setBacklog sets how many connections the kernel establishes ahead of Accept.
func (l *partitionListener) setBacklog(n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	// Both errors mean that the listener was closed in the meantime, so that there is no backlog to change.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// beginPartition starts a partition unless one is in progress.
func (l *partitionListener) beginPartition() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.healed != nil {
		return
	}
	l.healed = make(chan struct{})
	// The kernel establishes one connection even with a backlog of 0, and none after this one.
	l.setBacklog(0)
	l.backlogFiller, _ = dialTCP(context.Background(), l.Addr().String(), 0) // fails if the backlog is already full
}

// endPartition ends the current partition, if any.
func (l *partitionListener) endPartition() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.healed == nil {
		return
	}
	l.releaseWaiting()
	l.setBacklog(syscall.SOMAXCONN)
	l.resetConnections()
}

// releaseWaiting wakes the goroutines that wait for the end of the partition, if any, and frees the backlog. The caller
// must hold l.mu.
func (l *partitionListener) releaseWaiting() {
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
	if l.backlogFiller != nil {
		_ = l.backlogFiller.Close() // nothing was written to it
	}
}

// resetConnections closes all connections with a TCP reset. The caller must hold l.mu.
func (l *partitionListener) resetConnections() {
	for c := range l.connections {
		resetConnection(c.TCPConn)
	}
}

// resetConnection closes a connection with a TCP reset. Both calls fail only on a connection that is already closed.
func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// stop closes the listener as if its process had ended: open connections are reset and new ones refused.
func (l *partitionListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.closed = true
	l.releaseWaiting()
	_ = l.Close() // fails only on a closed listener
	l.resetConnections()
}

// partition returns a channel that is closed at the end of the current partition, or nil if there is none.
func (l *partitionListener) partition() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

// Accept returns the next connection that is established outside a partition.
func (l *partitionListener) Accept() (net.Conn, error) {
	for {
		if healed := l.partition(); healed != nil {
			<-healed
		}
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if healed := l.partition(); healed != nil { // a partition started while it was established
			<-healed
			resetConnection(c)
			continue
		}
		conn := &partitionConn{TCPConn: c, listener: l}
		l.mu.Lock()
		l.connections[conn] = true
		l.mu.Unlock()
		return conn, nil
	}
}

// openConnections returns the number of open accepted connections.
func (l *partitionListener) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// partitionConn is a connection of a partitionListener.
type partitionConn struct {
	*net.TCPConn
	listener *partitionListener
}

// Read reads data outside a partition. If a partition is in progress when data arrives, Read waits for its end and
// returns ECONNRESET.
func (c *partitionConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if healed := c.listener.partition(); healed != nil {
		<-healed
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write writes data outside a partition. During a partition, it waits for the end and returns ECONNRESET.
func (c *partitionConn) Write(p []byte) (int, error) {
	if healed := c.listener.partition(); healed != nil {
		<-healed
		return 0, syscall.ECONNRESET
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection and removes it from the listener's open connections.
func (c *partitionConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.connections, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
