package agent

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

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

// While connects fail because this machine lacks a resource, requests are rejected or served by retries, and
// no server is demoted.
func TestLocalShortageDemotesNoServer(t *testing.T) {
	b, c, d := newFakeServer(t, respondOK), newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	var connects atomic.Int64
	dial := func(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
		n := int(connects.Add(1)) - 1
		if n < 2*len(localErrnos) {
			return nil, connectError(localErrnos[n%len(localErrnos)])
		}
		return dialTCP(ctx, addr, until)
	}
	discovery := newDiscoveryServer(t, target("s-1", b.addr), target("s-2", c.addr), target("s-3", d.addr))
	a := startAgent(t, discovery, func(cfg *Config) { cfg.Dial = dial })
	waitUntil(t, "an answer once the lack is over", func() bool {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("answered %d, want 200 or a refusal", status)
		}
		return status == http.StatusOK
	})
	states := inLoop(a, func(l *eventLoop) [4]int { return l.balancer.Stats().States })
	if demoted := states[balancer.UnhealthyPending] + states[balancer.Unhealthy]; demoted != 0 {
		t.Errorf("%d servers demoted of %v", demoted, states)
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
		p.dial = newFaultPlan([]callFault{{callWrite, 30, errno}}).dial
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
