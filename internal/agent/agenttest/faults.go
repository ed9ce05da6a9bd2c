package agenttest

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// SystemCall is a system call that a fault makes fail.
type SystemCall string

const (
	CallConnect SystemCall = "connect"
	CallRead    SystemCall = "read"
	CallWrite   SystemCall = "write"
)

// CallFault makes a connection's call fail once so many bytes have passed it, and every call after that.
type CallFault struct {
	Call  SystemCall
	After int64
	Errno syscall.Errno
}

func (f *CallFault) err() error {
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
	fault         *CallFault // nil: none
	read, written atomic.Int64
	broken        atomic.Bool
}

func (c *faultyConn) fails(call SystemCall, passed int64) bool {
	if c.fault != nil && c.fault.Call == call && passed >= c.fault.After {
		c.broken.Store(true)
	}
	return c.broken.Load()
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.fails(CallRead, c.read.Load()) {
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
		if c.fails(CallWrite, passed) {
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

// FaultPlan has the faults of the connections to come, in order; those after them have none.
type FaultPlan struct {
	mu     sync.Mutex
	faults []CallFault
	made   map[string]*faultyConn // by the peer's address
}

func NewFaultPlan(faults []CallFault) *FaultPlan {
	return &FaultPlan{faults: faults, made: map[string]*faultyConn{}}
}

func (p *FaultPlan) next() *CallFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.faults) == 0 {
		return nil
	}
	f := p.faults[0]
	p.faults = p.faults[1:]
	return &f
}

func (p *FaultPlan) wrap(nc net.Conn, f *CallFault) net.Conn {
	c := &faultyConn{TCPConn: nc.(*net.TCPConn), fault: f}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.made[nc.RemoteAddr().String()] = c
	return c
}

// Broke tells whether the connection of a peer has met its fault.
func (p *FaultPlan) Broke(peer net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.made[peer.String()]
	return c != nil && c.broken.Load()
}

// Dial opens a connection to a server (dialFunc).
func (p *FaultPlan) Dial(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	f := p.next()
	if f != nil && f.Call == CallConnect {
		return nil, ConnectError(f.Errno)
	}
	nc, err := dialUntil(ctx, addr, until)
	if err != nil {
		return nil, err
	}
	return p.wrap(nc, f), nil
}

// FaultyListener accepts clients by a plan.
type FaultyListener struct {
	net.Listener
	Plan *FaultPlan
}

func (l FaultyListener) Accept() (net.Conn, error) {
	f := l.Plan.next()
	if f != nil && f.Call == CallConnect {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", f.Errno)}
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Plan.wrap(nc, f), nil
}

// LocalErrnos say at connect that this machine lacks a resource, ServerErrnos that the server fails.
var (
	LocalErrnos = []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EADDRINUSE, syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN,
	}
	ServerErrnos = []syscall.Errno{
		syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EHOSTUNREACH, syscall.ETIMEDOUT,
		syscall.EPERM, syscall.EACCES,
	}
)

func ConnectError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// dialUntil opens a TCP connection until a time.
func dialUntil(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
