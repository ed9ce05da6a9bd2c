package socket

import (
	"testing"

	"golang.org/x/sys/unix"
)

// An interrupted poll of a connection is repeated: the client may have closed it.
func TestPeerCloseIsSeenAfterAnInterruptedPoll(t *testing.T) {
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
		t.Errorf("no hangup seen after %d polls", calls)
	}
	failing := func([]unix.PollFd, int) (int, error) { return -1, unix.ENOMEM }
	if pollDescriptor(0, unix.POLLRDHUP, peerClosedEvents, failing) {
		t.Error("a poll that failed was taken for a hangup")
	}
}
