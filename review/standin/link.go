package main

import (
	"net"
	"sync"
)

// link is a proxy between two machines. While it is cut, open connections stay open and silent, and new ones get no
// answer and are reset once it is whole again, as the page on the network says.
type link struct {
	addr   string
	target string

	mu    sync.Mutex
	whole chan struct{} // closed while the link is whole
	held  []net.Conn    // came while it was cut
}

func newLink(r *run, target string) *link {
	l := &link{target: target, whole: make(chan struct{})}
	close(l.whole)
	ln := listen()
	l.addr = ln.Addr().String()
	r.atEnd(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go l.relay(conn)
		}
	}()
	return l
}

func (l *link) isWhole() bool {
	select {
	case <-l.whole:
		return true
	default:
		return false
	}
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.held {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	l.held = nil
	close(l.whole)
}

func (l *link) relay(from net.Conn) {
	l.mu.Lock()
	if !l.isWhole() {
		l.held = append(l.held, from)
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	to, err := dial(l.target)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	go l.pump(from, to)
	l.pump(to, from)
}

// pump copies one direction of a connection. Bytes and ends that come while the link is cut wait.
func (l *link) pump(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		whole := l.whole
		l.mu.Unlock()
		<-whole
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
