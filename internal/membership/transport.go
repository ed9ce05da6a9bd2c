package membership

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// receiveBufferBytes is the size of the socket's receive buffer, so that a process that stalled still has the
// packets that came meanwhile.
const receiveBufferBytes = 2 << 20

// MaxDescriptors is how many file descriptors a Membership takes at the most: its two sockets, streams from others,
// as many to them, and the connections of the watchers and to the watched members.
const MaxDescriptors = 2 + 2*maxStreams + maxWatchers + watchedSuccessors

// transport is the network below memberlist, with a guard: packets and stream messages that no member of this site
// sends are dropped and counted before memberlist reads them; streams are bounded in number and each message on one
// in size (a length of four bytes goes before each); and connections come from the bound address, so that it
// identifies the sender. (Besides, memberlist's own transport takes 64 KiB of new memory for each packet.)
type transport struct {
	cfg      *Config
	localIP  net.IP
	networks []net.IPNet
	logger   *log.Logger
	counters *counters
	udp      *net.UDPConn
	tcp      *net.TCPListener
	packets  chan *memberlist.Packet
	streams  chan net.Conn
	slots    chan struct{}
	watchers chan struct{}
	// ctx ends at Shutdown, killContext at kill, which also closes the streams that Shutdown lets finish. They are
	// fields as memberlist calls a transport's methods without a context.
	ctx          context.Context //nolint:containedctx // memberlist calls a transport without a context
	cancel       context.CancelFunc
	killContext  context.Context //nolint:containedctx // memberlist calls a transport without a context
	cancelKill   context.CancelFunc
	closeSockets func() error // once
	handlers     messageHandlers
	// announced is closed once this process may take part: nothing is received before.
	announced chan struct{}
	// recordedList is the list that memberlist last wrote to listPeer; only the goroutine that reads it uses it.
	recordedList []byte
	// suspicionOfSelf is the push/pull that suspicionPeer answers.
	suspicionOfSelf []byte
}

// messageHandlers are what a transport calls about messages, from its own goroutines and from memberlist's.
type messageHandlers struct {
	// onStateMessage is called when a packet was received or sent that has a message about a member's state.
	onStateMessage func()
	// acceptDeathReport tells whether this process believes a member's report that another is dead; it is called once for
	// each report.
	acceptDeathReport func(reporter, accused string) bool
	// onAlive is called with each received message about members that are alive.
	onAlive func(message []byte)
}

// newTransport opens the sockets of cfg.Bind and starts to receive.
func newTransport(
	cfg *Config, logger *log.Logger, counts *counters, handlers messageHandlers,
) (*transport, error) {
	addr, err := net.ResolveTCPAddr("tcp", cfg.Bind)
	if err != nil {
		return nil, err
	}
	t := &transport{
		cfg:       cfg,
		localIP:   addr.IP,
		networks:  cfg.networks(),
		logger:    logger,
		counters:  counts,
		packets:   make(chan *memberlist.Packet),
		streams:   make(chan net.Conn),
		slots:     make(chan struct{}, maxStreams),
		watchers:  make(chan struct{}, maxWatchers),
		announced: make(chan struct{}),
		handlers:  handlers,
	}
	if err := t.openSockets(addr); err != nil {
		return nil, err
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.killContext, t.cancelKill = context.WithCancel(context.Background())
	t.closeSockets = sync.OnceValue(func() error { return errors.Join(t.udp.Close(), t.tcp.Close()) })
	go t.receivePackets()
	go t.acceptStreams()
	return t, nil
}

// openSockets opens the TCP and the UDP socket of an address.
func (t *transport) openSockets(addr *net.TCPAddr) error {
	var err error
	if t.tcp, err = net.ListenTCP("tcp", addr); err != nil {
		return err
	}
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		_ = t.tcp.Close() // the error that counts is the one before
		return err
	}
	if err := t.udp.SetReadBuffer(receiveBufferBytes); err != nil {
		t.logger.Printf("[WARN] receive buffer: %v", err)
	}
	return nil
}

// PacketCh has the packets that were received.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh has the streams that were accepted.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// FinalAdvertiseAddr is the address that other members use, which complete has checked.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	addr := net.ParseIP(ip)
	if ipv4 := addr.To4(); ipv4 != nil {
		addr = ipv4
	}
	return addr, port, nil
}

// Shutdown closes the sockets and the watchers' connections; other open streams may finish.
func (t *transport) Shutdown() error {
	t.cancel()
	return t.closeSockets()
}

// kill closes everything at once, as the kernel does for a process that is killed.
func (t *transport) kill() {
	t.cancelKill()
	_ = t.Shutdown() // nothing is left that an error could be about
}

// checkNetworks tells why nothing may be sent to an address; nil: it may.
func (t *transport) checkNetworks(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip != nil && t.isInNetworks(ip) {
		return nil
	}
	return fmt.Errorf("%s is in none of the networks", addr)
}

func (t *transport) isInNetworks(ip net.IP) bool {
	for _, network := range t.networks {
		if network.Contains(ip) {
			return true
		}
	}
	return len(t.networks) == 0
}

// DialTimeout opens a stream.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout opens a stream to a member, or one of the local streams.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	switch address.Name {
	case listPeer:
		onList := func(list []byte) { t.recordedList = list }
		return newLocalStream(address.Addr, onList, encodeMessage(msgError, errorMessage{"local stream"}))
	case suspicionPeer:
		return newLocalStream(address.Addr, func([]byte) {}, t.suspicionOfSelf)
	}
	if err := t.checkNetworks(address.Addr); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	conn, err := dialer.DialContext(t.killContext, "tcp", address.Addr)
	if err != nil {
		return nil, err
	}
	t.counters.streams.Add(1)
	t.counters.streamsOut.Add(1)
	return t.newFramedStream(conn, func() {}), nil
}
