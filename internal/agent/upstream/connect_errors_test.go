package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// connectWith makes an attempt whose connect fails.
func connectWith(t *testing.T, errno syscall.Errno) Result {
	t.Helper()
	p := newTestPool(agenttest.Timeout, 1)
	p.dial = func(context.Context, string, time.Time) (net.Conn, error) { return nil, agenttest.ConnectError(errno) }
	now := time.Now()
	r := p.Attempt(t.Context(), &Server{}, "127.0.0.1:1", &Message{}, now, now.Add(agenttest.Timeout))
	if p.Size() != 0 {
		t.Errorf("%v: %d connections counted, want none", errno, p.Size())
	}
	return r
}

func TestConnectErrorsSeparateLocalShortageFromServerFault(t *testing.T) {
	for _, errno := range agenttest.LocalErrnos {
		if r := connectWith(t, errno); r.Status != balancer.StatusOverloaded {
			t.Errorf("%v: ended as %d, want %d", errno, r.Status, balancer.StatusOverloaded)
		}
	}
	for _, errno := range agenttest.ServerErrnos {
		if r := connectWith(t, errno); r.Status != balancer.StatusConnectFailed {
			t.Errorf("%v: ended as %d, want %d", errno, r.Status, balancer.StatusConnectFailed)
		}
	}
}

// A request that could not be written for lack of memory does not count against a server either.
func TestWriteErrorsSeparateLocalShortageFromServerFault(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.RespondOK)
	want := map[syscall.Errno]balancer.Status{
		syscall.ENOBUFS: balancer.StatusOverloaded, syscall.ENOMEM: balancer.StatusOverloaded,
		syscall.EPIPE: balancer.StatusConnectFailed, syscall.ETIMEDOUT: balancer.StatusConnectFailed, syscall.ENETUNREACH: balancer.StatusConnectFailed,
	}
	for errno, status := range want {
		p := newTestPool(agenttest.Timeout, 1)
		p.dial = agenttest.NewFaultPlan([]agenttest.CallFault{{Call: agenttest.CallWrite, After: 30, Errno: errno}}).Dial
		req := agenttest.NewRequest(b.Addr, "order", "x")
		c := &message.Request{Method: req.Method, URL: req.URL, Header: req.Header, Body: []byte("x")}
		if r := attemptNow(t.Context(), p, &Server{}, b.Addr, c); r.Status != status {
			t.Errorf("%v: ended as %d, want %d", errno, r.Status, status)
		}
	}
	if b.Count() != 0 {
		t.Errorf("%d arrivals, want none", b.Count())
	}
}
