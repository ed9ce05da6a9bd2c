package agent

import (
	"log/slog"
	"net"
	"sync"

	"fernbeam.example/fernbeam/internal/agent/requestids"
)

// Listeners holds the listeners of an agent.
type Listeners struct {
	// Clients accepts the client connections. If it is nil, the agent runs without clients.
	Clients net.Listener
	// Shared means that other processes also accept connections from the accept queue of Clients, which outlives this
	// process.
	Shared bool
	// LockPath is the path of the file that processes which share Clients lock in order to detect each other.
	LockPath string
	// ClientIDsPath is the path of the file in which those processes keep the ids of requests that must not execute twice.
	ClientIDsPath string
	// HandoverPath is the path of the file in which those processes hand over what they know; empty if they don't.
	HandoverPath string
	// Admin accepts the connections to the admin endpoint; nil if there is no admin endpoint.
	Admin net.Listener
}

// openClientIDs returns the registry of request ids that processes which share Clients share too. It is nil if there is
// none.
func (l *Listeners) openClientIDs(log *slog.Logger) *requestids.Registry {
	if !l.Shared {
		return nil
	}
	ids, err := requestids.Open(l.ClientIDsPath)
	if err != nil {
		log.Warn("request ids are not shared with other processes", "err", err)
		return nil
	}
	return ids
}

// unusedListener is a listener that accepts no connections.
type unusedListener struct {
	closed chan struct{}
	close  func() // closes the channel closed; it may be called more than once
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
