package listener

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failingListener is a listener whose Accept returns each of its errors in turn and then succeeds.
type failingListener struct {
	net.Listener
	errs chan error
}

// acceptError returns an error of accept(2) in the form in which a net.Listener returns it.
func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// newFailingListener returns a failingListener with errors of accept(2).
func newFailingListener(errnos ...syscall.Errno) failingListener {
	l := failingListener{errs: make(chan error, len(errnos))}
	for _, errno := range errnos {
		l.errs <- acceptError(errno)
	}
	return l
}

// Accept returns the next error, or a connection if no error is left.
func (l failingListener) Accept() (net.Conn, error) {
	select {
	case err := <-l.errs:
		return nil, err
	default:
		conn, _ := net.Pipe()
		return conn, nil
	}
}

// Close implements net.Listener. There is nothing to close.
func (l failingListener) Close() error { return nil }

// temporaryErrors are the errors of accept(2) except those of an unusable descriptor.
var temporaryErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM,
	syscall.ECONNABORTED, syscall.EINTR, syscall.EAGAIN, syscall.ENETDOWN, syscall.ENOPROTOOPT,
	syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
	syscall.ETIMEDOUT,
}

// TestAcceptContinuesAfterTemporaryErrors checks that each temporary error is counted and reported, and that the
// connection after them is accepted.
func TestAcceptContinuesAfterTemporaryErrors(t *testing.T) {
	var reported []error
	l := New(newFailingListener(temporaryErrors...), func(err error, _ uint64) { reported = append(reported, err) })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		t.Error(err)
	}
	if got := l.Failures(); got != uint64(len(temporaryErrors)) || len(reported) != len(temporaryErrors) {
		t.Errorf("%d errors counted and %d reported, want %d", got, len(reported), len(temporaryErrors))
	}
}

// TestPermanentErrorsAreReturned checks that Accept returns the errors of the listener itself.
func TestPermanentErrorsAreReturned(t *testing.T) {
	for _, want := range []error{net.ErrClosed, io.EOF, acceptError(syscall.EBADF), acceptError(syscall.EINVAL)} {
		l := failingListener{errs: make(chan error, 1)}
		l.errs <- want
		if _, err := New(l, nil).Accept(); !errors.Is(err, want) {
			t.Errorf("Accept returned error %v, want %v", err, want)
		}
	}
}

// TestBackoff checks that the backoff grows up to maxDelay while a resource is exhausted, and that it does not grow
// with errors of single connections.
func TestBackoff(t *testing.T) {
	var delay time.Duration
	for range 20 {
		delay = nextDelay(acceptError(syscall.ENFILE), delay)
	}
	if delay != maxDelay {
		t.Errorf("after 20 errors for lack of descriptors the delay is %v, want %v", delay, maxDelay)
	}
	if got := nextDelay(acceptError(syscall.ECONNABORTED), delay); got != minDelay {
		t.Errorf("after the error of a connection the delay is %v, want %v", got, minDelay)
	}
}

// TestCloseEndsBackoff checks that a closed listener does not wait.
func TestCloseEndsBackoff(t *testing.T) {
	l := New(failingListener{}, nil)
	if err := l.Close(); err != nil {
		t.Error(err)
	}
	if l.wait(time.Hour) {
		t.Error("a closed listener waited")
	}
}

// TestLogFailuresIsRateLimited checks that a listener whose every call fails logs at most one line per logInterval.
func TestLogFailuresIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	report := LogFailures(slog.New(slog.NewTextHandler(&out, nil)), "clients")
	for i := range 1000 {
		report(acceptError(syscall.ENOBUFS), uint64(i))
	}
	if lines := strings.Count(out.String(), "\n"); lines == 0 || lines > 100 {
		t.Errorf("%d log lines for 1000 errors, want 1 to 100", lines)
	}
}
