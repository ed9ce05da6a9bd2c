package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// closeAfter is when the old address of discovery closes its open connections after a SIGHUP (TERMS).
const closeAfter = 1500 * time.Millisecond

// relay is an address that passes connections on to another one, until it is retired.
type relay struct {
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newRelay(target string) *relay {
	ln, err := net.Listen("tcp", freeAddr())
	check(err)
	r := &relay{ln: ln}
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			to, err := net.DialTimeout("tcp", target, time.Second)
			if err != nil {
				_ = from.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, from, to)
			r.mu.Unlock()
			go pass(from, to)
			go pass(to, from)
		}
	}()
	return r
}

// pass copies what arrives on one connection to the other, and closes both at its end.
func pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

func (r *relay) addr() string { return r.ln.Addr().String() }

// retire takes no new connections from now on, and closes the open ones 1.5 s later.
func (r *relay) retire() {
	_ = r.ln.Close()
	time.Sleep(closeAfter)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, conn := range r.conns {
		_ = conn.Close()
	}
}
