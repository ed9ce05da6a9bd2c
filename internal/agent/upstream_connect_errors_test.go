package agent

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// connectWith makes an attempt whose connect fails.
func connectWith(t *testing.T, errno syscall.Errno) attemptResult {
	t.Helper()
	p := newTestPool(testTimeout, 1)
	p.dial = func(context.Context, string, time.Time) (net.Conn, error) { return nil, connectError(errno) }
	now := time.Now()
	r := p.attempt(t.Context(), &upstreamServer{}, "127.0.0.1:1", &upstreamMessage{}, now, now.Add(testTimeout))
	if p.size() != 0 {
		t.Errorf("%v: %d connections counted, want none", errno, p.size())
	}
	return r
}

func TestConnectErrorsSeparateLocalShortageFromServerFault(t *testing.T) {
	for _, errno := range localErrnos {
		if r := connectWith(t, errno); r.status != balancer.StatusOverloaded {
			t.Errorf("%v: ended as %d, want %d", errno, r.status, balancer.StatusOverloaded)
		}
	}
	for _, errno := range serverErrnos {
		if r := connectWith(t, errno); r.status != balancer.StatusConnectFailed {
			t.Errorf("%v: ended as %d, want %d", errno, r.status, balancer.StatusConnectFailed)
		}
	}
}

// A request that could not be written for lack of memory does not count against a server either.
func TestWriteErrorsSeparateLocalShortageFromServerFault(t *testing.T) {
	b := newFakeServer(t, respondOK)
	want := map[syscall.Errno]balancer.Status{
		syscall.ENOBUFS: balancer.StatusOverloaded, syscall.ENOMEM: balancer.StatusOverloaded,
		syscall.EPIPE: balancer.StatusConnectFailed, syscall.ETIMEDOUT: balancer.StatusConnectFailed, syscall.ENETUNREACH: balancer.StatusConnectFailed,
	}
	for errno, status := range want {
		p := newTestPool(testTimeout, 1)
		p.dial = newFaultPlan([]callFault{{Call: callWrite, After: 30, Errno: errno}}).dial
		req := newRequest(b.addr, "order", "x")
		c := &clientRequest{method: req.Method, url: req.URL, header: req.Header, body: []byte("x")}
		if r := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); r.status != status {
			t.Errorf("%v: ended as %d, want %d", errno, r.status, status)
		}
	}
	if b.count() != 0 {
		t.Errorf("%d arrivals, want none", b.count())
	}
}
