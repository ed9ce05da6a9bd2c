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

// SystemCall is a system call that can be made to fail.
type SystemCall string

// The system calls that can be made to fail. For a FaultyListener, CallConnect stands for accept.
const (
	CallConnect SystemCall = "connect"
	CallRead    SystemCall = "read"
	CallWrite   SystemCall = "write"
)

// CallFault makes a system call on a connection fail. All reads and writes after that fail too.
type CallFault struct {
	Call  SystemCall
	After int64 // the number of bytes that the call transfers before it fails
	Errno syscall.Errno
}

func (f *CallFault) err() error {
	return &net.OpError{Op: string(f.Call), Net: "tcp", Err: os.NewSyscallError(string(f.Call), f.Errno)}
}

const (
	// singleByteCalls is how many bytes are transferred one at a time. After that, a call transfers at most maxShortCall
	// bytes, so that long bodies also take many short calls.
	singleByteCalls = 1000
	maxShortCall    = 61
)

// shortCallSize returns how many of the available bytes a call transfers after passed bytes.
func shortCallSize(passed int64, available int) int {
	if passed < singleByteCalls {
		return min(1, available)
	}
	return min(maxShortCall, available)
}

// faultyConn is a connection that transfers only a few bytes per call (see shortCallSize) until its fault occurs.
type faultyConn struct {
	*net.TCPConn
	fault         *CallFault // nil if there is none
	read, written atomic.Int64
	broken        atomic.Bool // the fault has occurred
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
	n, err := c.TCPConn.Read(b[:shortCallSize(c.read.Load(), len(b))])
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
		n, err := c.TCPConn.Write(b[done : done+shortCallSize(passed, len(b)-done)])
		c.written.Add(int64(n))
		done += n
		if err != nil {
			return done, err
		}
	}
	return len(b), nil
}

// FaultPlan assigns faults to connections in the order in which they are opened or accepted. Connections beyond the
// last fault have none.
type FaultPlan struct {
	mu     sync.Mutex
	faults []CallFault            // those that are not yet assigned
	conns  map[string]*faultyConn // by peer address
}

// NewFaultPlan returns a plan that assigns one fault to each connection.
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

// FaultOccurred reports whether the fault of the connection to peer has occurred.
func (p *FaultPlan) FaultOccurred(peer net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[peer.String()]
	return conn != nil && conn.broken.Load()
}

// Dial opens a connection to a server and assigns it the next fault of the plan. It can replace the dial function of a
// connection pool.
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

// FaultyListener is a listener whose connections have the faults of a plan.
type FaultyListener struct {
	net.Listener
	Plan *FaultPlan
}

// Accept accepts a connection and assigns it the next fault of the plan.
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

// Errors of connect(2): LocalErrnos mean that the local machine lacks a resource, ServerErrnos that the server fails.
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

// ConnectError returns the error of a dial whose connect call failed.
func ConnectError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}
