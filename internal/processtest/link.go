package processtest

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Link is a TCP proxy on one directed link: from reaches to's listener through Addr.
// A cut link resets its connections and refuses new ones (closes them at once); delay
// holds every chunk of bytes that long in each direction; drop closes that share of new
// connections at once, as lost packets would fail them. Its methods are safe for
// concurrent use.
type Link struct {
	from, to string
	target   string
	ln       net.Listener
	c        *Cluster
	mu       sync.Mutex
	cut      bool
	delay    time.Duration
	drop     float64
	conns    map[net.Conn]bool
	accepted []time.Time
}

func newLink(from, to, target string, c *Cluster) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{from: from, to: to, target: target, ln: ln, c: c, conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Addr is the proxy's address, host:port on loopback.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Accepted is when connections came, in order, those that were refused with them.
func (l *Link) Accepted() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.accepted)
}

// SetCut cuts the link (true) or restores it; cutting resets what is open.
func (l *Link) SetCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for conn := range l.conns {
			conn.Close()
		}
	}
}

// SetDelay holds each chunk of bytes d before passing it on.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	l.delay = d
	l.mu.Unlock()
}

// SetDrop fails that share (0 to 1) of new connections.
func (l *Link) SetDrop(share float64) {
	l.mu.Lock()
	l.drop = share
	l.mu.Unlock()
}

func (l *Link) accept() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.accepted = append(l.accepted, time.Now())
		refuse := l.cut || rand.Float64() < l.drop
		l.mu.Unlock()
		if refuse {
			in.Close()
			continue
		}
		go l.carry(in)
	}
}

func (l *Link) carry(in net.Conn) {
	out, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		in.Close()
		return
	}
	l.mu.Lock()
	if l.cut {
		l.mu.Unlock()
		in.Close()
		out.Close()
		return
	}
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); l.pipe(out, in) }()
	go func() { defer wg.Done(); l.pipe(in, out) }()
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, in)
	delete(l.conns, out)
	l.mu.Unlock()
}

// pipe copies src to dst, each chunk after the link's delay, and closes both at the end.
func (l *Link) pipe(dst, src net.Conn) {
	defer dst.Close()
	defer src.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			l.mu.Lock()
			d := l.delay
			l.mu.Unlock()
			if d > 0 {
				time.Sleep(d)
			}
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *Link) close() {
	l.ln.Close()
	l.SetCut(true)
}
