package testaddr

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"testing"
)

const (
	// listens is how often the tests listen on one reserved address.
	listens = 3
	// localPortRange is IP_LOCAL_PORT_RANGE of Linux, the bounds of the ports that the system chooses for a socket:
	// the first in the lower 16 bits, the last in the upper ones.
	localPortRange = 51
)

// TestReservedAddressCanBeListenedOn: a server can listen, and again after a restart; a client reaches it.
func TestReservedAddressCanBeListenedOn(t *testing.T) {
	address := Reserve(t)
	for range listens {
		ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(conn.Close(), ln.Close()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestSystemDoesNotGiveOutReservedPort: a socket for which the system may choose the reserved port alone gets none,
// whether it listens or connects, before a server has listened there and after.
func TestSystemDoesNotGiveOutReservedPort(t *testing.T) {
	address := Reserve(t)
	expectNoPort(t, address)
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	expectNoPort(t, address)
}

// expectNoPort fails the test if a socket that may have the port of an address alone gets it.
func expectNoPort(t *testing.T, address string) {
	t.Helper()
	onlyThisPort := func(_, _ string, raw syscall.RawConn) error { return limitToPort(raw, address) }
	config := net.ListenConfig{Control: onlyThisPort}
	if ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0"); err == nil {
		t.Errorf("a listener got %v, which is reserved", ln.Addr())
		_ = ln.Close()
	} else if !errors.Is(err, syscall.EADDRINUSE) {
		t.Error(err)
	}
	server, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	dialer := net.Dialer{ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		return limitToPort(raw, address)
	}}
	if conn, err := dialer.DialContext(t.Context(), "tcp", server.Addr().String()); err == nil {
		t.Errorf("a connection got %v, which is reserved", conn.LocalAddr())
		_ = conn.Close()
	} else if !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Error(err)
	}
}

// limitToPort leaves the system the port of an address alone to choose for a socket.
func limitToPort(raw syscall.RawConn, address string) error {
	port := int(netip.MustParseAddrPort(address).Port())
	var optionErr error
	err := raw.Control(func(socket uintptr) {
		optionErr = syscall.SetsockoptInt(int(socket), syscall.IPPROTO_IP, localPortRange, port<<16|port)
	})
	return errors.Join(err, os.NewSyscallError("setsockopt", optionErr))
}
