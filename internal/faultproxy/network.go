package faultproxy

import (
	"errors"
	"net"
	"net/netip"
)

const (
	// reservationPort is the port of the listener that reserves a network of addresses.
	reservationPort = 19999
	// firstNetwork and endNetwork bound the numbers of networks, the second byte of their addresses.
	firstNetwork = 10
	endNetwork   = 250
	// prefixesPerNetwork is the number of 16-bit address prefixes in a network. A proxy uses one for its processes and
	// one for their relays.
	prefixesPerNetwork = 2
)

var errNoNetwork = errors.New("faultproxy: no free network of loopback addresses")

// Network is a network of loopback addresses that no other proxy or emulator on this machine uses: the addresses that
// begin with 127.Number and 127.(Number+1).
type Network struct {
	Number      byte
	Reservation net.Listener // reserves the network until it is closed; nothing connects to it
}

// ReserveNetwork reserves a free network. The caller has to close its Reservation.
func ReserveNetwork() (Network, error) {
	for number := byte(firstNetwork); number < endNetwork; number += prefixesPerNetwork {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, number, 255, 254}), reservationPort)
		if reservation, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address)); err == nil {
			return Network{Number: number, Reservation: reservation}, nil
		}
	}
	return Network{}, errNoNetwork
}
