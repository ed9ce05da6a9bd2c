// Package testaddr reserves addresses for the tests of servers that open their listeners themselves.
package testaddr

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"testing"
)

// Reserve returns a loopback address (host:port) on which this process may listen over TCP, and listen again, until
// the test ends. A bound socket that never listens holds the port: the system gives it neither to a listener on any
// port nor to an outgoing connection, while net.Listen, which sets SO_REUSEADDR as this socket does, may share it.
func Reserve(tb testing.TB) string {
	tb.Helper()
	address, err := reserve(tb)
	if err != nil {
		tb.Fatal(fmt.Errorf("reserve an address: %w", err))
	}
	return address.String()
}

// reserve binds a socket, which is closed when the test ends, and returns its address.
func reserve(tb testing.TB) (netip.AddrPort, error) {
	tb.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return netip.AddrPort{}, os.NewSyscallError("socket", err)
	}
	tb.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, os.NewSyscallError("setsockopt", err)
	}
	loopback := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback.As4()}); err != nil {
		return netip.AddrPort{}, os.NewSyscallError("bind", err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return netip.AddrPort{}, os.NewSyscallError("getsockname", err)
	}
	return netip.AddrPortFrom(loopback, uint16(bound.(*syscall.SockaddrInet4).Port)), nil
}
