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
	// listens is the number of times that a test listens on a reserved address.
	listens = 3
	// localPortRange is the Linux socket option IP_LOCAL_PORT_RANGE, which bounds the ports that the system may choose
	// for a socket. The value has the first port in the lower 16 bits and the last port in the upper 16 bits.
	localPortRange = 51
)

// TestReservedAddressCanBeListenedOn checks that a server can listen on a reserved address, also after a restart, and
// that a client can connect to it.
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

// TestSystemDoesNotAssignReservedPort checks that the system does not assign a reserved port: a socket for which it may
// choose only this port gets none, whether it listens or connects, before and after a server has listened on the port.
func TestSystemDoesNotAssignReservedPort(t *testing.T) {
	address := Reserve(t)
	expectPortNotAssigned(t, address)
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	expectPortNotAssigned(t, address)
}

// expectPortNotAssigned fails the test if a socket that is limited to the port of an address gets it.
func expectPortNotAssigned(t *testing.T, address string) {
	t.Helper()
	onlyThisPort := func(_, _ string, raw syscall.RawConn) error { return limitToPort(raw, address) }
	config := net.ListenConfig{Control: onlyThisPort}
	if ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0"); err == nil {
		t.Errorf("a listener got the reserved address %v", ln.Addr())
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
		t.Errorf("a connection got the reserved address %v", conn.LocalAddr())
		_ = conn.Close()
	} else if !errors.Is(err, syscall.EADDRNOTAVAIL) {
		t.Error(err)
	}
}

// limitToPort limits the ports that the system may choose for a socket to the port of an address.
func limitToPort(raw syscall.RawConn, address string) error {
	port := int(netip.MustParseAddrPort(address).Port())
	var optionErr error
	err := raw.Control(func(socket uintptr) {
		optionErr = syscall.SetsockoptInt(int(socket), syscall.IPPROTO_IP, localPortRange, port<<16|port)
	})
	return errors.Join(err, os.NewSyscallError("setsockopt", optionErr))
}
