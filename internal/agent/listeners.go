package agent

import (
	"net"
	"sync"
)

// Listeners are the sockets that one agent listens on.
type Listeners struct {
	// Clients is where clients connect; nil: nowhere, while everything else of the agent runs.
	Clients net.Listener
	// Shared means that other processes accept from the clients' accept queue too, which outlives this process.
	Shared bool
	// Lock is the path of the file by which such processes find each other.
	Lock string
	// Admin is where the admin endpoint listens; nil: there is none.
	Admin net.Listener
}

// unusedListener is a listener that accepts nobody.
type unusedListener struct {
	closed chan struct{}
	close  func() // closes closed, once
}

func newUnusedListener() unusedListener {
	closed := make(chan struct{})
	return unusedListener{
		closed: closed,
		close:  sync.OnceFunc(func() { close(closed) }),
	}
}

func (l unusedListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l unusedListener) Close() error {
	l.close()
	return nil
}

func (l unusedListener) Addr() net.Addr { return &net.TCPAddr{} }
