// Package faultproxy relays UDP and TCP between processes on one machine, with a rule for
// each ordered pair: pass, cut, delay with jitter, loss, duplication, reordering, replay. Every
// process has a loopback address of its own, by which the board knows the sender, and is
// told of under the address of its relay. A cut is silent, as one in a network is: packets
// vanish, connections that are open stay open and bring nothing, new ones never answer;
// when it heals, what was held is reset. A process that is not there refuses, through the
// relay too. What happens to a packet is drawn from the board's seed, one stream of draws
// for each ordered pair.
package faultproxy

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Rule says what becomes of what goes from one process to another. Shares are from 0 to 1
// and hold for each packet; on a connection, where nothing is lost, a lost or reordered
// chunk comes a retransmission's time later.
type Rule struct {
	Cut       bool
	Delay     time.Duration // of each packet or chunk
	Jitter    time.Duration // added to it, drawn evenly from 0 to Jitter
	Loss      float64
	Duplicate float64
	Reorder   float64 // held back behind those that come within reorderBy
	Replay    float64 // of packets: comes once more, drawn evenly from 0 to ReplayIn later
	ReplayIn  time.Duration
}

const (
	reorderBy  = 30 * time.Millisecond
	retransmit = 200 * time.Millisecond // of a chunk that was lost, as TCP's first time-out
	dialWithin = time.Second
)

// Counts are what a board has carried and done, in packets; Streams are connections.
type Counts struct{ Packets, Bytes, Lost, Cut, Streams uint64 }

// Board is a set of relays. Its methods are safe for concurrent use.
type Board struct {
	seed uint64
	net  byte // second byte of the addresses, so that two boards share none
	hold net.Listener

	mu         sync.Mutex
	members    map[string]*member
	byIP       map[netip.Addr]*member
	base       Rule
	rules      map[[2]string]Rule
	partitions map[string]map[string]int // by name: the side of each process
	draws      map[[2]string]*rand.Rand
	healed     chan struct{} // closed and made anew when something heals
	closed     chan struct{}
	wg         sync.WaitGroup

	packets, bytes, lost, cut, streams atomic.Uint64
}

type member struct {
	name string
	real netip.AddrPort // where the process listens, and its calls come from
	at   netip.AddrPort // its relay
	udp  *net.UDPConn
	tcp  *net.TCPListener
}

// New makes a board with no processes. The ports and the second byte of the addresses are
// taken from what is free, so boards of several programs can be there at once.
func New(seed uint64) (*Board, error) {
	b := &Board{seed: seed, members: map[string]*member{}, byIP: map[netip.Addr]*member{},
		rules: map[[2]string]Rule{}, partitions: map[string]map[string]int{},
		draws: map[[2]string]*rand.Rand{}, healed: make(chan struct{}), closed: make(chan struct{})}
	var err error
	b.hold, b.net, err = Network()
	return b, err
}

// Network takes a network of loopback addresses that no other board or world on this machine
// has: 127.n and 127.n+1. It is the caller's until hold is closed.
func Network() (hold net.Listener, n byte, err error) {
	for n := byte(10); n < 250; n += 2 {
		if hold, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:19999", n)); err == nil {
			return hold, n, nil
		}
	}
	return nil, 0, errors.New("switchboard: no network of loopback addresses is free")
}

// port is every process's own; addresses differ.
const port = 19998

// Add makes the relay of one more process: bind is where it has to listen and call from
// (UDP and TCP), advertise what the others have to be told.
func (b *Board) Add(name string) (bind, advertise string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.members[name] != nil {
		return "", "", fmt.Errorf("switchboard: %q is there", name)
	}
	n := len(b.members) + 1
	if n > 50_000 {
		return "", "", errors.New("switchboard: too many processes")
	}
	hi, lo := byte(n/250), byte(n%250+1)
	m := &member{name: name, real: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.net, hi, lo}), port),
		at: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, b.net + 1, hi, lo}), port)}
	if m.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.at)); err != nil {
		return "", "", err
	}
	if m.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(m.at)); err != nil {
		m.udp.Close()
		return "", "", err
	}
	m.udp.SetReadBuffer(4 << 20)
	b.members[name], b.byIP[m.real.Addr()] = m, m
	b.wg.Add(2)
	go b.relayPackets(m)
	go b.relayStreams(m)
	return m.real.String(), m.at.String(), nil
}

// SetAll sets the rule of every pair that has none of its own.
func (b *Board) SetAll(r Rule) { b.change(func() { b.base = r }) }

// Set sets the rule of an ordered pair.
func (b *Board) Set(from, to string, r Rule) { b.change(func() { b.rules[[2]string{from, to}] = r }) }

// Unset gives an ordered pair the rule of all again.
func (b *Board) Unset(from, to string) { b.change(func() { delete(b.rules, [2]string{from, to}) }) }

// Partition cuts, under a name, all pairs of processes in different groups, both ways.
// Processes of no group keep all.
func (b *Board) Partition(name string, groups ...[]string) {
	sides := map[string]int{}
	for i, g := range groups {
		for _, p := range g {
			sides[p] = i + 1
		}
	}
	b.change(func() { b.partitions[name] = sides })
}

// Heal ends the partition of a name.
func (b *Board) Heal(name string) { b.change(func() { delete(b.partitions, name) }) }

// Clear ends all partitions and rules.
func (b *Board) Clear() {
	b.change(func() {
		b.base = Rule{}
		clear(b.rules)
		clear(b.partitions)
	})
}

// change makes a change, and resets what was held by a cut that is no more.
func (b *Board) change(what func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	what()
	close(b.healed)
	b.healed = make(chan struct{})
}

// Counts are what the board has carried so far.
func (b *Board) Counts() Counts {
	return Counts{b.packets.Load(), b.bytes.Load(), b.lost.Load(), b.cut.Load(), b.streams.Load()}
}

// Close ends all relays and what they carry.
func (b *Board) Close() {
	b.mu.Lock()
	close(b.closed)
	for _, m := range b.members {
		m.udp.Close()
		m.tcp.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
	b.hold.Close()
}

// rule is what holds for an ordered pair now. An unknown sender ("") has the rule of all.
func (b *Board) rule(from, to string) Rule {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.rules[[2]string{from, to}]
	if !ok {
		r = b.base
	}
	for _, sides := range b.partitions {
		if x, y := sides[from], sides[to]; x != 0 && y != 0 && x != y {
			r.Cut = true
		}
	}
	return r
}

// Passes tells whether anything goes from one process to another now.
func (b *Board) Passes(from, to string) bool { return !b.rule(from, to).Cut }

// fate is what becomes of one packet or chunk.
type fate struct {
	cut, lost, twice, behind, again bool
	after, replay                   time.Duration
}

func (b *Board) fate(from, to string) fate {
	r := b.rule(from, to)
	if r.Cut {
		return fate{cut: true}
	}
	if r == (Rule{}) {
		return fate{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	pair := [2]string{from, to}
	draw := b.draws[pair]
	if draw == nil {
		h := fnv.New64a()
		fmt.Fprintf(h, "%s\x00%s", from, to)
		draw = rand.New(rand.NewPCG(b.seed, h.Sum64()))
		b.draws[pair] = draw
	}
	// All are drawn for each packet, so that one share does not move the others.
	lost, twice, behind, jitter := draw.Float64(), draw.Float64(), draw.Float64(), draw.Float64()
	again, late := draw.Float64(), draw.Float64()
	f := fate{lost: lost < r.Loss, twice: twice < r.Duplicate, behind: behind < r.Reorder, again: again < r.Replay,
		after: r.Delay + time.Duration(jitter*float64(r.Jitter)), replay: time.Duration(late * float64(r.ReplayIn))}
	if f.behind {
		f.after += reorderBy
	}
	return f
}

func (b *Board) sender(addr netip.Addr) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m := b.byIP[addr.Unmap()]; m != nil {
		return m.name
	}
	return ""
}

func (b *Board) relayPackets(to *member) {
	defer b.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := to.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal of an earlier packet shows here
		}
		b.packets.Add(1)
		b.bytes.Add(uint64(n))
		f := b.fate(b.sender(addr.Addr()), to.name)
		switch {
		case f.cut:
			b.cut.Add(1)
			continue
		case f.lost:
			b.lost.Add(1)
			continue
		}
		if f == (fate{}) {
			to.udp.WriteToUDPAddrPort(buf[:n], to.real)
			continue
		}
		p := append([]byte(nil), buf[:n]...)
		bring := func(after time.Duration) {
			if after == 0 {
				to.udp.WriteToUDPAddrPort(p, to.real)
			} else {
				time.AfterFunc(after, func() { to.udp.WriteToUDPAddrPort(p, to.real) })
			}
		}
		bring(f.after)
		if f.twice {
			bring(f.after)
		}
		if f.again {
			bring(f.after + f.replay)
		}
	}
}

func (b *Board) relayStreams(to *member) {
	defer b.wg.Done()
	for {
		in, err := to.tcp.AcceptTCP()
		if err != nil {
			return
		}
		b.streams.Add(1)
		b.wg.Add(1)
		go func() {
			defer b.wg.Done()
			b.carry(in, to)
		}()
	}
}

// carry relays one connection until it ends or a cut has taken something of it.
func (b *Board) carry(in *net.TCPConn, to *member) {
	defer in.Close()
	addr, _ := netip.ParseAddrPort(in.RemoteAddr().String())
	from := b.sender(addr.Addr())
	if !b.Passes(from, to.name) || !b.Passes(to.name, from) {
		b.held(in, from, to.name)
		return
	}
	c, err := net.DialTimeout("tcp", to.real.String(), dialWithin)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			in.SetLinger(0) // the caller sees a reset
		} else {
			b.untilGone(in) // it is there and does not answer: neither does the relay
		}
		return
	}
	out := c.(*net.TCPConn)
	defer out.Close()
	ended := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(ended) }) }
	var pipes sync.WaitGroup
	pipes.Add(2)
	go func() { defer pipes.Done(); b.pipe(out, in, from, to.name, end) }()
	go func() { defer pipes.Done(); b.pipe(in, out, to.name, from, end) }()
	go func() { pipes.Wait(); end() }()
	select {
	case <-ended:
	case <-b.closed:
	}
	in.Close()
	out.Close()
	pipes.Wait()
}

// pipe carries one direction. An orderly end of one side is passed on; a reset, or a cut
// that has healed, ends both with a reset.
func (b *Board) pipe(dst, src *net.TCPConn, from, to string, end func()) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			f := b.fate(from, to)
			if f.cut {
				b.cut.Add(1)
				b.held(src, from, to)
				dst.SetLinger(0)
				end()
				return
			}
			if f.lost || f.behind {
				f.after += retransmit
			}
			if f.after > 0 {
				select {
				case <-time.After(f.after):
				case <-b.closed:
				}
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				src.SetLinger(0)
				end()
				return
			}
		}
		if err != nil {
			if !b.Passes(from, to) {
				return // nobody hears of it
			}
			if err != io.EOF {
				dst.SetLinger(0)
				end()
			} else if dst.CloseWrite() != nil {
				end()
			}
			return
		}
	}
}

// gone is closed once a connection's caller has gone; what it sends is thrown away.
func (b *Board) gone(c *net.TCPConn) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		io.Copy(io.Discard, c)
	}()
	return gone
}

// untilGone keeps a connection, silent, until its caller goes.
func (b *Board) untilGone(c *net.TCPConn) {
	gone := b.gone(c)
	select {
	case <-gone:
	case <-b.closed:
		c.Close()
		<-gone
	}
}

// held keeps a connection that a cut has taken, silent, until its caller goes or the pair
// passes again; then it is reset.
func (b *Board) held(c *net.TCPConn, from, to string) {
	gone := b.gone(c)
	for !b.Passes(from, to) || !b.Passes(to, from) {
		b.mu.Lock()
		healed := b.healed
		b.mu.Unlock()
		select {
		case <-healed:
		case <-gone:
			return
		case <-b.closed:
			c.Close()
			<-gone
			return
		}
	}
	c.SetLinger(0)
	c.Close()
	<-gone
}
