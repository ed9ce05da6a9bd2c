package agenttest

import (
	"net"
	"syscall"
	"testing"
)

// HasNoDelay tells whether a connection sends small writes at once.
func HasNoDelay(t testing.TB, nc net.Conn) bool {
	t.Helper()
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	set := false
	err = raw.Control(func(fd uintptr) {
		value, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
		set = err == nil && value != 0
	})
	if err != nil {
		t.Fatal(err)
	}
	return set
}
