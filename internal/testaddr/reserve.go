// Package testaddr reserves addresses for tests of servers that open their own listeners.
package testaddr

import (
	"fmt"
	"net/netip"
	"os"
	"syscall"
	"testing"
)

// Reserve returns a loopback address (host:port) on which this process can listen for TCP connections, any number of
// times, until the test ends. The port is held by a bound socket that never listens. The system therefore assigns it
// neither to listeners on port 0 nor to outgoing connections, while net.Listen can share it, because it sets
// SO_REUSEADDR as this socket does.
func Reserve(tb testing.TB) string {
	tb.Helper()
	address, err := reserve(tb)
	if err != nil {
		tb.Fatal(fmt.Errorf("reserving an address: %w", err))
	}
	return address.String()
}

// reserve binds a socket, to be closed when the test ends, and returns its address.
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
