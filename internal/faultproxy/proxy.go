// Package faultproxy relays UDP and TCP between processes on one machine and injects network faults. For each ordered
// pair of processes a rule can cut the network, delay packets with jitter, and lose, duplicate, reorder or replay them.
//
// Every process has its own loopback address, by which the proxy identifies the sender. The other processes use the
// address of the process's relay. A cut is silent, like a network partition: packets are dropped, open connections stay
// open but deliver nothing, and new connections get no response. When the cut ends, these connections are reset. If a
// process is not running, its relay resets new connections, because the process's address refuses them. The faults of a
// packet are chosen by a random number generator for each ordered pair, which is seeded with the proxy's seed and the
// pair.
package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
)

const (
	// processPort is the port of every process and relay; their addresses differ.
	processPort = 19998
	// maxProcesses bounds the number of processes, and addressesPerSubnet the number of those whose addresses have the
	// same third byte.
	maxProcesses       = 50_000
	addressesPerSubnet = 250
	// receiveBufferBytes is the size of a relay's receive buffer.
	receiveBufferBytes = 4 << 20
)

var errTooManyProcesses = errors.New("faultproxy: too many processes")

// Counts are the counters of a proxy.
type Counts struct {
	Packets uint64 // packets received
	Bytes   uint64 // total size of these packets
	Lost    uint64 // packets dropped by Rule.Loss
	Cut     uint64 // packets and chunks of connections dropped by a cut
	Streams uint64 // connections accepted
}

// Proxy has a relay for each of its processes. Its methods are safe for concurrent use.
type Proxy struct {
	seed    uint64
	network Network

	mu          sync.Mutex
	relays      map[string]*relay // by process name
	byProcessIP map[netip.Addr]*relay
	defaultRule Rule
	rules       map[pair]Rule
	partitions  map[string]Partition // by name
	random      map[pair]*rand.Rand
	changed     chan struct{} // closed and replaced at each change of rules or partitions
	closed      chan struct{}
	wg          sync.WaitGroup

	packets, bytes, lost, cut, streams atomic.Uint64
}

// pair is an ordered pair of processes.
type pair struct{ from, to string }

// relay has the sockets through which the other processes reach a process.
type relay struct {
	name        string         // name of the process
	processAddr netip.AddrPort // address at which the process listens and whose IP it connects from
	relayAddr   netip.AddrPort
	udp         *net.UDPConn
	tcp         *net.TCPListener
}

// New returns a proxy without processes. It reserves a network of addresses, so that proxies in several programs can
// run at the same time.
func New(seed uint64) (*Proxy, error) {
	network, err := ReserveNetwork()
	if err != nil {
		return nil, err
	}
	return &Proxy{
		seed:        seed,
		network:     network,
		relays:      map[string]*relay{},
		byProcessIP: map[netip.Addr]*relay{},
		rules:       map[pair]Rule{},
		partitions:  map[string]Partition{},
		random:      map[pair]*rand.Rand{},
		changed:     make(chan struct{}),
		closed:      make(chan struct{}),
	}, nil
}

// Addresses are the addresses (IP:port) of a process for UDP and TCP.
type Addresses struct {
	Bind      string // address at which the process has to listen, and from whose IP it has to connect
	Advertise string // address of its relay, at which the other processes reach it
}

// AddProcess starts the relay of a new process.
func (p *Proxy) AddProcess(name string) (Addresses, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relays[name] != nil {
		return Addresses{}, fmt.Errorf("faultproxy: process %q already exists", name)
	}
	r, err := p.newRelay(name, len(p.relays)+1)
	if err != nil {
		return Addresses{}, err
	}
	p.relays[name] = r
	p.byProcessIP[r.processAddr.Addr()] = r
	p.wg.Add(1)
	go p.relayPackets(r)
	p.wg.Add(1)
	go p.relayStreams(r)
	return Addresses{Bind: r.processAddr.String(), Advertise: r.relayAddr.String()}, nil
}

// newRelay opens the sockets of the relay of a process. number is the number of the process, from 1.
func (p *Proxy) newRelay(name string, number int) (*relay, error) {
	if number > maxProcesses {
		return nil, errTooManyProcesses
	}
	high, low := byte(number/addressesPerSubnet), byte(number%addressesPerSubnet+1)
	processIP := netip.AddrFrom4([4]byte{127, p.network.Number, high, low})
	relayIP := netip.AddrFrom4([4]byte{127, p.network.Number + 1, high, low})
	r := &relay{
		name:        name,
		processAddr: netip.AddrPortFrom(processIP, processPort),
		relayAddr:   netip.AddrPortFrom(relayIP, processPort),
	}
	var err error
	if r.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.relayAddr)); err != nil {
		return nil, err
	}
	if r.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(r.relayAddr)); err != nil {
		return nil, errors.Join(err, r.udp.Close())
	}
	_ = r.udp.SetReadBuffer(receiveBufferBytes) // with a smaller buffer only more packets are lost under load
	return r, nil
}

// Counts returns the current counters.
func (p *Proxy) Counts() Counts {
	return Counts{
		Packets: p.packets.Load(),
		Bytes:   p.bytes.Load(),
		Lost:    p.lost.Load(),
		Cut:     p.cut.Load(),
		Streams: p.streams.Load(),
	}
}

// Close closes all relays and their connections, and releases the network.
func (p *Proxy) Close() {
	p.mu.Lock()
	close(p.closed)
	for _, r := range p.relays {
		_ = r.udp.Close() // the relay is not used any more
		_ = r.tcp.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
	_ = p.network.Reservation.Close() // it accepts no connections
}

// senderOf returns the name of the process with an address, or "" if there is none.
func (p *Proxy) senderOf(addr netip.Addr) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.byProcessIP[addr.Unmap()]; r != nil {
		return r.name
	}
	return ""
}
