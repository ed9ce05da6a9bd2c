package faultproxy

import (
	"errors"
	"net"
	"net/netip"
)

const (
	// reservationPort is the port by which a network of addresses is reserved.
	reservationPort = 19999
	// firstNetwork and endNetwork bound the second byte of the addresses.
	firstNetwork = 10
	endNetwork   = 250
	// bytesPerNetwork is how many values of the second byte a network has: a proxy has one for the processes and one
	// for their relays.
	bytesPerNetwork = 2
)

var errNoNetwork = errors.New("faultproxy: no network of loopback addresses is free")

// Network is a network of loopback addresses that no other proxy or emulator on this machine has: those that begin
// with 127.Number and 127.(Number+1).
type Network struct {
	Number      byte
	Reservation net.Listener // the network is the caller's until it is closed; nothing connects to it
}

// ReserveNetwork reserves a network.
func ReserveNetwork() (Network, error) {
	for number := byte(firstNetwork); number < endNetwork; number += bytesPerNetwork {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, number, 255, 254}), reservationPort)
		if reservation, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address)); err == nil {
			return Network{Number: number, Reservation: reservation}, nil
		}
	}
	return Network{}, errNoNetwork
}
