package agent

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// A second answer that comes some milliseconds late on a kept connection is nobody's: the next
// request there has its own.
func TestSecondAnswerIsNotTheNextRequests(t *testing.T) {
	a, b := one(t, func(c net.Conn, req *http.Request, n int) bool {
		if !serving(c, req, n) {
			return false
		}
		if n == 0 {
			time.Sleep(5 * time.Millisecond)
			_ = send(c, 200, "", "a second answer")
		}
		return true
	})
	client := a.dial()
	for i := range 3 {
		fmt.Fprintf(client, "GET /api/%d HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 4000\r\n\r\n", i, i)
		resp, err := http.ReadResponse(client.br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, 100)
		n, _ := resp.Body.Read(body)
		resp.Body.Close()
		if want := fmt.Sprintf("GET /api/%d ", i); string(body[:n]) != want {
			t.Errorf("request %d was answered %q, want %q", i, body[:n], want)
		}
	}
	if b.count() != 3 {
		t.Errorf("%d arrivals, want 3", b.count())
	}
}

// A repeat is begun only while backends still drop repeats, also where its connection comes up
// after the module's look at the clock.
func TestRepeatIsNotBegunPastItsWindow(t *testing.T) {
	t.Parallel()
	fails := newBackend(t, func(c net.Conn, _ *http.Request, _ int) bool { return send(c, 500, "", "") })
	// Where the module tries first is by its hash: one of two ids leads to the failing one.
	for _, ids := range [][2]string{{"s-1", "s-2"}, {"s-2", "s-1"}, {"s-3", "s-4"}, {"s-4", "s-3"}} {
		ln := fullListener(t)
		a := startAgent(t, newDiscoveryServer(t, target(ids[0], fails.addr), target(ids[1], ln.Addr().String())), func(c *Config) {
			c.Settings.Limits.ConnectTimeoutMs = 10_000
			for i := range c.Settings.Classes {
				c.Settings.Classes[i].DedupWindowMs = 400
			}
		})
		before := fails.count()
		a.front.retune(a.loop.cfg)
		req := newRequest(a.addr, "send", "x")
		req.Header.Set("Request-Timeout-Ms", "8000")
		got := make(chan int, 1)
		go func() {
			resp, err := testClient.Do(req)
			if err != nil {
				got <- 0
				return
			}
			resp.Body.Close()
			got <- resp.StatusCode
		}()
		until(t, "a connect is under way", func() bool { return a.loop.pool.connects() > 0 })
		time.Sleep(100 * time.Millisecond)
		if fails.count() == before { // the slow one came first: no repeat is on its way
			ln.Close()
			a.stop()
			continue
		}
		// The repeat's connect hangs until there is room, past the window by then.
		time.AfterFunc(600*time.Millisecond, func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go func() {
					defer nc.Close()
					head := make([]byte, 1000)
					if n, _ := nc.Read(head); n > 0 {
						t.Errorf("repeated after its window: %q", head[:n])
						_ = send(nc, 200, "", "")
					}
				}()
			}
		})
		if status := <-got; status != 502 {
			t.Errorf("answered %d, want 502", status)
		}
		if f := a.figures(); f.ends[balancer.StatusUnsent] != 1 {
			t.Errorf("figures %+v", f)
		}
		return
	}
	t.Error("no request came to the failing backend first")
}

// A process that knows no server, of a discovery that is silent, is ready in time all the same:
// its requests are refused in theirs, and served once there is a list. Operators are told that it
// serves only then.
func TestReadyWhileNothingIsKnown(t *testing.T) {
	t.Parallel()
	b := newBackend(t, serving)
	var up atomic.Bool
	addr, _ := scriptedDiscovery(t, func(int, watchCall) string {
		if !up.Load() {
			return ""
		}
		return fmt.Sprintf(`{"version":3,"full":true,"servers":[{"id":"s-1","addr":%q,"state":"up","weight":1}]}`, b.addr)
	})
	from := time.Now()
	a := startAgent(t, newDiscoveryServer(t), func(c *Config) { c.Discovery, c.Settings.DiscoveryMode = addr, "pushed" })
	if took := time.Since(from); took > 10*time.Second {
		t.Errorf("ready after %v", took)
	}
	wantStatus(t, a.call("GET", "/ops/readiness"), 503)
	req := newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "500")
	status, _, _ := a.ask(req)
	wantStatus(t, status, 503)
	up.Store(true)
	until(t, "a request is served", func() bool {
		status, _, _ := a.ask(newRequest(a.addr, "order", "x"))
		return status == 200
	})
	until(t, "operators are told", func() bool { return a.call("GET", "/ops/readiness") == 200 })
}

// Half a line that a server sends on an idle connection spoils it: the next request takes another.
func TestHalfALineOnAnIdleConnectionIsNobodys(t *testing.T) {
	more := make(chan struct{})
	a, b := one(t, func(c net.Conn, req *http.Request, n int) bool {
		if serving(c, req, n); n == 0 {
			fmt.Fprint(c, "HTTP/1.1 2")
			close(more)
		}
		return true
	})
	for i := range 2 {
		status, _, _ := a.ask(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
		if i == 0 {
			<-more
			time.Sleep(2 * settleTime)
		}
	}
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

// A client that leaves in the middle of a body that is kept has sent no request: nothing is sent on.
func TestClientThatLeavesInItsBodyIsNotSentOn(t *testing.T) {
	a, b := one(t, serving)
	c := a.dial()
	fmt.Fprint(c, "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 4000\r\nContent-Length: 9\r\n\r\nhalf")
	c.Close()
	a.noneOpen(t)
	until(t, "it is counted", func() bool { return a.figures().rejected == 1 })
	if f := a.figures(); b.begun() != 0 || f.taken != 0 {
		t.Errorf("%d arrivals, figures %+v", b.begun(), f)
	}
}

// A request that is read once the process takes none any more is refused, on its connection, and
// not sent on.
func TestRequestReadAfterTheEndIsRefused(t *testing.T) {
	a, b := one(t, serving)
	c := a.dial()
	if c.ask(t).StatusCode != 200 {
		t.Fatal("not served")
	}
	a.front.closed.Store(true)
	if resp := c.ask(t); resp.StatusCode != 503 {
		t.Errorf("answered %d, want a refusal", resp.StatusCode)
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

// What is written last goes out with its connection's end: the system holds back no small writes,
// neither of clients' connections nor of servers'.
func TestSmallWritesAreNotHeldBack(t *testing.T) {
	noDelay := func(nc net.Conn) (set bool) {
		raw, err := nc.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		if err := raw.Control(func(fd uintptr) {
			v, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY)
			set = err == nil && v != 0
		}); err != nil {
			t.Fatal(err)
		}
		return set
	}
	if _, c := clientPair(t); !noDelay(c.Conn) {
		t.Error("small writes to clients are held back")
	}
	p := &pool{budget: newBudget(&Config{MemoryMB: 64}), connectTimeout: patience, keepalive: time.Minute, max: 8, idle: map[string][]*conn{}}
	b := newBackend(t, serving)
	cn, err := p.get(t.Context(), b.addr, time.Now().Add(patience))
	if err != nil {
		t.Fatal(err)
	}
	defer p.close(cn)
	if !noDelay(cn.Conn) {
		t.Error("small writes to servers are held back")
	}
}
