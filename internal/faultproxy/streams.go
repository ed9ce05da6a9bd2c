package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the time to connect a relay to its process.
	dialTimeout = time.Second
	// chunkBytes is the maximum size of a chunk, which a relay reads and forwards as a whole.
	chunkBytes = 64 << 10
)

// relayStreams accepts and relays the connections to a process until Close.
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

// direction is one direction of a relayed connection.
type direction struct {
	pair // the sending and the receiving process
	src  *net.TCPConn
	dst  *net.TCPConn
}

// relayStream relays one connection until it ends or a cut has dropped a part of its data.
func (p *Proxy) relayStream(in *net.TCPConn, to *relay) {
	defer closeConn(in)
	addr, _ := netip.ParseAddrPort(in.RemoteAddr().String()) // the address of a TCP connection is valid
	processes := pair{from: p.senderOf(addr.Addr()), to: to.name}
	if !p.passesBothWays(processes) {
		p.stallUntilHealed(in, processes)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.Dial("tcp", to.processAddr.String())
	if errors.Is(err, syscall.ECONNREFUSED) {
		resetOnClose(in)
		return
	}
	if err != nil {
		p.blackhole(in) // the process does not respond, so the relay does not either
		return
	}
	out := conn.(*net.TCPConn)
	defer closeConn(out)
	p.pipeBothWays(direction{pair: processes, src: in, dst: out})
}

// pipeBothWays relays both directions of a connection until one of them ends the connection, or until Close.
func (p *Proxy) pipeBothWays(forward direction) {
	back := direction{pair: pair{from: forward.to, to: forward.from}, src: forward.dst, dst: forward.src}
	ended := make(chan struct{})
	end := sync.OnceFunc(func() { close(ended) })
	var pipes sync.WaitGroup
	for _, d := range []direction{forward, back} {
		pipes.Add(1)
		go func() {
			defer pipes.Done()
			p.pipe(d, end)
		}()
	}
	go func() {
		pipes.Wait()
		end()
	}()
	select {
	case <-ended:
	case <-p.closed:
	}
	closeConn(forward.src)
	closeConn(forward.dst)
	pipes.Wait()
}

// pipe relays one direction of a connection. It forwards an orderly close of one side. After a reset, or a cut that has
// ended, it ends both sides with a reset. The function end ends the connection.
func (p *Proxy) pipe(d direction, end func()) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := d.src.Read(buf)
		if n > 0 && !p.relayChunk(d, buf[:n]) {
			end()
			return
		}
		if err != nil {
			p.relayEnd(d, err, end)
			return
		}
	}
}

// relayChunk relays or drops one chunk according to its verdict. If it returns false, the caller has to end the
// connection.
func (p *Proxy) relayChunk(d direction, chunk []byte) bool {
	v := p.drawVerdict(d.pair)
	if v.cut {
		p.cut.Add(1)
		p.stallUntilHealed(d.src, d.pair)
		resetOnClose(d.dst)
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
	if _, err := d.dst.Write(chunk); err != nil {
		resetOnClose(d.src)
		return false
	}
	return true
}

// relayEnd forwards the end of one direction, unless a cut hides it.
func (p *Proxy) relayEnd(d direction, err error, end func()) {
	if !p.Passes(d.from, d.to) {
		return
	}
	if !errors.Is(err, io.EOF) {
		resetOnClose(d.dst)
		end()
		return
	}
	if d.dst.CloseWrite() != nil {
		end()
	}
}

// discardInput reads and discards the data of a connection. The returned channel is closed when the peer has closed the
// connection.
func discardInput(conn *net.TCPConn) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, conn) // an error also means that the connection has ended
	}()
	return gone
}

// blackhole keeps a connection open without sending anything until its peer has closed it, or until Close.
func (p *Proxy) blackhole(conn *net.TCPConn) {
	gone := discardInput(conn)
	select {
	case <-gone:
	case <-p.closed:
		closeConn(conn)
		<-gone
	}
}

// stallUntilHealed keeps open a connection that a cut has interrupted, without sending anything. It returns when the
// peer has closed the connection, or at Close. When neither direction is cut any more, it resets the connection and
// returns.
func (p *Proxy) stallUntilHealed(conn *net.TCPConn, processes pair) {
	gone := discardInput(conn)
	for {
		changed := p.nextChange() // must precede the check, so that no change is missed
		if p.passesBothWays(processes) {
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

// nextChange returns a channel that is closed at the next change of rules or partitions.
func (p *Proxy) nextChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// resetOnClose makes Close reset the connection.
func resetOnClose(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that has already ended needs no reset
}

// closeConn closes a relayed connection. Both peers notice the close, so the relay ignores its error.
func closeConn(conn *net.TCPConn) { _ = conn.Close() }
