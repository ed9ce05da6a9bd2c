// Package faultproxy relays UDP and TCP between processes on one machine, with a rule for each ordered pair: pass, cut,
// delay with jitter, loss, duplication, reordering, replay.
//
// Every process has a loopback address of its own, by which the proxy identifies the sender; the others use the address
// of its relay. A cut is silent, as a network partition is: packets vanish, open connections stay open and deliver
// nothing, new ones never get a response; when the cut heals, these connections are reset. A process that does not run
// refuses connections through the relay too. What happens to a packet is drawn at random, by a generator for each
// ordered pair that is seeded with the proxy's seed.
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
	// maxProcesses bounds the number of processes, addressesPerNet that of processes with the same third byte.
	maxProcesses    = 50_000
	addressesPerNet = 250
	// receiveBufferBytes is the size of a relay's receive buffer.
	receiveBufferBytes = 4 << 20
)

var errTooManyProcesses = errors.New("faultproxy: too many processes")

// Counts counts what a proxy has relayed and dropped.
type Counts struct {
	Packets uint64 // received
	Bytes   uint64 // of these packets
	Lost    uint64 // packets dropped by Rule.Loss
	Cut     uint64 // packets, and chunks of connections, dropped by a cut
	Streams uint64 // connections accepted
}

// Proxy is a relay for each of its processes. Its methods are safe for concurrent use.
type Proxy struct {
	seed    uint64
	network Network

	mu          sync.Mutex
	relays      map[string]*relay // by the process's name
	byProcessIP map[netip.Addr]*relay
	defaultRule Rule
	rules       map[pair]Rule
	partitions  map[string]Partition // by name
	random      map[pair]*rand.Rand
	changed     chan struct{} // closed and replaced at each change of the rules
	closed      chan struct{}
	wg          sync.WaitGroup

	packets, bytes, lost, cut, streams atomic.Uint64
}

// pair is an ordered pair of processes.
type pair struct{ from, to string }

// relay has the sockets by which the other processes reach one process.
type relay struct {
	name        string
	processAddr netip.AddrPort // at which the process listens, and from which it connects
	relayAddr   netip.AddrPort
	udp         *net.UDPConn
	tcp         *net.TCPListener
}

// New returns a proxy without processes. It reserves a network of addresses, so that proxies of several programs can
// exist at once.
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

// Addresses are the addresses of a process, IP:port, for UDP and TCP.
type Addresses struct {
	Bind      string // at which the process has to listen, and from which it has to connect
	Advertise string // that of its relay, by which the others reach it
}

// AddProcess starts the relay of one more process.
func (p *Proxy) AddProcess(name string) (Addresses, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relays[name] != nil {
		return Addresses{}, fmt.Errorf("faultproxy: %q exists already", name)
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

// newRelay opens the sockets of the relay of a process. number counts the processes from 1.
func (p *Proxy) newRelay(name string, number int) (*relay, error) {
	if number > maxProcesses {
		return nil, errTooManyProcesses
	}
	high, low := byte(number/addressesPerNet), byte(number%addressesPerNet+1)
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
	_ = r.udp.SetReadBuffer(receiveBufferBytes) // a smaller buffer only loses more under load
	return r, nil
}

// Counts returns what the proxy has relayed and dropped so far.
func (p *Proxy) Counts() Counts {
	return Counts{
		Packets: p.packets.Load(),
		Bytes:   p.bytes.Load(),
		Lost:    p.lost.Load(),
		Cut:     p.cut.Load(),
		Streams: p.streams.Load(),
	}
}

// Close ends all relays and their connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	close(p.closed)
	for _, r := range p.relays {
		_ = r.udp.Close() // nothing is left to send
		_ = r.tcp.Close() // nothing is left to accept
	}
	p.mu.Unlock()
	p.wg.Wait()
	_ = p.network.Reservation.Close() // it accepts nothing
}

// senderOf returns the name of the process with an address, or "".
func (p *Proxy) senderOf(addr netip.Addr) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.byProcessIP[addr.Unmap()]; r != nil {
		return r.name
	}
	return ""
}
