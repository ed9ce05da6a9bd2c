package emulator

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// listenTCP listens at an IP address and port of this machine.
func listenTCP(address string) (*net.TCPListener, error) {
	addrPort, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", net.TCPAddrFromAddrPort(addrPort))
}

// dialTCP opens a connection. A timeout of 0 means no timeout.
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
