package agenttest

import (
	"net"
	"syscall"
	"testing"
)

// HasNoDelay reports whether TCP_NODELAY is set on a connection, so that small writes are sent at once.
func HasNoDelay(tb testing.TB, conn net.Conn) bool {
	tb.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		tb.Fatal(err)
	}
	set := false
	err = raw.Control(func(fd uintptr) {
		value, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		set = err == nil && value != 0
	})
	if err != nil {
		tb.Fatal(err)
	}
	return set
}
