package agenttest

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
)

// SystemCall is a system call that a fault makes fail.
type SystemCall string

// The system calls that may fail. On the side of a listener CallConnect is the accept.
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
func shortCall(passed int64, available int) int {
	if passed < singleBytes {
		return min(1, available)
	}
	return min(shortPiece, available)
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

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.fails(CallRead, c.read.Load()) {
		return 0, c.fault.err()
	}
	n, err := c.TCPConn.Read(b[:shortCall(c.read.Load(), len(b))])
	c.read.Add(int64(n))
	return n, err
}

func (c *faultyConn) Write(b []byte) (int, error) {
	done := 0
	for done < len(b) {
		passed := c.written.Load()
		if c.fails(CallWrite, passed) {
			return done, c.fault.err()
		}
		n, err := c.TCPConn.Write(b[done : done+shortCall(passed, len(b)-done)])
		c.written.Add(int64(n))
		done += n
		if err != nil {
			return done, err
		}
	}
	return len(b), nil
}

// FaultPlan has the faults of the connections to come, in order; those after them have none.
type FaultPlan struct {
	mu     sync.Mutex
	faults []CallFault
	conns  map[string]*faultyConn // by the peer's address
}

// NewFaultPlan returns a plan of faults, one for each connection.
func NewFaultPlan(faults []CallFault) *FaultPlan {
	return &FaultPlan{faults: faults, conns: map[string]*faultyConn{}}
}

func (p *FaultPlan) next() *CallFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.faults) == 0 {
		return nil
	}
	fault := p.faults[0]
	p.faults = p.faults[1:]
	return &fault
}

func (p *FaultPlan) wrap(conn net.Conn, fault *CallFault) net.Conn {
	faulty := &faultyConn{TCPConn: conn.(*net.TCPConn), fault: fault}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[conn.RemoteAddr().String()] = faulty
	return faulty
}

// Broke reports whether the connection of a peer has met its fault.
func (p *FaultPlan) Broke(peer net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[peer.String()]
	return conn != nil && conn.broken.Load()
}

// Dial opens a connection to a server, as a pool of connections has it opened.
func (p *FaultPlan) Dial(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	fault := p.next()
	if fault != nil && fault.Call == CallConnect {
		return nil, ConnectError(fault.Errno)
	}
	conn, err := config.DialTCP(ctx, addr, until)
	if err != nil {
		return nil, err
	}
	return p.wrap(conn, fault), nil
}

// FaultyListener accepts clients by a plan.
type FaultyListener struct {
	net.Listener
	Plan *FaultPlan
}

// Accept accepts a connection, which has the next fault of the plan.
func (l FaultyListener) Accept() (net.Conn, error) {
	fault := l.Plan.next()
	if fault != nil && fault.Call == CallConnect {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", fault.Errno)}
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Plan.wrap(conn, fault), nil
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

// ConnectError is the error of a dial whose connect failed.
func ConnectError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}
