// Package socket inspects sockets without blocking: whether the peer has closed the connection, whether an idle
// connection is still usable, and which bytes have arrived.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Expired is a deadline in the past. Set on a connection, it ends blocked reads and writes immediately.
var Expired = time.Unix(1, 0)

// peerClosedEvents are the poll(2) events that report that the peer has closed its side or that the connection failed.
const peerClosedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// pollFunc is the signature of unix.Poll.
type pollFunc func(fds []unix.PollFd, timeoutMs int) (int, error)

// PeerClosed reports whether the peer has closed its side of the connection, even if bytes before the close are still
// unread. It returns false if conn is not a socket.
func PeerClosed(conn net.Conn) bool { return pollSocket(conn, unix.POLLRDHUP, peerClosedEvents) }

// IsReadable reports whether a connection has bytes to read or a listener has a connection to accept. It returns false
// for anything that is not a socket.
func IsReadable(socket any) bool { return pollSocket(socket, unix.POLLIN, unix.POLLIN) }

// withDescriptor calls use with the descriptor of a socket, also after a deadline of the socket, and reports whether it
// did. It does not for anything that is not an open socket.
func withDescriptor(socket any, use func(fd int)) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { use(int(fd)) }) == nil
}

// pollSocket polls a socket for events without blocking, and reports whether any of the wanted events has occurred.
func pollSocket(socket any, events, wanted int16) bool {
	occurred := false
	used := withDescriptor(socket, func(fd int) { occurred = pollDescriptor(int32(fd), events, wanted, unix.Poll) })
	return used && occurred
}

// pollDescriptor polls a file descriptor like pollSocket. It retries if poll(2) is interrupted by a signal.
func pollDescriptor(fd int32, events, wanted int16, poll pollFunc) bool {
	fds := []unix.PollFd{{Fd: fd, Events: events}}
	n, err := poll(fds, 0)
	for errors.Is(err, unix.EINTR) {
		n, err = poll(fds, 0)
	}
	return err == nil && n > 0 && fds[0].Revents&wanted != 0
}

// ReadAvailable reads the bytes available on a non-blocking socket. It returns 0 if there are none, at the end of the
// stream, and after an error.
func ReadAvailable(fd int, buffer []byte) int {
	n, err := unix.Read(fd, buffer)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(fd, buffer)
	}
	return max(n, 0)
}

// Peek copies the bytes that have arrived on a connection to buffer without reading them, and returns their number.
func Peek(conn net.Conn, buffer []byte) int {
	peeked := 0
	withDescriptor(conn, func(fd int) {
		n, _, err := unix.Recvfrom(fd, buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err == nil {
			peeked = n
		}
	})
	return peeked
}

// discardBufferSize is the size of the buffer of Discard, and maxDiscarded the most that it reads, in bytes.
const discardBufferSize, maxDiscarded = 4 << 10, 1 << 20

// Discard reads the bytes that have arrived on a connection, without blocking.
func Discard(conn net.Conn) {
	withDescriptor(conn, func(fd int) {
		var buffer [discardBufferSize]byte
		for total := 0; total < maxDiscarded; {
			n := ReadAvailable(fd, buffer[:])
			if n == 0 {
				return
			}
			total += n
		}
	})
}

// UnreadBytes returns the number of bytes that have arrived on a connection and have not been read. It returns 0 if
// that is not known.
func UnreadBytes(conn net.Conn) int {
	unread := 0
	withDescriptor(conn, func(fd int) {
		if n, err := unix.IoctlGetInt(fd, unix.TIOCINQ); err == nil {
			unread = n
		}
	})
	return unread
}

// IsOpenAndIdle reports whether a connection is open and has no unread bytes. It returns true if conn is not a socket.
// An idle connection that the peer has closed, or on which it has sent unsolicited bytes, must not carry a request: the
// request could end in a reset after it has already executed.
func IsOpenAndIdle(conn net.Conn) bool {
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
