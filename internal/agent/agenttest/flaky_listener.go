package agenttest

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
)

// AcceptErrnos are temporary errors of accept(2) that net/http treats as the end of the listener.
var AcceptErrnos = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ECONNABORTED,
}

// flakyListener is a listener that returns each of AcceptErrnos once before it accepts a connection.
type flakyListener struct {
	net.Listener
	mu   sync.Mutex
	next int
}

// NewFlakyListener returns a listener that, before each connection it accepts, returns each of AcceptErrnos once.
func NewFlakyListener(t *testing.T) net.Listener {
	t.Helper()
	return &flakyListener{Listener: Listen(t)}
}

// Accept returns the next of AcceptErrnos. Once it has returned all of them, it accepts a connection and starts over.
func (l *flakyListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	i := l.next
	l.next = (i + 1) % (len(AcceptErrnos) + 1)
	l.mu.Unlock()
	if i < len(AcceptErrnos) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", AcceptErrnos[i])}
	}
	return l.Listener.Accept()
}
