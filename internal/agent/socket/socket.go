// Package socket looks at sockets without waiting: whether the peer has closed, whether an idle connection is still
// usable, and what has arrived.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Expired is a deadline that makes whatever reads or writes end at once.
var Expired = time.Unix(1, 0)

// peerClosedEvents are the events that say that a socket's peer has closed its side, or the connection broke.
const peerClosedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// pollFunc is poll(2).
type pollFunc func(fds []unix.PollFd, timeoutMs int) (int, error)

// PeerClosed reports whether the peer has closed its side of a connection, also behind bytes that nobody has read.
// Of what is not a socket that is not known.
func PeerClosed(conn net.Conn) bool { return pollSocket(conn, unix.POLLRDHUP, peerClosedEvents) }

// IsReadable reports whether a connection has bytes to read, or a listener a connection to accept. Of what is not a
// socket that is not known.
func IsReadable(socket any) bool { return pollSocket(socket, unix.POLLIN, unix.POLLIN) }

// pollSocket polls a socket for events without waiting, and reports whether one of the wanted ones has occurred.
func pollSocket(socket any, events, wanted int16) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	occurred := false
	err = raw.Control(func(fd uintptr) { occurred = pollDescriptor(int32(fd), events, wanted, unix.Poll) })
	return err == nil && occurred
}

// pollDescriptor is pollSocket for a descriptor. It polls again where poll(2) was interrupted.
func pollDescriptor(fd int32, events, wanted int16, poll pollFunc) bool {
	fds := []unix.PollFd{{Fd: fd, Events: events}}
	n, err := poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = poll(fds, 0)
	}
	return err == nil && n > 0 && fds[0].Revents&wanted != 0
}

// ReadNow reads what a non-blocking socket has by now; 0 bytes where that is nothing or it ended.
func ReadNow(fd int, buffer []byte) int {
	n, err := unix.Read(fd, buffer)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(fd, buffer)
	}
	return max(n, 0)
}

// IsIdleAlive reports whether an idle connection is still open and silent. One that the peer closed, or that
// brings bytes nobody asked for, must not carry a request: the request would end as a reset, which may have
// executed.
func IsIdleAlive(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}
