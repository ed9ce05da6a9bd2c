package agent

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"clayproxy.example/clayproxy/internal/events"
)

func readError(cause error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: cause}
}

// Only the deadline that this agent set is a time-out; whatever error of the kernel's shows that a
// connection broke, it was reset.
func TestBrokenConnectionsAreResets(t *testing.T) {
	want := map[error]events.Status{
		readError(os.ErrDeadlineExceeded): events.Timeout,
		io.EOF:                            events.Reset,
		io.ErrUnexpectedEOF:               events.Reset,
		errors.New("answer is not HTTP"):  events.Error,
	}
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EAGAIN, syscall.ECONNRESET, syscall.EPIPE,
		syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM} {
		want[readError(os.NewSyscallError("read", errno))] = events.Reset
	}
	for err, status := range want {
		if got := broken(err); got != status {
			t.Errorf("%v: ended as %d, want %d", err, got, status)
		}
	}
}
