package agenttest

import (
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
)

// AcceptErrnos are errors that accept(2) may return temporarily and that net/http takes for the listener's
// end.
var AcceptErrnos = []syscall.Errno{
	syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ECONNABORTED,
}

// flakyListener fails each accept once with every one of AcceptErrnos before it accepts.
type flakyListener struct {
	net.Listener
	mu   sync.Mutex
	next int
}

// NewFlakyListener returns a listener whose every accept fails once with each of AcceptErrnos before it accepts.
func NewFlakyListener(t *testing.T) net.Listener {
	t.Helper()
	return &flakyListener{Listener: Listen(t)}
}

// Accept fails, or accepts once each of AcceptErrnos has been returned.
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
