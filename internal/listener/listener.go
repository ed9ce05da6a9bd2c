// Package listener makes a net.Listener that goes on after an accept that failed for a moment.
//
// accept(2) of Linux passes on network errors that were pending on the new connection and says
// to treat them like EAGAIN; a lack of descriptors or memory passes as well. net/http's Serve
// returns at most of these errors and raft's transport backs off for up to a second. This
// listener tries again within milliseconds, as connections wait in the queue meanwhile, and
// returns only an error that lasts.
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
	// minDelay is the wait after a first failure, and after each that spent one connection.
	minDelay = time.Millisecond
	// maxDelay bounds the wait, which doubles while a resource is lacking.
	maxDelay = 32 * time.Millisecond
	// logEvery is how often LogFailures writes a line at the most.
	logEvery = time.Second
)

// Report is told of each accept that failed for a moment, and how many did so far. It is called
// by the goroutine that accepts.
type FailureReporter func(err error, failures uint64)

// Listener is a net.Listener whose Accept tries again after a momentary error.
type Listener struct {
	net.Listener
	report   FailureReporter
	failures atomic.Uint64
	closed   chan struct{}
	close    func() error
}

// New wraps a listener, which belongs to the result from then on.
func New(inner net.Listener, report FailureReporter) *Listener {
	l := &Listener{Listener: inner, report: report, closed: make(chan struct{})}
	l.close = sync.OnceValue(func() error {
		close(l.closed)
		return inner.Close()
	})
	return l
}

// Accept returns the next connection, or an error that lasts: net.ErrClosed after Close.
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

// Close closes the listener and ends the wait of an Accept.
func (l *Listener) Close() error { return l.close() }

// SyscallConn is the listening socket's (syscall.Conn); an error where there is none.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// Failures is the number of accepts that failed for a moment.
func (l *Listener) Failures() uint64 { return l.failures.Load() }

// wait returns false at once where the listener is closed.
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

// nextDelay doubles the wait while this machine lacks something. Any other error took one
// connection out of the queue, and the next may be good.
func nextDelay(err error, previous time.Duration) time.Duration {
	if !isOneOf(err, exhaustionErrors) {
		return minDelay
	}
	return min(max(2*previous, minDelay), maxDelay)
}

// exhausted are the errors of accept(2) that say that the process or the system has no descriptor,
// buffer or memory left.
var exhaustionErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// broken are the errors of accept(2) that say that the descriptor can't accept: another call
// would fail alike. EOPNOTSUPP is not among them, as it may be one connection's pending error.
var permanentErrors = []syscall.Errno{syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK}

// Momentary tells whether an accept's error is one that another call may not meet: each of the
// kernel's errors but those of a broken descriptor.
func Temporary(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !slices.Contains(permanentErrors, errno)
}

func isOneOf(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}

// LogFailures reports to a log, one line a second at the most; each line has the count so far.
func LogFailures(log *slog.Logger, name string) FailureReporter {
	limit := rate.NewLimiter(rate.Every(logEvery), 1)
	return func(err error, failures uint64) {
		if limit.Allow() {
			log.Warn("accept failed", "listener", name, "failures", failures, "err", err)
		}
	}
}
