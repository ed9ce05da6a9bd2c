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
	maxFrame = 1 << 20
	// maxStreams bounds the streams from others at a time; more wait unaccepted.
	maxStreams = 6
	// maxWatchers bounds the connections of those that watch this member: mostly as many
	// as it watches, more where views differ.
	maxWatchers = 3 * watched
	// streamTime bounds how long a stream may take, as memberlist has it for its own.
	streamTime = 3 * time.Second
	// viewPeer and doubtPeer are the names under which memberlist is asked for its own list, and given
	// the list that doubts this process; no member may have them.
	viewPeer  = "@view"
	doubtPeer = "@doubt"
)

// Sockets is how many descriptors a fleet view takes at the most: its two sockets, streams
// from others, as many to them, and the watchers' and the watched members' connections.
const Sockets = 2 + 2*maxStreams + maxWatchers + watched

var errTooMany = errors.New("too many watchers")

// traffic counts what passes and what is dropped, since the start.
type traffic struct {
	packetsIn, bytesIn, packetsOut, bytesOut  atomic.Uint64
	streams, streamsOut                       atomic.Uint64 // both ways, and of these the ones that this process began
	streamBytesIn, streamBytesOut             atomic.Uint64
	badPackets, badStreams, foreign, rejected atomic.Uint64
	hearsay                                   atomic.Uint64
}

// transport is the network under memberlist, with a guard: packets and stream messages that
// no member of ours sends are dropped and counted before memberlist reads them, streams are
// bounded in number and each message on one in size (a length of four bytes goes before
// each), and calls come from the bound address, so that who sends is known by it. (Beside
// that memberlist's own transport takes 64 KiB of new memory for each packet.)
type transport struct {
	cfg      *Config
	local    net.IP
	nets     []net.IPNet
	logger   *log.Logger
	count    *traffic
	udp      *net.UDPConn
	tcp      *net.TCPListener
	packets  chan *memberlist.Packet
	streams  chan net.Conn
	slots    chan struct{}
	watchers chan struct{}
	ctx      context.Context // done at Shutdown
	end      context.CancelFunc
	dead     context.Context // done at cut: streams end too that may else come to their end
	kill     context.CancelFunc
	closed   func() error // closes the sockets, once
	// told is called when a packet came or went that says something of a member's state.
	told func()
	// counts tells whether this process takes a member's word that another is dead.
	counts func(accuser, accused string) bool
	// heard is given each message that tells of members alive; it is set before awake is closed.
	heard func(message []byte)
	// awake is closed once this process may be heard: nothing is taken before.
	awake chan struct{}
	// list is what memberlist last told viewPeer; only the goroutine that asks uses it.
	list []byte
	// doubt is the push/pull that doubtPeer answers.
	doubt []byte
}

// receiveBuffer is asked of the system for packets, in bytes, so that a process that stood
// still finds what was said meanwhile.
const receiveBuffer = 2 << 20

func newTransport(cfg *Config, logger *log.Logger, count *traffic, told func(), counts func(accuser, accused string) bool) (*transport, error) {
	addr, err := net.ResolveTCPAddr("tcp", cfg.Bind)
	if err != nil {
		return nil, err
	}
	t := &transport{cfg: cfg, local: addr.IP, nets: cfg.networks(), logger: logger, count: count,
		packets: make(chan *memberlist.Packet), streams: make(chan net.Conn), slots: make(chan struct{}, maxStreams),
		watchers: make(chan struct{}, maxWatchers), awake: make(chan struct{}), told: told, counts: counts}
	if t.tcp, err = net.ListenTCP("tcp", addr); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port}); err != nil {
		t.tcp.Close()
		return nil, err
	}
	if err := t.udp.SetReadBuffer(receiveBuffer); err != nil {
		logger.Printf("[WARN] receive buffer: %v", err)
	}
	t.ctx, t.end = context.WithCancel(context.Background())
	t.dead, t.kill = context.WithCancel(context.Background())
	t.closed = sync.OnceValue(func() error { return errors.Join(t.udp.Close(), t.tcp.Close()) })
	go t.takePackets()
	go t.takeStreams()
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
	t.end()
	return t.closed()
}

// cut closes all at once, as the kernel does for a process that is killed.
func (t *transport) cut() {
	t.kill()
	_ = t.Shutdown() // nothing is left that an error could be about
}

func (t *transport) takePackets() {
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
		case <-t.awake:
		default:
			continue
		}
		if t.admit(p) {
			select {
			case t.packets <- p:
			case <-t.ctx.Done():
			}
		}
	}
}

// admit tells whether a packet may go to memberlist.
func (t *transport) admit(p *memberlist.Packet) bool {
	t.count.packetsIn.Add(1)
	t.count.bytesIn.Add(uint64(len(p.Buf)))
	b, label, err := memberlist.RemoveLabelHeaderFromPacket(p.Buf)
	if err == nil && label != t.cfg.Site {
		t.count.foreign.Add(1)
		t.logger.Printf("[WARN] packet of another site, %.64q, from %v", label, p.From)
		return false
	}
	tells := false
	if err == nil {
		err = checkPacket(b, 0, func(message []byte) {
			tells = tells || tellsState(message)
			if hearsay(message, t.counts) {
				t.count.hearsay.Add(1)
			}
			if message[0] == msgAlive {
				t.heard(message)
			}
		})
	}
	if err != nil {
		t.count.badPackets.Add(1)
		t.logger.Printf("[WARN] packet of %d bytes from %v dropped: %v", len(p.Buf), p.From, err)
		return false
	}
	if tells {
		t.told()
	}
	return true
}

// inject gives memberlist a message as if it had come.
func (t *transport) inject(b []byte) {
	b, err := memberlist.AddLabelHeaderToPacket(b, t.cfg.Site)
	if err != nil {
		return // the site's length is checked
	}
	select {
	case t.packets <- &memberlist.Packet{Buf: b, From: &net.UDPAddr{IP: t.local}, Timestamp: time.Now()}:
		t.told()
	case <-t.ctx.Done():
	}
}

func (t *transport) takeStreams() {
	select {
	case <-t.awake:
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
		t.count.streams.Add(1)
		go t.open(t.frame(c, sync.OnceFunc(func() { <-t.slots })))
	}
}

// open reads a stream's label and first message: a watcher's is kept, any other is for
// memberlist.
func (t *transport) open(f *framed) {
	f.SetDeadline(time.Now().Add(streamTime))
	err := f.next()
	label := f.rest
	if err == nil && label[0] == msgLabel {
		err = f.next()
	}
	if err != nil {
		f.Close()
		return
	}
	if f.rest[0] == msgWatch {
		t.watched(f)
		return
	}
	f.rest = append(bytes.Clone(label), f.rest...)
	select {
	case t.streams <- f:
	case <-t.ctx.Done():
		f.Close()
	}
}

// watched answers a watcher and keeps its connection until either side ends. It takes no
// place among the streams; those of the watchers are bounded on their own, and one too many is
// answered and ended: it comes again.
func (t *transport) watched(f *framed) {
	_, err := f.Write([]byte{msgWatch})
	f.release()
	select {
	case t.watchers <- struct{}{}:
		defer func() { <-t.watchers }()
	default:
		err = errTooMany
	}
	if err == nil {
		f.SetDeadline(time.Time{})
		stop := context.AfterFunc(t.ctx, func() { f.Close() })
		defer stop()
		f.Conn.Read(make([]byte, 1)) // nothing comes; it ends
	}
	f.Close()
}

// allowed tells whether something may be sent to an address.
func (t *transport) allowed(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return err
	}
	if ip := net.ParseIP(host); ip != nil {
		for _, n := range t.nets {
			if n.Contains(ip) {
				return nil
			}
		}
		if len(t.nets) == 0 {
			return nil
		}
	}
	return fmt.Errorf("%s is in none of the networks", addr)
}

func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	return t.WriteToAddress(b, memberlist.Address{Addr: addr})
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	if err := t.allowed(a.Addr); err != nil {
		return time.Time{}, err
	}
	t.count.packetsOut.Add(1)
	t.count.bytesOut.Add(uint64(len(b)))
	if msg, _, err := memberlist.RemoveLabelHeaderFromPacket(b); err == nil {
		tells := false
		if checkPacket(msg, 0, func(message []byte) { tells = tells || tellsState(message) }); tells {
			t.told()
		}
	}
	to, err := net.ResolveUDPAddr("udp", a.Addr)
	if err != nil {
		return time.Time{}, err
	}
	_, err = t.udp.WriteToUDP(b, to)
	return time.Now(), err
}

func (t *transport) DialTimeout(addr string, within time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, within)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, within time.Duration) (net.Conn, error) {
	switch a.Name {
	case viewPeer:
		return newRecorder(a.Addr, func(b []byte) { t.list = b }, encodeMessage(msgError, errorMessage{"nobody"}))
	case doubtPeer:
		return newRecorder(a.Addr, func([]byte) {}, t.doubt)
	}
	if err := t.allowed(a.Addr); err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: within, LocalAddr: &net.TCPAddr{IP: t.local}}
	c, err := d.DialContext(t.dead, "tcp", a.Addr)
	if err != nil {
		return nil, err
	}
	t.count.streams.Add(1)
	t.count.streamsOut.Add(1)
	return t.frame(c, func() {}), nil
}

// framed is a stream whose messages have their length before them, in four bytes, and are
// checked whole before a byte of one is given to memberlist.
type framed struct {
	net.Conn
	t       *transport
	release func()
	detach  func() bool // from cut
	rest    []byte
}

// frame makes a stream of a connection, which cut closes.
func (t *transport) frame(c net.Conn, release func()) *framed {
	return &framed{Conn: c, t: t, release: release, detach: context.AfterFunc(t.dead, func() { c.Close() })}
}

func (f *framed) Close() error {
	f.detach()
	f.release()
	return f.Conn.Close()
}

func (f *framed) Write(p []byte) (int, error) {
	if len(p) > maxFrame {
		return 0, fmt.Errorf("message of %d bytes", len(p))
	}
	b := append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(p)), uint32(len(p))), p...)
	n, err := f.Conn.Write(b)
	f.t.count.streamBytesOut.Add(uint64(n))
	return max(0, n-4), err
}

func (f *framed) Read(p []byte) (int, error) {
	if len(f.rest) == 0 {
		if err := f.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, f.rest)
	f.rest = f.rest[n:]
	return n, nil
}

// next reads and checks one message.
func (f *framed) next() error {
	var head [4]byte
	if _, err := io.ReadFull(f.Conn, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size == 0 || size > maxFrame {
		return f.bad(fmt.Errorf("message of %d bytes", size))
	}
	var b bytes.Buffer // grows with what comes, not with what is claimed
	if _, err := io.CopyN(&b, f.Conn, int64(size)); err != nil {
		return err
	}
	f.t.count.streamBytesIn.Add(4 + uint64(size))
	f.rest = b.Bytes()
	if f.rest[0] == msgLabel {
		if string(f.rest[min(2, len(f.rest)):]) != f.t.cfg.Site {
			f.t.count.foreign.Add(1)
			return errors.New("stream of another site")
		}
		return nil
	}
	if err := checkStream(f.rest, f.t.cfg.maxMembers()); err != nil {
		return f.bad(err)
	}
	if f.rest[0] == msgPushPull {
		f.t.heard(f.rest)
	}
	return nil
}

func (f *framed) bad(err error) error {
	f.t.count.badStreams.Add(1)
	f.rest = nil
	return err
}

// recorder is a stream to nobody, on which memberlist tells its own list: the first half
// of a push/pull. The other half is an answer that was made before.
type recorder struct {
	net.Conn // nil: no method but those below is used
	addr     net.Addr
	wrote    func([]byte)
	answer   *bytes.Reader
}

func newRecorder(addr string, wrote func([]byte), answer []byte) (net.Conn, error) {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &recorder{addr: a, wrote: wrote, answer: bytes.NewReader(answer)}, nil
}

func (r *recorder) Write(p []byte) (int, error) {
	if len(p) > 0 && p[0] == msgPushPull {
		r.wrote(bytes.Clone(p))
	}
	return len(p), nil
}
func (r *recorder) Read(p []byte) (int, error)       { return r.answer.Read(p) }
func (r *recorder) Close() error                     { return nil }
func (r *recorder) RemoteAddr() net.Addr             { return r.addr }
func (r *recorder) SetDeadline(time.Time) error      { return nil }
func (r *recorder) SetReadDeadline(time.Time) error  { return nil }
func (r *recorder) SetWriteDeadline(time.Time) error { return nil }
