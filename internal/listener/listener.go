// Package listener provides a net.Listener that continues to accept after a temporary error.
//
// On Linux, accept(2) returns network errors that were pending on the new connection, and its manual
// page says to treat them like EAGAIN. A lack of descriptors or memory is temporary too. Serve of
// net/http returns on most of these errors, and raft's transport backs off for up to a second.
// This listener retries within milliseconds, while connections wait in the kernel's queue, and
// returns only permanent errors.
package listener

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"
)

const (
	// minDelay is the backoff after the first error, and after each error that concerns a single connection.
	minDelay = time.Millisecond
	// maxDelay is the upper bound of the backoff, which grows by backoffFactor while a resource is exhausted.
	maxDelay      = 32 * time.Millisecond
	backoffFactor = 2
	// logInterval is the minimum time between two log lines of a FailureReporter that LogFailures
	// returned.
	logInterval = time.Second
)

// FailureReporter is called by Accept for each temporary error, with the number of temporary errors so far.
type FailureReporter func(err error, failures uint64)

// Listener is a net.Listener whose Accept retries after a temporary error.
type Listener struct {
	net.Listener
	report   FailureReporter
	failures atomic.Uint64
	closed   chan struct{}
	// closeOnce closes the wrapped listener the first time it is called. Every call returns the error from
	// that close.
	closeOnce func() error
}

// New returns a Listener that wraps inner and calls report for each temporary error. Closing the Listener
// closes inner.
func New(inner net.Listener, report FailureReporter) *Listener {
	l := &Listener{Listener: inner, report: report, closed: make(chan struct{})}
	l.closeOnce = sync.OnceValue(func() error {
		close(l.closed)
		return inner.Close()
	})
	return l
}

// Accept returns the next connection or a permanent error, such as net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	var delay time.Duration
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if !Temporary(err) {
			return nil, err
		}
		l.report(err, l.failures.Add(1))
		delay = nextDelay(err, delay)
		if !l.wait(delay) {
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and interrupts the backoff of Accept.
func (l *Listener) Close() error { return l.closeOnce() }

// SyscallConn returns the raw listening socket (syscall.Conn), or errors.ErrUnsupported if the
// wrapped listener has none.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Failures returns the number of temporary errors so far.
func (l *Listener) Failures() uint64 { return l.failures.Load() }

// wait waits for the delay and returns true, or returns false as soon as the listener is closed.
func (l *Listener) wait(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// nextDelay returns the backoff after an error. It grows while a resource of this machine is exhausted.
// Any other error removed one connection from the queue and says nothing about the next one.
func nextDelay(err error, previous time.Duration) time.Duration {
	if !isOneOf(err, exhaustionErrors) {
		return minDelay
	}
	return min(max(backoffFactor*previous, minDelay), maxDelay)
}

// exhaustionErrors are the errors of accept(2) that say that the process or the system has no descriptor,
// buffer or memory left.
var exhaustionErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// permanentErrors are the errors of accept(2) that say that the descriptor can't accept connections, so
// that a retry would fail too. EOPNOTSUPP is not one of them, because it may be the pending error of a
// connection.
var permanentErrors = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK}

// Temporary reports whether accept may succeed on a retry after err. That is so for all errors of the
// kernel except those of an unusable descriptor.
func Temporary(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !slices.Contains(permanentErrors, errno)
}

// isOneOf reports whether err is one of the given errors of the kernel.
func isOneOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// LogFailures returns a FailureReporter that logs at most one line per logInterval, with the listener's
// name and the number of errors so far.
func LogFailures(log *slog.Logger, name string) FailureReporter {
	limit := rate.NewLimiter(rate.Every(logInterval), 1)
	return func(err error, failures uint64) {
		if limit.Allow() {
			log.Warn("accept failed", "listener", name, "failures", failures, "err", err)
		}
	}
}
