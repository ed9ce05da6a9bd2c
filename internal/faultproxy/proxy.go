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
	Cut            bool
	Delay          time.Duration // of each packet or chunk
	Jitter         time.Duration // added to it, drawn evenly from 0 to Jitter
	Loss           float64
	Duplicate      float64
	Reorder        float64 // held back behind those that come within reorderBy
	Replay         float64 // of packets: comes once more, drawn evenly from 0 to ReplayIn later
	MaxReplayDelay time.Duration
}

const (
	reorderDelay    = 30 * time.Millisecond
	retransmitDelay = 200 * time.Millisecond // of a chunk that was lost, as TCP's first time-out
	dialTimeout     = time.Second
)

// Counts are what a board has carried and done, in packets; Streams are connections.
type Counts struct{ Packets, Bytes, Lost, Cut, Streams uint64 }

// Board is a set of relays. Its methods are safe for concurrent use.
type Proxy struct {
	seed        uint64
	network     byte // second byte of the addresses, so that two boards share none
	reservation net.Listener

	mu          sync.Mutex
	relays      map[string]*relay
	byProcessIP map[netip.Addr]*relay
	defaultRule Rule
	rules       map[[2]string]Rule
	partitions  map[string]map[string]int // by name: the side of each process
	random      map[[2]string]*rand.Rand
	healed      chan struct{} // closed and made anew when something heals
	closed      chan struct{}
	wg          sync.WaitGroup

	packets, bytes, lost, cut, streams atomic.Uint64
}

type relay struct {
	name        string
	processAddr netip.AddrPort // where the process listens, and its calls come from
	relayAddr   netip.AddrPort // its relay
	udp         *net.UDPConn
	tcp         *net.TCPListener
}

// New makes a board with no processes. The ports and the second byte of the addresses are
// taken from what is free, so boards of several programs can be there at once.
func New(seed uint64) (*Proxy, error) {
	p := &Proxy{seed: seed, relays: map[string]*relay{}, byProcessIP: map[netip.Addr]*relay{},
		rules: map[[2]string]Rule{}, partitions: map[string]map[string]int{},
		random: map[[2]string]*rand.Rand{}, healed: make(chan struct{}), closed: make(chan struct{})}
	var err error
	p.reservation, p.network, err = ReserveNetwork()
	return p, err
}

// Network takes a network of loopback addresses that no other board or world on this machine
// has: 127.n and 127.n+1. It is the caller's until hold is closed.
func ReserveNetwork() (hold net.Listener, n byte, err error) {
	for n := byte(10); n < 250; n += 2 {
		if hold, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:19999", n)); err == nil {
			return hold, n, nil
		}
	}
	return nil, 0, errors.New("switchboard: no network of loopback addresses is free")
}

// port is every process's own; addresses differ.
const processPort = 19998

// Add makes the relay of one more process: bind is where it has to listen and call from
// (UDP and TCP), advertise what the others have to be told.
func (p *Proxy) Add(name string) (bind, advertise string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relays[name] != nil {
		return "", "", fmt.Errorf("switchboard: %q is there", name)
	}
	n := len(p.relays) + 1
	if n > 50_000 {
		return "", "", errors.New("switchboard: too many processes")
	}
	hi, lo := byte(n/250), byte(n%250+1)
	r := &relay{name: name, processAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network, hi, lo}), processPort),
		relayAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, p.network + 1, hi, lo}), processPort)}
	if r.udp, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.relayAddr)); err != nil {
		return "", "", err
	}
	if r.tcp, err = net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(r.relayAddr)); err != nil {
		r.udp.Close()
		return "", "", err
	}
	r.udp.SetReadBuffer(4 << 20)
	p.relays[name], p.byProcessIP[r.processAddr.Addr()] = r, r
	p.wg.Add(2)
	go p.relayPackets(r)
	go p.relayStreams(r)
	return r.processAddr.String(), r.relayAddr.String(), nil
}

// SetAll sets the rule of every pair that has none of its own.
func (p *Proxy) SetAll(rule Rule) { p.change(func() { p.defaultRule = rule }) }

// Set sets the rule of an ordered pair.
func (p *Proxy) Set(from, to string, rule Rule) {
	p.change(func() { p.rules[[2]string{from, to}] = rule })
}

// Unset gives an ordered pair the rule of all again.
func (p *Proxy) Unset(from, to string) { p.change(func() { delete(p.rules, [2]string{from, to}) }) }

// Partition cuts, under a name, all pairs of processes in different groups, both ways.
// Processes of no group keep all.
func (p *Proxy) Partition(name string, groups ...[]string) {
	sides := map[string]int{}
	for i, g := range groups {
		for _, name := range g {
			sides[name] = i + 1
		}
	}
	p.change(func() { p.partitions[name] = sides })
}

// Heal ends the partition of a name.
func (p *Proxy) Heal(name string) { p.change(func() { delete(p.partitions, name) }) }

// Clear ends all partitions and rules.
func (p *Proxy) Clear() {
	p.change(func() {
		p.defaultRule = Rule{}
		clear(p.rules)
		clear(p.partitions)
	})
}

// change makes a change, and resets what was held by a cut that is no more.
func (p *Proxy) change(what func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	what()
	close(p.healed)
	p.healed = make(chan struct{})
}

// Counts are what the board has carried so far.
func (p *Proxy) Counts() Counts {
	return Counts{p.packets.Load(), p.bytes.Load(), p.lost.Load(), p.cut.Load(), p.streams.Load()}
}

// Close ends all relays and what they carry.
func (p *Proxy) Close() {
	p.mu.Lock()
	close(p.closed)
	for _, r := range p.relays {
		r.udp.Close()
		r.tcp.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
	p.reservation.Close()
}

// rule is what holds for an ordered pair now. An unknown sender ("") has the rule of all.
func (p *Proxy) rule(from, to string) Rule {
	p.mu.Lock()
	defer p.mu.Unlock()
	rule, ok := p.rules[[2]string{from, to}]
	if !ok {
		rule = p.defaultRule
	}
	for _, sides := range p.partitions {
		if x, y := sides[from], sides[to]; x != 0 && y != 0 && x != y {
			rule.Cut = true
		}
	}
	return rule
}

// Passes tells whether anything goes from one process to another now.
func (p *Proxy) Passes(from, to string) bool { return !p.rule(from, to).Cut }

// fate is what becomes of one packet or chunk.
type verdict struct {
	cut, lost, duplicate, reorder, replay bool
	delay, replayDelay                    time.Duration
}

func (p *Proxy) drawVerdict(from, to string) verdict {
	rule := p.rule(from, to)
	if rule.Cut {
		return verdict{cut: true}
	}
	if rule == (Rule{}) {
		return verdict{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pair := [2]string{from, to}
	random := p.random[pair]
	if random == nil {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s\x00%s", from, to)
		random = rand.New(rand.NewPCG(p.seed, hash.Sum64()))
		p.random[pair] = random
	}
	// All are drawn for each packet, so that one share does not move the others.
	lost, twice, behind, jitter := random.Float64(), random.Float64(), random.Float64(), random.Float64()
	again, late := random.Float64(), random.Float64()
	v := verdict{lost: lost < rule.Loss, duplicate: twice < rule.Duplicate, reorder: behind < rule.Reorder, replay: again < rule.Replay,
		delay: rule.Delay + time.Duration(jitter*float64(rule.Jitter)), replayDelay: time.Duration(late * float64(rule.MaxReplayDelay))}
	if v.reorder {
		v.delay += reorderDelay
	}
	return v
}

func (p *Proxy) senderOf(addr netip.Addr) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.byProcessIP[addr.Unmap()]; r != nil {
		return r.name
	}
	return ""
}

func (p *Proxy) relayPackets(to *relay) {
	defer p.wg.Done()
	buf := make([]byte, 64<<10)
	for {
		n, addr, err := to.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal of an earlier packet shows here
		}
		p.packets.Add(1)
		p.bytes.Add(uint64(n))
		v := p.drawVerdict(p.senderOf(addr.Addr()), to.name)
		switch {
		case v.cut:
			p.cut.Add(1)
			continue
		case v.lost:
			p.lost.Add(1)
			continue
		}
		if v == (verdict{}) {
			to.udp.WriteToUDPAddrPort(buf[:n], to.processAddr)
			continue
		}
		packet := append([]byte(nil), buf[:n]...)
		bring := func(after time.Duration) {
			if after == 0 {
				to.udp.WriteToUDPAddrPort(packet, to.processAddr)
			} else {
				time.AfterFunc(after, func() { to.udp.WriteToUDPAddrPort(packet, to.processAddr) })
			}
		}
		bring(v.delay)
		if v.duplicate {
			bring(v.delay)
		}
		if v.replay {
			bring(v.delay + v.replayDelay)
		}
	}
}

func (p *Proxy) relayStreams(to *relay) {
	defer p.wg.Done()
	for {
		in, err := to.tcp.AcceptTCP()
		if err != nil {
			return
		}
		p.streams.Add(1)
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.relayStream(in, to)
		}()
	}
}

// carry relays one connection until it ends or a cut has taken something of it.
func (p *Proxy) relayStream(in *net.TCPConn, to *relay) {
	defer in.Close()
	addr, _ := netip.ParseAddrPort(in.RemoteAddr().String())
	from := p.senderOf(addr.Addr())
	if !p.Passes(from, to.name) || !p.Passes(to.name, from) {
		p.stallUntilHealed(in, from, to.name)
		return
	}
	c, err := net.DialTimeout("tcp", to.processAddr.String(), dialTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			in.SetLinger(0) // the caller sees a reset
		} else {
			p.blackhole(in) // it is there and does not answer: neither does the relay
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
	go func() { defer pipes.Done(); p.pipe(out, in, from, to.name, end) }()
	go func() { defer pipes.Done(); p.pipe(in, out, to.name, from, end) }()
	go func() { pipes.Wait(); end() }()
	select {
	case <-ended:
	case <-p.closed:
	}
	in.Close()
	out.Close()
	pipes.Wait()
}

// pipe carries one direction. An orderly end of one side is passed on; a reset, or a cut
// that has healed, ends both with a reset.
func (p *Proxy) pipe(dst, src *net.TCPConn, from, to string, end func()) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			v := p.drawVerdict(from, to)
			if v.cut {
				p.cut.Add(1)
				p.stallUntilHealed(src, from, to)
				dst.SetLinger(0)
				end()
				return
			}
			if v.lost || v.reorder {
				v.delay += retransmitDelay
			}
			if v.delay > 0 {
				select {
				case <-time.After(v.delay):
				case <-p.closed:
				}
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				src.SetLinger(0)
				end()
				return
			}
		}
		if err != nil {
			if !p.Passes(from, to) {
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
func (p *Proxy) discardInput(c *net.TCPConn) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		io.Copy(io.Discard, c)
	}()
	return gone
}

// untilGone keeps a connection, silent, until its caller goes.
func (p *Proxy) blackhole(c *net.TCPConn) {
	gone := p.discardInput(c)
	select {
	case <-gone:
	case <-p.closed:
		c.Close()
		<-gone
	}
}

// held keeps a connection that a cut has taken, silent, until its caller goes or the pair
// passes again; then it is reset.
func (p *Proxy) stallUntilHealed(c *net.TCPConn, from, to string) {
	gone := p.discardInput(c)
	for !p.Passes(from, to) || !p.Passes(to, from) {
		p.mu.Lock()
		healed := p.healed
		p.mu.Unlock()
		select {
		case <-healed:
		case <-gone:
			return
		case <-p.closed:
			c.Close()
			<-gone
			return
		}
	}
	c.SetLinger(0)
	c.Close()
	<-gone
}
