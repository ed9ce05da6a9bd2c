package agent

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hangupEvents are the events that say that a socket's peer has closed its side, or the connection broke.
const peerClosedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// pollFunc is poll(2).
type pollFunc func(fds []unix.PollFd, timeoutMs int) (int, error)

// polled asks the system for poll events of a socket, without waiting, and tells whether one of
// those that count has come. Of what is no socket nothing is known.
func pollSocket(socket any, ask, count int16) bool {
	sc, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	come := false
	err = raw.Control(func(fd uintptr) { come = pollDescriptor(int32(fd), ask, count, unix.Poll) })
	return err == nil && come
}

// pollNow is polled for a descriptor. It looks again where poll(2) was interrupted.
func pollDescriptor(fd int32, ask, count int16, poll pollFunc) bool {
	fds := []unix.PollFd{{Fd: fd, Events: ask}}
	n, err := poll(fds, 0)
	for err == unix.EINTR {
		n, err = poll(fds, 0)
	}
	return err == nil && n > 0 && fds[0].Revents&count != 0
}

// readNow reads what a socket, which does not block, has by now; 0 bytes where that is nothing or it ended.
func readNow(fd int, p []byte) int {
	n, err := unix.Read(fd, p)
	for err == unix.EINTR {
		n, err = unix.Read(fd, p)
	}
	return max(n, 0)
}
