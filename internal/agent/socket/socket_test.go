package socket

import (
	"testing"

	"golang.org/x/sys/unix"
)

// An interrupted poll is retried; otherwise a client that has closed its connection would go unnoticed.
func TestPeerCloseIsReportedAfterInterruptedPoll(t *testing.T) {
	calls := 0
	poll := func(fds []unix.PollFd, _ int) (int, error) {
		calls++
		if calls < 3 {
			return -1, unix.EINTR
		}
		fds[0].Revents = unix.POLLRDHUP
		return 1, nil
	}
	if !pollDescriptor(0, unix.POLLRDHUP, peerClosedEvents, poll) {
		t.Errorf("hangup not reported after %d polls", calls)
	}
	failing := func([]unix.PollFd, int) (int, error) { return -1, unix.ENOMEM }
	if pollDescriptor(0, unix.POLLRDHUP, peerClosedEvents, failing) {
		t.Error("failed poll reported as a hangup")
	}
}
