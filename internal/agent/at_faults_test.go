package agent

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// systemCall is a system call that a fault makes fail.
type systemCall string

const (
	callConnect systemCall = "connect"
	callRead    systemCall = "read"
	callWrite   systemCall = "write"
)

// callFault makes a connection's call fail once so many bytes have passed it, and every call after that.
type callFault struct {
	Call  systemCall
	After int64
	Errno syscall.Errno
}

func (f *callFault) err() error {
	return &net.OpError{Op: string(f.Call), Net: "tcp", Err: os.NewSyscallError(string(f.Call), f.Errno)}
}

const (
	// singleBytes is how many bytes pass one by one before they pass by shortPiece: long bodies too
	// pass in many short calls.
	singleBytes = 1000
	shortPiece  = 61
)

// shortCall is how many of the available bytes a call moves.
func shortCall(passed int64, atHand int) int {
	if passed < singleBytes {
		return min(1, atHand)
	}
	return min(shortPiece, atHand)
}

// faultyConn reads and writes a few bytes a call, the first ones one by one, until its fault.
type faultyConn struct {
	*net.TCPConn
	fault         *callFault // nil: none
	read, written atomic.Int64
	broken        atomic.Bool
}

func (c *faultyConn) fails(call systemCall, passed int64) bool {
	if c.fault != nil && c.fault.Call == call && passed >= c.fault.After {
		c.broken.Store(true)
	}
	return c.broken.Load()
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.fails(callRead, c.read.Load()) {
		return 0, c.fault.err()
	}
	n, err := c.TCPConn.Read(p[:shortCall(c.read.Load(), len(p))])
	c.read.Add(int64(n))
	return n, err
}

func (c *faultyConn) Write(p []byte) (int, error) {
	done := 0
	for done < len(p) {
		passed := c.written.Load()
		if c.fails(callWrite, passed) {
			return done, c.fault.err()
		}
		n, err := c.TCPConn.Write(p[done : done+shortCall(passed, len(p)-done)])
		c.written.Add(int64(n))
		done += n
		if err != nil {
			return done, err
		}
	}
	return len(p), nil
}

// faultPlan has the faults of the connections to come, in order; those after them have none.
type faultPlan struct {
	mu     sync.Mutex
	faults []callFault
	made   map[string]*faultyConn // by the peer's address
}

func newFaultPlan(faults []callFault) *faultPlan {
	return &faultPlan{faults: faults, made: map[string]*faultyConn{}}
}

func (p *faultPlan) next() *callFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.faults) == 0 {
		return nil
	}
	f := p.faults[0]
	p.faults = p.faults[1:]
	return &f
}

func (p *faultPlan) wrap(nc net.Conn, f *callFault) net.Conn {
	c := &faultyConn{TCPConn: nc.(*net.TCPConn), fault: f}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made[nc.RemoteAddr().String()] = c
	return c
}

// broke tells whether the connection of a peer has met its fault.
func (p *faultPlan) broke(peer net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.made[peer.String()]
	return c != nil && c.broken.Load()
}

// dial opens a connection to a server (dialFunc).
func (p *faultPlan) dial(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	f := p.next()
	if f != nil && f.Call == callConnect {
		return nil, connectError(f.Errno)
	}
	nc, err := dialUntil(ctx, addr, until)
	if err != nil {
		return nil, err
	}
	return p.wrap(nc, f), nil
}

// faultyListener accepts clients by a plan.
type faultyListener struct {
	net.Listener
	plan *faultPlan
}

func (l faultyListener) Accept() (net.Conn, error) {
	f := l.plan.next()
	if f != nil && f.Call == callConnect {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", f.Errno)}
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.plan.wrap(nc, f), nil
}

// localErrnos say at connect that this machine lacks a resource, serverErrnos that the server fails.
var (
	localErrnos = []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
	}
	serverErrnos = []syscall.Errno{
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
		syscall.EPERM, syscall.EACCES,
	}
)

func connectError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// dialUntil opens a TCP connection until a time.
func dialUntil(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
