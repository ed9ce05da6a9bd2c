package agent

import "golang.org/x/sys/unix"

// pollFunc is poll(2).
type pollFunc func(fds []unix.PollFd, timeoutMs int) (int, error)

// hungUp looks whether a socket's peer has closed its side, or the connection broke. It does not wait,
// and looks again where poll(2) was interrupted.
func hungUp(fd int32, poll pollFunc) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	n, err := poll(fds, 0)
	for err == unix.EINTR {
		n, err = poll(fds, 0)
	}
	return err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
