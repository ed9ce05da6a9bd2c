package membership

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"fernbeam.example/fernbeam/internal/listener"
)

const (
	// maxFrame bounds a message on a stream, in bytes: the state of some 5,000 members.
	maxFrameBytes = 1 << 20
	// maxStreams bounds the streams from others at a time; more wait unaccepted.
	maxStreams = 6
	// maxWatchers bounds the connections of those that watch this member: mostly as many
	// as it watches, more where views differ.
	maxWatchers = 3 * watchedSuccessors
	// streamTime bounds how long a stream may take, as memberlist has it for its own.
	streamTimeout = 3 * time.Second
	// viewPeer and doubtPeer are the names under which memberlist is asked for its own list, and given
	// the list that doubts this process; no member may have them.
	listPeer      = "@view"
	suspicionPeer = "@doubt"
)

// Sockets is how many descriptors a fleet view takes at the most: its two sockets, streams
// from others, as many to them, and the watchers' and the watched members' connections.
const MaxDescriptors = 2 + 2*maxStreams + maxWatchers + watchedSuccessors

var errTooManyWatchers = errors.New("too many watchers")

// traffic counts what passes and what is dropped, since the start.
type traffic struct {
	packetsIn, bytesIn, packetsOut, bytesOut      atomic.Uint64
	streams, streamsOut                           atomic.Uint64 // both ways, and of these the ones that this process began
	streamBytesIn, streamBytesOut                 atomic.Uint64
	badPackets, badStreams, foreignSite, rejected atomic.Uint64
	demotedDeaths                                 atomic.Uint64
}

// transport is the network under memberlist, with a guard: packets and stream messages that
// no member of ours sends are dropped and counted before memberlist reads them, streams are
// bounded in number and each message on one in size (a length of four bytes goes before
// each), and calls come from the bound address, so that who sends is known by it. (Beside
// that memberlist's own transport takes 64 KiB of new memory for each packet.)
type transport struct {
	cfg          *Config
	localIP      net.IP
	networks     []net.IPNet
	logger       *log.Logger
	traffic      *traffic
	udp          *net.UDPConn
	tcp          *net.TCPListener
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	slots        chan struct{}
	watchers     chan struct{}
	ctx          context.Context // done at Shutdown
	cancel       context.CancelFunc
	killContext  context.Context // done at cut: streams end too that may else come to their end
	cancelKill   context.CancelFunc
	closeSockets func() error // closes the sockets, once
	// told is called when a packet came or went that says something of a member's state.
	onStateMessage func()
	// counts tells whether this process takes a member's word that another is dead.
	trustsDeathReport func(accuser, accused string) bool
	// heard is given each message that tells of members alive; it is set before awake is closed.
	onAlive func(message []byte)
	// awake is closed once this process may be heard: nothing is taken before.
	announced chan struct{}
	// list is what memberlist last told viewPeer; only the goroutine that asks uses it.
	recordedList []byte
	// doubt is the push/pull that doubtPeer answers.
	suspicionOfSelf []byte
}

// receiveBuffer is asked of the system for packets, in bytes, so that a process that stood
// still finds what was said meanwhile.
const receiveBufferBytes = 2 << 20

func newTransport(cfg *Config, logger *log.Logger, count *traffic, told func(), counts func(accuser, accused string) bool) (*transport, error) {
	addr, err := net.ResolveTCPAddr("tcp", cfg.Bind)
	if err != nil {
		return nil, err
	}
	t := &transport{cfg: cfg, localIP: addr.IP, networks: cfg.networks(), logger: logger, traffic: count,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), slots: make(chan struct{}, maxStreams),
		watchers: make(chan struct{}, maxWatchers), announced: make(chan struct{}), onStateMessage: told, trustsDeathReport: counts}
	if t.tcp, err = net.ListenTCP("tcp", addr); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		t.tcp.Close()
		return nil, err
	}
	if err := t.udp.SetReadBuffer(receiveBufferBytes); err != nil {
		logger.Printf("[WARN] receive buffer: %v", err)
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.killContext, t.cancelKill = context.WithCancel(context.Background())
	t.closeSockets = sync.OnceValue(func() error { return errors.Join(t.udp.Close(), t.tcp.Close()) })
	go t.receivePackets()
	go t.acceptStreams()
	return t, nil
}

func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }
func (t *transport) StreamCh() <-chan net.Conn           { return t.streams }

// FinalAdvertiseAddr is the address that others are told, which complete has checked.
func (t *transport) FinalAdvertiseAddr(ip string, port int) (net.IP, int, error) {
	a := net.ParseIP(ip)
	if a4 := a.To4(); a4 != nil {
		a = a4
	}
	return a, port, nil
}

// Shutdown closes the sockets and the watchers' connections; other streams that are under way
// have their time.
func (t *transport) Shutdown() error {
	t.cancel()
	return t.closeSockets()
}

// cut closes all at once, as the kernel does for a process that is killed.
func (t *transport) kill() {
	t.cancelKill()
	_ = t.Shutdown() // nothing is left that an error could be about
}

func (t *transport) receivePackets() {
	buf := make([]byte, 64<<10)
	for t.ctx.Err() == nil {
		n, from, err := t.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal of an earlier packet shows here
		}
		p := &memberlist.Packet{Buf: bytes.Clone(buf[:n]), From: from, Timestamp: time.Now()}
		select {
		case <-t.announced:
		default:
			continue
		}
		if t.acceptPacket(p) {
			select {
			case t.packets <- p:
			case <-t.ctx.Done():
			}
		}
	}
}

// admit tells whether a packet may go to memberlist.
func (t *transport) acceptPacket(p *memberlist.Packet) bool {
	t.traffic.packetsIn.Add(1)
	t.traffic.bytesIn.Add(uint64(len(p.Buf)))
	b, label, err := memberlist.RemoveLabelHeaderFromPacket(p.Buf)
	if err == nil && label != t.cfg.Site {
		t.traffic.foreignSite.Add(1)
		t.logger.Printf("[WARN] packet of another site, %.64q, from %v", label, p.From)
		return false
	}
	tells := false
	if err == nil {
		err = checkPacket(b, 0, func(message []byte) {
			tells = tells || changesState(message)
			if demoteDeathReport(message, t.trustsDeathReport) {
				t.traffic.demotedDeaths.Add(1)
			}
			if message[0] == msgAlive {
				t.onAlive(message)
			}
		})
	}
	if err != nil {
		t.traffic.badPackets.Add(1)
		t.logger.Printf("[WARN] packet of %d bytes from %v dropped: %v", len(p.Buf), p.From, err)
		return false
	}
	if tells {
		t.onStateMessage()
	}
	return true
}

// inject gives memberlist a message as if it had come.
func (t *transport) injectMessage(b []byte) {
	b, err := memberlist.AddLabelHeaderToPacket(b, t.cfg.Site)
	if err != nil {
		return // the site's length is checked
	}
	select {
	case t.packets <- &memberlist.Packet{Buf: b, From: &net.UDPAddr{IP: t.localIP}, Timestamp: time.Now()}:
		t.onStateMessage()
	case <-t.ctx.Done():
	}
}

func (t *transport) acceptStreams() {
	select {
	case <-t.announced:
	case <-t.ctx.Done():
		return
	}
	ln := listener.New(t.tcp, func(err error, failures uint64) {
		t.logger.Printf("[WARN] accept: %v (%d so far)", err, failures)
	})
	for {
		// One too many waits unaccepted: ended, it would look like one to a dead process.
		select {
		case t.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		c, err := ln.Accept()
		if err != nil {
			<-t.slots
			if !errors.Is(err, net.ErrClosed) {
				t.logger.Printf("[ERR] no more streams are accepted: %v", err)
			}
			return
		}
		t.traffic.streams.Add(1)
		go t.routeStream(t.newFramedStream(c, sync.OnceFunc(func() { <-t.slots })))
	}
}

// open reads a stream's label and first message: a watcher's is kept, any other is for
// memberlist.
func (t *transport) routeStream(s *framedStream) {
	s.SetDeadline(time.Now().Add(streamTimeout))
	err := s.readMessage()
	label := s.unread
	if err == nil && label[0] == msgLabel {
		err = s.readMessage()
	}
	if err != nil {
		s.Close()
		return
	}
	if s.unread[0] == msgWatch {
		t.serveWatcher(s)
		return
	}
	s.unread = append(bytes.Clone(label), s.unread...)
	select {
	case t.streams <- s:
	case <-t.ctx.Done():
		s.Close()
	}
}

// watched answers a watcher and keeps its connection until either side ends. It takes no
// place among the streams; those of the watchers are bounded on their own, and one too many is
// answered and ended: it comes again.
func (t *transport) serveWatcher(s *framedStream) {
	_, err := s.Write([]byte{msgWatch})
	s.releaseSlot()
	select {
	case t.watchers <- struct{}{}:
		defer func() { <-t.watchers }()
	default:
		err = errTooManyWatchers
	}
	if err == nil {
		s.SetDeadline(time.Time{})
		stop := context.AfterFunc(t.ctx, func() { s.Close() })
		defer stop()
		s.Conn.Read(make([]byte, 1)) // nothing comes; it ends
	}
	s.Close()
}

// allowed tells whether something may be sent to an address.
func (t *transport) checkNetworks(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip != nil {
		for _, n := range t.networks {
			if n.Contains(ip) {
				return nil
			}
		}
		if len(t.networks) == 0 {
			return nil
		}
	}
	return fmt.Errorf("%s is in none of the networks", addr)
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, address memberlist.Address) (time.Time, error) {
	if err := t.checkNetworks(address.Addr); err != nil {
		return time.Time{}, err
	}
	t.traffic.packetsOut.Add(1)
	t.traffic.bytesOut.Add(uint64(len(b)))
	if msg, _, err := memberlist.RemoveLabelHeaderFromPacket(b); err == nil {
		tells := false
		if checkPacket(msg, 0, func(message []byte) { tells = tells || changesState(message) }); tells {
			t.onStateMessage()
		}
	}
	to, err := net.ResolveUDPAddr("udp", address.Addr)
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.udp.WriteToUDP(b, to)
	return time.Now(), err
}

func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, within)
}

func (t *transport) DialAddressTimeout(address memberlist.Address, within time.Duration) (net.Conn, error) {
	switch address.Name {
	case listPeer:
		return newLocalStream(address.Addr, func(b []byte) { t.recordedList = b }, encodeMessage(msgError, errorMessage{"nobody"}))
	case suspicionPeer:
		return newLocalStream(address.Addr, func([]byte) {}, t.suspicionOfSelf)
	}
	if err := t.checkNetworks(address.Addr); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: within, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	c, err := d.DialContext(t.killContext, "tcp", address.Addr)
	if err != nil {
		return nil, err
	}
	t.traffic.streams.Add(1)
	t.traffic.streamsOut.Add(1)
	return t.newFramedStream(c, func() {}), nil
}

// framed is a stream whose messages have their length before them, in four bytes, and are
// checked whole before a byte of one is given to memberlist.
type framedStream struct {
	net.Conn
	transport      *transport
	releaseSlot    func()
	detachFromKill func() bool // from cut
	unread         []byte
}

// frame makes a stream of a connection, which cut closes.
func (t *transport) newFramedStream(c net.Conn, release func()) *framedStream {
	return &framedStream{Conn: c, transport: t, releaseSlot: release, detachFromKill: context.AfterFunc(t.killContext, func() { c.Close() })}
}

func (s *framedStream) Close() error {
	s.detachFromKill()
	s.releaseSlot()
	return s.Conn.Close()
}

func (s *framedStream) Write(p []byte) (int, error) {
	if len(p) > maxFrameBytes {
		return 0, fmt.Errorf("message of %d bytes", len(p))
	}
	b := append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(p)), uint32(len(p))), p...)
	n, err := s.Conn.Write(b)
	s.transport.traffic.streamBytesOut.Add(uint64(n))
	return max(0, n-4), err
}

func (s *framedStream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		if err := s.readMessage(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// next reads and checks one message.
func (s *framedStream) readMessage() error {
	var head [4]byte
	if _, err := io.ReadFull(s.Conn, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > maxFrameBytes {
		return s.rejectMessage(fmt.Errorf("message of %d bytes", size))
	}
	var b bytes.Buffer // grows with what comes, not with what is claimed
	if _, err := io.CopyN(&b, s.Conn, int64(size)); err != nil {
		return err
	}
	s.transport.traffic.streamBytesIn.Add(4 + uint64(size))
	s.unread = b.Bytes()
	if s.unread[0] == msgLabel {
		if string(s.unread[min(2, len(s.unread)):]) != s.transport.cfg.Site {
			s.transport.traffic.foreignSite.Add(1)
			return errors.New("stream of another site")
		}
		return nil
	}
	if err := checkStream(s.unread, s.transport.cfg.maxMembers()); err != nil {
		return s.rejectMessage(err)
	}
	if s.unread[0] == msgPushPull {
		s.transport.onAlive(s.unread)
	}
	return nil
}

func (s *framedStream) rejectMessage(err error) error {
	s.transport.traffic.badStreams.Add(1)
	s.unread = nil
	return err
}

// recorder is a stream to nobody, on which memberlist tells its own list: the first half
// of a push/pull. The other half is an answer that was made before.
type localStream struct {
	net.Conn // nil: no method but those below is used
	addr     net.Addr
	onList   func([]byte)
	answer   *bytes.Reader
}

func newLocalStream(addr string, wrote func([]byte), answer []byte) (net.Conn, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &localStream{addr: a, onList: wrote, answer: bytes.NewReader(answer)}, nil
}

func (r *localStream) Write(p []byte) (int, error) {
	if len(p) > 0 && p[0] == msgPushPull {
		r.onList(bytes.Clone(p))
	}
	return len(p), nil
}
func (r *localStream) Read(p []byte) (int, error)       { return r.answer.Read(p) }
func (r *localStream) Close() error                     { return nil }
func (r *localStream) RemoteAddr() net.Addr             { return r.addr }
func (r *localStream) SetDeadline(time.Time) error      { return nil }
func (r *localStream) SetReadDeadline(time.Time) error  { return nil }
func (r *localStream) SetWriteDeadline(time.Time) error { return nil }
