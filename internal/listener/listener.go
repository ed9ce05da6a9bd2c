// Package listener provides a net.Listener that continues after a temporary error of accept.
//
// accept(2) of Linux returns network errors that were pending on the new connection, and its manual
// page says to treat them like EAGAIN; a lack of descriptors or memory is temporary as well. Serve
// of net/http returns at most of these errors, and raft's transport backs off for up to a second.
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
	// minDelay is the backoff after a first failure, and after each failure of a single connection.
	minDelay = time.Millisecond
	// maxDelay bounds the backoff, which grows by backoffFactor while a resource is exhausted.
	maxDelay      = 32 * time.Millisecond
	backoffFactor = 2
	// logInterval is the minimum time between two lines of LogFailures.
	logInterval = time.Second
)

// FailureReporter is called for each temporary error of accept, with the number of such errors so
// far, by the goroutine that accepts.
type FailureReporter func(err error, failures uint64)

// Listener is a net.Listener whose Accept retries after a temporary error.
type Listener struct {
	net.Listener
	report   FailureReporter
	failures atomic.Uint64
	closed   chan struct{}
	// closeOnce closes the wrapped listener at its first call and returns the same error at each.
	closeOnce func() error
}

// New wraps a listener. Closing the result closes it.
func New(inner net.Listener, report FailureReporter) *Listener {
	l := &Listener{Listener: inner, report: report, closed: make(chan struct{})}
	l.closeOnce = sync.OnceValue(func() error {
		close(l.closed)
		return inner.Close()
	})
	return l
}

// Accept returns the next connection, or a permanent error: net.ErrClosed after Close.
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

// Close closes the listener and ends the backoff of an Accept.
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

// Failures returns the number of temporary errors of accept so far.
func (l *Listener) Failures() uint64 { return l.failures.Load() }

// wait waits for the delay, or returns false as soon as the listener is closed.
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

// nextDelay increases the backoff while a resource of this machine is exhausted. Any other error took
// one connection out of the queue, and the next connection may be good.
func nextDelay(err error, previous time.Duration) time.Duration {
	if !isOneOf(err, exhaustionErrors) {
		return minDelay
	}
	return min(max(backoffFactor*previous, minDelay), maxDelay)
}

// exhaustionErrors are the errors of accept(2) by which the process or the system has no descriptor,
// buffer or memory left.
var exhaustionErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// permanentErrors are the errors of accept(2) by which the descriptor can't accept, so that a retry
// would fail too. EOPNOTSUPP is not among them, as it may be the pending error of a connection.
var permanentErrors = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK}

// Temporary reports whether an error of accept may not occur on a retry. That is so for all of the
// kernel's errors except those of an unusable descriptor.
func Temporary(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !slices.Contains(permanentErrors, errno)
}

// isOneOf reports whether an error is one of a list of the kernel's errors.
func isOneOf(err error, errnos []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(errnos, errno)
}

// LogFailures returns a FailureReporter that logs at most one line a second, with the number of
// failures so far.
func LogFailures(log *slog.Logger, name string) FailureReporter {
	limit := rate.NewLimiter(rate.Every(logInterval), 1)
	return func(err error, failures uint64) {
		if limit.Allow() {
			log.Warn("accept failed", "listener", name, "failures", failures, "err", err)
		}
	}
}
