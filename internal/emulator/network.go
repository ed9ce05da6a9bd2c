package emulator

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// listenTCP opens a listener at an IP address and port of this machine.
func listenTCP(address string) (*net.TCPListener, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addrPort))
}

// dialTCP opens a connection within a time; 0: without a bound.
func dialTCP(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// zoneDelay returns the one-way network delay between two zones.
func (e *Emulator) zoneDelay(a, b int) time.Duration {
	if a == b {
		return 0
	}
	return e.config.ZoneDelay
}
