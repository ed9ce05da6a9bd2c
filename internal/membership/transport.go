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

// receiveBufferBytes is the size of the UDP socket's receive buffer. It has to hold the packets that arrive while the
// process is stalled.
const receiveBufferBytes = 2 << 20

// MaxDescriptors is the maximum number of file descriptors that a Membership uses: its two sockets, the streams from
// other members, as many streams to them, the connections from watchers and those to watched members.
const MaxDescriptors = 2 + 2*maxStreams + maxWatchers + watchedSuccessors

// transport is the network transport of memberlist. Unlike memberlist's own, it drops and counts packets and stream
// messages that no member of this site sends, before memberlist reads them. It bounds the number of streams and the
// size of each message on a stream, which is preceded by its length in four bytes. Connections are made from the bound
// address, which therefore identifies the sender. It also avoids the 64 KiB that memberlist's transport allocates for
// each packet.
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
	// ctx is canceled by Shutdown, and killContext by kill. kill also closes the streams that Shutdown lets finish. The
	// contexts are fields because memberlist calls a transport's methods without a context.
	ctx          context.Context //nolint:containedctx // memberlist calls a transport without a context
	cancel       context.CancelFunc
	killContext  context.Context //nolint:containedctx // memberlist calls a transport without a context
	cancelKill   context.CancelFunc
	closeSockets func() error // closes both sockets once
	handlers     messageHandlers
	// announced is closed once this process may participate; nothing is received before that.
	announced chan struct{}
	// recordedList is the list that memberlist last wrote to listPeer. Only the goroutine of publishSnapshots uses it.
	recordedList []byte
	// suspicionOfSelf is the push/pull that suspicionPeer responds with.
	suspicionOfSelf []byte
}

// messageHandlers has the functions that a transport calls for messages, from its own goroutines and memberlist's.
type messageHandlers struct {
	// onStateMessage is called for each received or sent packet with a message that can change a member's state.
	onStateMessage func()
	// acceptDeathReport reports whether to believe a member's report that another is dead. It is called once per report.
	acceptDeathReport func(reporter, accused string) bool
	// onAlive is called with each received alive message and push/pull.
	onAlive func(message []byte)
}

// newTransport opens the sockets on cfg.Bind and starts to receive.
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

// openSockets opens the TCP and UDP sockets on an address.
func (t *transport) openSockets(addr *net.TCPAddr) error {
	var err error
	if t.tcp, err = net.ListenTCP("tcp", addr); err != nil {
		return err
	}
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		_ = t.tcp.Close() // the first error is returned
		return err
	}
	if err := t.udp.SetReadBuffer(receiveBufferBytes); err != nil {
		t.logger.Printf("[WARN] receive buffer: %v", err)
	}
	return nil
}

// PacketCh returns the channel of received packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh returns the channel of accepted streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// FinalAdvertiseAddr returns the address that other members use. complete has checked it.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	addr := net.ParseIP(ip)
	if ipv4 := addr.To4(); ipv4 != nil {
		addr = ipv4
	}
	return addr, port, nil
}

// Shutdown closes the sockets and the watchers' connections. Other open streams may finish.
func (t *transport) Shutdown() error {
	t.cancel()
	return t.closeSockets()
}

// kill closes all sockets and streams immediately, as the kernel does for a killed process.
func (t *transport) kill() {
	t.cancelKill()
	_ = t.Shutdown() // an error of closing makes no difference here
}

// checkNetworks returns an error if the address is in none of the allowed networks.
func (t *transport) checkNetworks(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip != nil && t.isInNetworks(ip) {
		return nil
	}
	return fmt.Errorf("%s is in none of the allowed networks", addr)
}

func (t *transport) isInNetworks(ip net.IP) bool {
	for _, network := range t.networks {
		if network.Contains(ip) {
			return true
		}
	}
	return len(t.networks) == 0
}

// DialTimeout opens a stream to an address (host:port).
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
