package agent

import (
	"context"
	"net"
)

// Listeners are what one agent listens on.
type Listeners struct {
	// Clients is where clients come; nil: nowhere, and all else of the agent runs (it is hollow).
	Clients net.Listener
	// Shared tells that other processes accept from the clients' queue too: it
	// outlives this process.
	Shared bool
	// Lock is the file that tells such processes of each other.
	Lock string
	// Operators is their door; nil: there is none.
	Operators net.Listener
}

// noClients is a listener to which nobody comes.
type unusedListener struct {
	closed context.Context
	close  context.CancelFunc
}

func newUnusedListener() unusedListener {
	closed, stop := context.WithCancel(context.Background())
	return unusedListener{closed, stop}
}

func (l unusedListener) Accept() (net.Conn, error) {
	<-l.closed.Done()
	return nil, net.ErrClosed
}

func (l unusedListener) Close() error {
	l.close()
	return nil
}

func (l unusedListener) Addr() net.Addr { return &net.TCPAddr{} }
