package upstream

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/balancer"
)

// connectWith makes an attempt whose connect fails with errno.
func connectWith(t *testing.T, errno syscall.Errno) Result {
	t.Helper()
	pool := newTestPool(agenttest.Timeout, 1)
	pool.dial = func(context.Context, string, time.Time) (net.Conn, error) { return nil, agenttest.ConnectError(errno) }
	now := time.Now()
	target := readyTarget("127.0.0.1:1")
	result := pool.Attempt(t.Context(), target, &Message{StartedAt: now, Deadline: now.Add(agenttest.Timeout)})
	if pool.Size() != 0 {
		t.Errorf("%v: %d connections counted, want none", errno, pool.Size())
	}
	return result
}

// A connect that fails for lack of a local resource does not count against the server, but other failures do.
func TestConnectErrorsSeparateLocalShortageFromServerFault(t *testing.T) {
	for _, errno := range agenttest.LocalErrnos {
		wantStatus(t, errno.Error(), connectWith(t, errno), balancer.StatusOverloaded)
	}
	for _, errno := range agenttest.ServerErrnos {
		wantStatus(t, errno.Error(), connectWith(t, errno), balancer.StatusConnectFailed)
	}
}

// A write that fails for lack of local memory does not count against the server, but one on a broken connection does.
func TestWriteErrorsSeparateLocalShortageFromServerFault(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	for errno, want := range map[syscall.Errno]balancer.Status{
		syscall.ENOBUFS:     balancer.StatusOverloaded,
		syscall.ENOMEM:      balancer.StatusOverloaded,
		syscall.EPIPE:       balancer.StatusConnectFailed,
		syscall.ETIMEDOUT:   balancer.StatusConnectFailed,
		syscall.ENETUNREACH: balancer.StatusConnectFailed,
	} {
		pool := newTestPool(agenttest.Timeout, 1)
		fault := agenttest.CallFault{Call: agenttest.CallWrite, After: 30, Errno: errno}
		pool.dial = agenttest.NewFaultPlan([]agenttest.CallFault{fault}).Dial
		result := attemptNow(t.Context(), pool, readyTarget(server.Addr), orderRequest(server.Addr, []byte("x")))
		wantStatus(t, errno.Error(), result, want)
	}
	if server.Count() != 0 {
		t.Errorf("%d arrivals, want none", server.Count())
	}
}
