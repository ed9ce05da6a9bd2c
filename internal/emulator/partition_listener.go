package emulator

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// partitionListener is a server's listener for the agents of one zone. It can emulate a network partition: open
// connections stay open but transfer nothing, new ones are never established, and when the partition ends, the open
// ones are reset (PROTOCOL, "The network").
type partitionListener struct {
	*net.TCPListener

	mu            sync.Mutex
	healed        chan struct{} // not nil during a partition; closed when it ends
	connections   map[*partitionConn]bool
	backlogFiller net.Conn // occupies the backlog during a partition
	closed        bool
}

// newPartitionListener listens at an address, without a partition.
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

// setBacklog changes how many connections the system accepts ahead of Accept.
func (l *partitionListener) setBacklog(n int) {
	raw, err := l.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	// Both errors mean that the listener was closed meanwhile: then there is no backlog to change.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// beginPartition begins a partition, unless there is one.
func (l *partitionListener) beginPartition() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.healed != nil {
		return
	}
	l.healed = make(chan struct{})
	// Even with a backlog of 0 the system accepts one connection. After this one it accepts none.
	l.setBacklog(0)
	l.backlogFiller, _ = dialTCP(context.Background(), l.Addr().String(), 0) // an error: it is full already
}

// endPartition ends the partition, if there is one.
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

// releaseWaiting releases what waits for the end of a partition, if there is one. The caller holds mu.
func (l *partitionListener) releaseWaiting() {
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
	if l.backlogFiller != nil {
		_ = l.backlogFiller.Close() // nothing was written on it
	}
}

// resetConnections closes all connections with a TCP reset. The caller holds mu.
func (l *partitionListener) resetConnections() {
	for c := range l.connections {
		resetConnection(c.TCPConn)
	}
}

// resetConnection closes a connection with a TCP reset. Both calls fail only on a connection that is closed already.
func resetConnection(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// stop closes the listener as the end of its process does: connections are reset, new ones refused.
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

// partition returns a channel that is closed at the end of the present partition; nil: there is none.
func (l *partitionListener) partition() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

// Accept returns the next connection that is established outside of a partition.
func (l *partitionListener) Accept() (net.Conn, error) {
	for {
		if healed := l.partition(); healed != nil {
			<-healed
		}
		c, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		if healed := l.partition(); healed != nil { // it was established while the partition began
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

// openConnections returns the number of accepted connections that are open.
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

// Read returns what arrived outside of a partition; one that has begun by then is waited for and ends in a reset.
func (c *partitionConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if healed := c.listener.partition(); healed != nil {
		<-healed
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write waits for the end of a partition, which resets the connection.
func (c *partitionConn) Write(p []byte) (int, error) {
	if healed := c.listener.partition(); healed != nil {
		<-healed
		return 0, syscall.ECONNRESET
	}
	return c.TCPConn.Write(p)
}

// Close closes the connection and forgets it.
func (c *partitionConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.connections, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
