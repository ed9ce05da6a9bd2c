package upstream

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"fernbeam.example/fernbeam/internal/balancer"
)

// readError returns the error of a failed read on a TCP connection.
func readError(cause error) error {
	return &net.OpError{Op: "read", Net: "tcp", Err: cause}
}

// Only the deadline that this agent set is a timeout. Any kernel error that shows that the connection broke counts as a
// reset.
func TestBrokenConnectionsAreResets(t *testing.T) {
	want := map[error]balancer.Status{
		readError(os.ErrDeadlineExceeded):  balancer.StatusTimeout,
		io.EOF:                             balancer.StatusReset,
		io.ErrUnexpectedEOF:                balancer.StatusReset,
		errors.New("response is not HTTP"): balancer.StatusError,
	}
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.EAGAIN, syscall.ECONNRESET, syscall.EPIPE, syscall.EHOSTUNREACH,
		syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		want[readError(os.NewSyscallError("read", errno))] = balancer.StatusReset
	}
	for err, status := range want {
		if got := brokenStatus(err); got != status {
			t.Errorf("%v: status %d, want %d", err, got, status)
		}
	}
}
