package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a relay's connection to its process.
	dialTimeout = time.Second
	// chunkBytes is the most that a relay passes on at a time.
	chunkBytes = 64 << 10
)

// relayStreams relays the connections to a process until Close.
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

// relayStream relays one connection until it ends or a cut has dropped something of it.
func (p *Proxy) relayStream(in *net.TCPConn, to *relay) {
	defer closeConn(in)
	addr, _ := netip.ParseAddrPort(in.RemoteAddr().String()) // the address of a TCP connection can be parsed
	from := p.senderOf(addr.Addr())
	if !p.passesBothWays(from, to.name) {
		p.stallUntilHealed(in, from, to.name)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", to.processAddr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		resetOnClose(in)
		return
	}
	if err != nil {
		p.blackhole(in) // the process exists and does not answer: neither does the relay
		return
	}
	out := conn.(*net.TCPConn)
	defer closeConn(out)
	p.pipeBothWays(in, out, from, to.name)
}

// pipeBothWays relays both directions of a connection until one ends it, or until Close.
func (p *Proxy) pipeBothWays(in, out *net.TCPConn, from, to string) {
	ended := make(chan struct{})
	end := sync.OnceFunc(func() { close(ended) })
	var pipes sync.WaitGroup
	pipes.Add(1)
	go func() {
		defer pipes.Done()
		p.pipe(out, in, from, to, end)
	}()
	pipes.Add(1)
	go func() {
		defer pipes.Done()
		p.pipe(in, out, to, from, end)
	}()
	go func() {
		pipes.Wait()
		end()
	}()
	select {
	case <-ended:
	case <-p.closed:
	}
	closeConn(in)
	closeConn(out)
	pipes.Wait()
}

// pipe relays one direction. The orderly end of one side is passed on; a reset, or a cut that has healed, ends both
// sides with a reset.
func (p *Proxy) pipe(dst, src *net.TCPConn, from, to string, end func()) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if n > 0 && !p.relayChunk(dst, src, from, to, buf[:n]) {
			end()
			return
		}
		if err != nil {
			p.passEnd(dst, from, to, err, end)
			return
		}
	}
}

// relayChunk relays one chunk as its verdict says. If it returns false, the connection has to end.
func (p *Proxy) relayChunk(dst, src *net.TCPConn, from, to string, chunk []byte) bool {
	v := p.drawVerdict(from, to)
	if v.cut {
		p.cut.Add(1)
		p.stallUntilHealed(src, from, to)
		resetOnClose(dst)
		return false
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
	if _, err := dst.Write(chunk); err != nil {
		resetOnClose(src)
		return false
	}
	return true
}

// passEnd passes the end of one direction on, unless a cut hides it.
func (p *Proxy) passEnd(dst *net.TCPConn, from, to string, err error, end func()) {
	if !p.Passes(from, to) {
		return
	}
	if !errors.Is(err, io.EOF) {
		resetOnClose(dst)
		end()
		return
	}
	if dst.CloseWrite() != nil {
		end()
	}
}

// discardInput throws away what a connection's peer sends; the channel is closed once the peer has gone.
func discardInput(conn *net.TCPConn) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, conn) // whatever ends it, the peer has gone
	}()
	return gone
}

// blackhole keeps a connection, silent, until its peer goes.
func (p *Proxy) blackhole(conn *net.TCPConn) {
	gone := discardInput(conn)
	select {
	case <-gone:
	case <-p.closed:
		closeConn(conn)
		<-gone
	}
}

// stallUntilHealed keeps a connection that a cut has interrupted, silent, until its peer goes or the pair passes again;
// then it is reset.
func (p *Proxy) stallUntilHealed(conn *net.TCPConn, from, to string) {
	gone := discardInput(conn)
	for {
		changed := p.nextChange() // taken before the check, so that no change is missed
		if p.passesBothWays(from, to) {
			break
		}
		select {
		case <-changed:
		case <-gone:
			return
		case <-p.closed:
			closeConn(conn)
			<-gone
			return
		}
	}
	resetOnClose(conn)
	closeConn(conn)
	<-gone
}

// nextChange is closed at the next change of the rules.
func (p *Proxy) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// resetOnClose makes the close of a connection a reset.
func resetOnClose(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that has ended needs no reset
}

// closeConn closes a relayed connection: its two ends see the result, the relay has no use for the error.
func closeConn(conn *net.TCPConn) { _ = conn.Close() }
