package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"fernbeam.example/fernbeam/internal/balancer"
)

// startWithServer starts an agent in front of one server with the given script.
func startWithServer(t *testing.T, answer func(c net.Conn, req *http.Request, n int) bool) (*testAgent, *fakeServer) {
	t.Helper()
	b := newFakeServer(t, answer)
	return startAgent(t, newDiscoveryServer(t, target("s-1", b.addr)), nil), b
}

func TestServed(t *testing.T) {
	var mu sync.Mutex
	var seen http.Header
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		mu.Lock()
		seen = req.Header.Clone()
		mu.Unlock()
		return respondOK(c, req, n)
	})
	req := newRequest(a.addr, "send", "hello")
	req.URL.RawQuery = "a=1&b=%20"
	// What a client says of its connection does not take away what names its request.
	req.Header.Set("Connection", "Request-Id, Idempotency-Key, X-Hop")
	req.Header.Set("X-Hop", "1")
	status, header, body := a.do(req)
	wantStatus(t, status, 200)
	if want := "POST /api/00000000000000a1?a=1&b=%20 hello"; body != want {
		t.Errorf("body %q, want %q", body, want)
	}
	if header.Get("Content-Length") != fmt.Sprint(len(body)) {
		t.Errorf("Content-Length %q", header.Get("Content-Length"))
	}
	mu.Lock()
	defer mu.Unlock()
	if seen.Get("Request-Id") != "1" || seen.Get("Idempotency-Key") != "k1" || seen.Get("X-Hop") != "" {
		t.Errorf("the backend got %v", seen)
	}
	var left int
	if _, err := fmt.Sscan(seen.Get("Request-Timeout-Ms"), &left); err != nil || left < 1 || left > 4000 {
		t.Errorf("the backend was told %q ms", seen.Get("Request-Timeout-Ms"))
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

// The ends of an attempt: the client's response, and how often the server saw the request.
func TestOutcomes(t *testing.T) {
	always := func(status int, header, body string) func(net.Conn, *http.Request, int) bool {
		return func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, status, header, body) }
	}
	raw := func(text string, keep bool) func(net.Conn, *http.Request, int) bool {
		return func(c net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, text)
			return keep
		}
	}
	for _, test := range []struct {
		name     string
		class    string
		answer   func(net.Conn, *http.Request, int) bool
		status   int
		arrivals int
	}{
		{"500 may have run", "order", always(500, "", ""), 502, 1},
		{"503 without proof may have run", "order", always(503, "", ""), 502, 1},
		{"reset after the last byte may have run", "order",
			func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) }, 502, 1},
		{"close after the last byte may have run", "order", raw("", false), 502, 1},
		{"broken body may have run", "order", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false), 502, 1},
		{"broken chunk may have run", "order",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", false), 502, 1},
		{"an answer may end with its connection", "order", raw("HTTP/1.1 200 OK\r\n\r\nwhole", false), 200, 1},
		{"an answer cut off by a reset may have run", "order", func(c net.Conn, _ *http.Request, _ int) bool {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			return resetConn(c)
		}, 502, 1},
		{"two framings at once may have run", "order",
			raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", true), 502, 1},
		{"an endless head may have run", "order", raw("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 2*maxResponseHead), true), 502, 1},
		{"what is no HTTP is not waited for", "order", raw("\x00\x01 no end of line", true), 502, 1},
		{"unreadable head may have run", "order", raw("nonsense\r\n\r\n", true), 502, 1},
		{"a long answer is streamed", "order", always(200, "", strings.Repeat("x", 40*maxBufferedBody)), 200, 1},
		{"turned away never ran", "order", always(503, "Not-Started: 1\r\n", ""), 503, 3},
		{"504 with proof never ran", "order", always(504, "Not-Started: 1\r\n", ""), 503, 3},
		{"what a server calls unfit fails, also where an error goes again", "send", always(400, "", ""), 400, 1},
		{"an error is repeated for a keyed one, three attempts at most", "send", always(500, "", ""), 503, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, b := startWithServer(t, test.answer)
			status, header, _ := a.do(newRequest(a.addr, test.class, "x"))
			wantStatus(t, status, test.status)
			if b.count() != test.arrivals {
				t.Errorf("%d arrivals, want %d", b.count(), test.arrivals)
			}
			if status == 503 && header.Get("Retry-After") != "0.600" {
				t.Errorf("refused with Retry-After %q", header.Get("Retry-After"))
			}
			if f := a.metricsNow(); f.backstops+f.violations > 0 {
				t.Errorf("a guard had to act: %+v", f)
			}
		})
	}
}

func TestOverloadedAttemptIsRetried(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		if n == 0 {
			return sendResponse(c, 503, "Not-Started: 1\r\n", "")
		}
		return respondOK(c, req, n)
	})
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

func TestInterimResponseIsSkipped(t *testing.T) {
	a, _ := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		fmt.Fprint(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n")
		return respondOK(c, req, n)
	})
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}

func TestRefusedConnectDidNotExecute(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	a := startAgent(t, newDiscoveryServer(t, target("s-1", addr)), nil)
	status, header, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 503)
	if header.Get("Retry-After") == "" {
		t.Error("refused without Retry-After")
	}
}

// A connection that breaks before the last byte is written proves that the attempt did not execute; only the
// count of bytes written distinguishes it from a reset.
func TestBreakBeforeLastByteDidNotExecute(t *testing.T) {
	small := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	ln, err := small.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		c.Read(make([]byte, 1)) // the request has begun, and does not fit the buffers
		resetConn(c)
		c.Close()
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	nc.(*net.TCPConn).SetWriteBuffer(4096)
	addr := ln.Addr().String()
	p := &connectionPool{budget: newBodyBudget(&Config{MemoryMB: 64}), connectTimeout: time.Second, keepalive: time.Minute, maxConns: 8, openConns: 1, idle: map[string][]*serverConn{
		addr: {{Conn: nc, reader: bufio.NewReader(nc), addr: addr, idleSince: time.Now().Add(-time.Second)}}}}
	req := newRequest(addr, "order", "")
	c := &clientRequest{method: req.Method, url: req.URL, header: req.Header, body: make([]byte, maxBufferedBody)}
	if res := attemptNow(context.Background(), p, &upstreamServer{}, addr, c); res.status != balancer.StatusConnectFailed {
		t.Errorf("ended as %d, want %d", res.status, balancer.StatusConnectFailed)
	}
	if p.openConns != 0 {
		t.Errorf("%d connections counted as open", p.openConns)
	}
}

// A server that began to drain while the attempt was connecting gets no request, and an attempt that was
// cancelled meanwhile does not count against its server.
func TestNothingIsSentOnceDrainingOrCancelled(t *testing.T) {
	b := newFakeServer(t, respondOK)
	p := newTestPool(testTimeout, 8)
	req := newRequest(b.addr, "order", "")
	c := &clientRequest{method: req.Method, url: req.URL, header: req.Header, body: []byte("x")}
	drained := &upstreamServer{}
	drained.unavailable.Store(true)
	if res := attemptNow(t.Context(), p, drained, b.addr, c); res.status != balancer.StatusConnectFailed {
		t.Errorf("drained: ended as %d, want %d", res.status, balancer.StatusConnectFailed)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if res := attemptNow(ctx, p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusCancelled {
		t.Errorf("withdrawn: ended as %d, want %d", res.status, balancer.StatusCancelled)
	}
	// One more goes through, after which an earlier one would have arrived as well.
	if res := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusOK {
		t.Errorf("ended as %d, want %d", res.status, balancer.StatusOK)
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

func TestConnectionIsReused(t *testing.T) {
	a, b := startWithServer(t, respondOK)
	for range 3 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(2 * settleTime)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arrivals != 3 || b.most != 1 || len(b.ended) != 0 {
		t.Errorf("%d arrivals, %d connections at once, %d ended", b.arrivals, b.most, len(b.ended))
	}
}

// A kept connection that the server has closed must be noticed before it carries a request: a non-idempotent
// one would end as a reset and fail.
func TestClosedKeptConnectionIsNotUsed(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		respondOK(c, req, n)
		return n > 0
	})
	wantServed := func() {
		t.Helper()
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	wantServed()
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Fatal("the backend did not close")
	}
	wantServed()
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

// A kept connection breaks on a request whose last byte was written: the request may have executed and is
// never sent again without the policy, not even with the key or without the body that make http.Transport do
// so.
func TestNoSilentResend(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		return n == 0 && respondOK(c, req, n)
	})
	status, _, _ := a.do(newRequest(a.addr, "order", ""))
	wantStatus(t, status, 200)
	time.Sleep(2 * settleTime)
	status, _, _ = a.do(newRequest(a.addr, "order", ""))
	wantStatus(t, status, 502)
	if b.count() != 2 {
		t.Errorf("%d arrivals, want 2", b.count())
	}
}

// A server that sends nothing: the request fails within its timeout, and the connection is closed, as the
// late response would be taken for the next one's.
func TestSilentServer(t *testing.T) {
	a, b := startWithServer(t, func(net.Conn, *http.Request, int) bool { return true })
	req := newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Timeout-Ms", "600")
	from := time.Now()
	status, _, _ := a.do(req)
	if status != 502 && status != 504 {
		t.Errorf("answered %d, want a failure", status)
	}
	if took := time.Since(from); took < 400*time.Millisecond {
		t.Errorf("gave up after %v", took)
	}
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Error("the connection stays open")
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

// orderRules are those of a class that must never execute twice.
var orderRules = &balancer.RequestRules{Class: balancer.Class{Name: "order", LatencyObjectiveMs: 2000, TotalTimeoutMs: 4000, Idempotency: balancer.NonIdempotent}, MaxAttempts: 3}

// The backstop responds before the deadline where the policy does not.
func TestBackstop(t *testing.T) {
	l, err := newEventLoop(t.Context(), startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), nil).loop.cfg, func() {})
	if err != nil {
		t.Fatal(err)
	}
	// A request that the policy never got stands for one that it forgot.
	c := &clientRequest{ctx: t.Context(), rules: orderRules, deadline: time.Now().Add(time.Second), response: make(chan finalResponse, 1)}
	r := &request{id: 1, client: c}
	l.requests[1], l.unanswered = r, 1
	l.backstopExpired(r)
	if a := <-c.response; a.kind != responseFailed || !a.timedOut {
		t.Errorf("answered %+v, want a late failure", a)
	}
	l.finish(r, finalResponse{kind: responseServed})
	if len(c.response) != 0 || l.metrics.backstops != 1 || l.unanswered != 0 || len(l.requests) != 0 {
		t.Errorf("%d further answers, figures %+v, %d open", len(c.response), l.metrics, l.unanswered)
	}
}

// The rules of a request apply whatever the policy decides.
func TestViolationsArePrevented(t *testing.T) {
	up := func() *upstreamServer { return &upstreamServer{addr: "127.0.0.1:1"} }
	drained := up()
	drained.unavailable.Store(true)
	now := time.Now()
	l := startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), nil).loop
	for _, test := range []struct {
		name  string
		r     request
		b     *upstreamServer
		until time.Time
		want  bool
	}{
		{"allowed", request{}, up(), now.Add(time.Second), true},
		{"drained", request{}, drained, now.Add(time.Second), false},
		{"unknown backend", request{}, nil, now.Add(time.Second), false},
		{"one out", request{inFlight: 1}, up(), now.Add(time.Second), false},
		{"answered", request{answered: true}, up(), now.Add(time.Second), false},
		{"may have run", request{mayHaveRun: 1}, up(), now.Add(time.Second), false},
		{"fourth attempt", request{attempts: make([]*attempt, 4)}, up(), now.Add(time.Second), false},
		{"no time", request{}, up(), now, false},
	} {
		test.r.client = &clientRequest{ctx: t.Context(), rules: orderRules}
		if why := violation(&test.r, test.b, now, test.until); (why == "") != test.want {
			t.Errorf("%s: %q", test.name, why)
		}
	}
	// A refusal after an attempt that may have run is turned into a failure.
	c := &clientRequest{ctx: t.Context(), rules: orderRules, response: make(chan finalResponse, 1)}
	done := make(chan bool)
	l.post(func() { l.reject(&request{id: 1 << 30, client: c, mayHaveRun: 1}, 1); close(done) })
	<-done
	if a := <-c.response; a.kind != responseFailed {
		t.Errorf("answered %+v, want a failure", a)
	}
}

func TestDrain(t *testing.T) {
	old, other := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", old.addr))
	a := startAgent(t, d, nil)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	d.set(target("s-2", other.addr))
	drains := target("s-1", old.addr)
	drains.State = "draining"
	d.waitNotified(t, drains)
	before := old.count()
	for range 8 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if old.count() != before || other.count() < 8 {
		t.Errorf("%d arrivals after the telling, %d elsewhere", old.count()-before, other.count())
	}
	select { // its idle connection is closed
	case <-old.ended:
	case <-time.After(testTimeout):
		t.Error("the idle connection to the draining backend stays open")
	}
}

func TestAddressChange(t *testing.T) {
	old, moved := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", old.addr))
	a := startAgent(t, d, nil)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	d.waitNotified(t, target("s-1", moved.addr))
	status, _, _ = a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if old.count() != 1 || moved.count() != 1 {
		t.Errorf("%d arrivals at the old address, %d at the new", old.count(), moved.count())
	}
}

// While discovery is down the known list stays in force and the calls are few; when it is back the agent gets
// what has changed.
func TestDiscoveryOutage(t *testing.T) {
	first, second := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", first.addr))
	a := startAgent(t, d, nil)
	d.waitVersion(t, 1)
	d.setDown(true)
	before := d.callCount()
	for d.callCount() == before { // the policy asks for the list again, after a time of its choice
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
		time.Sleep(5 * time.Millisecond)
	}
	if n := d.callCount() - before; n > 4 {
		t.Errorf("%d calls at once to a discovery that is down", n)
	}
	d.setDown(false)
	gone := target("s-1", first.addr)
	gone.State = "removed"
	d.set(target("s-2", second.addr))
	d.waitNotified(t, gone)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
	if second.count() == 0 {
		t.Error("the new backend is not used")
	}
}

// A discovery that answers every watch at once is not called in a tight loop.
func TestDiscoveryCallsAreRateLimited(t *testing.T) {
	var calls atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer busy.Close()
	d := newDiscoveryClient(busy.Listener.Addr().String(), 1, func(listResponse) {})
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	from := time.Now()
	d.watch(ctx)
	most := maxCallBurst + int64(maxCallsPerSecond*time.Since(from).Seconds()) + 1
	if n := calls.Load(); n < 2 || n > most {
		t.Errorf("%d calls, want 2 to %d", n, most)
	}
}

// Responses of discovery that cross do not take the list back to an older version.
func TestOldListIsDropped(t *testing.T) {
	l := startAgent(t, newDiscoveryServer(t, target("s-1", "127.0.0.1:1")), nil).loop
	done := make(chan bool)
	l.post(func() {
		defer close(done)
		drains := target("s-1", "127.0.0.1:1")
		drains.State = "draining"
		at := l.discovery.currentSource()
		up := []Target{target("s-1", "127.0.0.1:1")}
		l.onListResponse(listResponse{source: at, watch: true, list: &List{Version: 9, Servers: []Target{drains}}})
		l.onListResponse(listResponse{source: at, list: &List{Version: 8, Full: true, Servers: up}})
		l.onListResponse(listResponse{source: at, watch: true, list: &List{Version: 8, Full: true, Servers: up}})
		if !l.endpoints.byID["s-1"].unavailable.Load() {
			t.Error("an older list took back a drain")
		}
		l.onListResponse(listResponse{source: at, watch: true, list: &List{Version: 10, Full: true}})
		if len(l.endpoints.byID) != 0 || len(l.endpoints.byAddr) != 0 {
			t.Error("a backend that is gone is kept")
		}
	})
	<-done
}

func TestPolicyAddressesAreStableAndUnique(t *testing.T) {
	x, y := newEndpointList(nil, nil), newEndpointList(nil, nil)
	a, b := x.findOrAdd("s-1"), y.findOrAdd("s-1")
	if a.policyAddr != b.policyAddr {
		t.Error("two agents name one backend differently")
	}
	delete(y.byID, "s-1") // now its name is taken by another id
	if c := y.findOrAdd("s-1"); c.policyAddr == b.policyAddr {
		t.Error("two backends have one name")
	}
}

// A client that closes its connection has its attempt cancelled.
func TestClientGone(t *testing.T) {
	arrived := make(chan struct{}, 10)
	a, b := startWithServer(t, func(net.Conn, *http.Request, int) bool {
		arrived <- struct{}{}
		return true
	})
	ctx, leave := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		req := newRequest(a.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", "60000") // longer than the test waits for the withdrawal
		_, err := testClient.Do(req.WithContext(ctx))
		failed <- err
	}()
	<-arrived
	leave()
	<-failed
	select {
	case <-b.ended:
	case <-time.After(testTimeout):
		t.Fatal("the attempt goes on")
	}
	if f := a.metricsNow(); f.clientsGone != 1 || f.backstops != 0 {
		t.Errorf("figures %+v", f)
	}
}

// A log that nobody reads does not block the event loop.
func TestLogNeverBlocksTheLoop(t *testing.T) {
	a, _ := startWithServer(t, respondOK)
	blocked, held := make(chan struct{}), make(chan struct{})
	a.loop.logLines <- func() { close(held); <-blocked }
	defer close(blocked)
	<-held
	done := make(chan struct{})
	a.loop.post(func() {
		a.loop.logLimit.SetLimit(rate.Inf)
		for range 2 * cap(a.loop.logLines) {
			a.loop.log(slog.LevelDebug, "line")
		}
		close(done)
	})
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("the loop waits for the log")
	}
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}

func TestMalformedInput(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, _ int) bool { // no echo: it would be too large
		body, _ := io.ReadAll(req.Body)
		return sendResponse(c, 200, "", fmt.Sprint(len(body)))
	})
	set := func(name, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(name, value) }
	}
	for _, test := range []struct {
		name   string
		class  string
		change func(*http.Request)
		body   string
		status int
	}{
		{"class", "order", set("Request-Class", "nobody's"), "x", 400},
		{"no class", "order", func(r *http.Request) { r.Header.Del("Request-Class") }, "x", 400},
		{"no id", "order", func(r *http.Request) { r.Header.Del("Request-Id") }, "x", 400},
		{"no key", "send", func(r *http.Request) { r.Header.Del("Idempotency-Key") }, "x", 400},
		{"time-out a word", "order", set("Request-Timeout-Ms", "soon"), "x", 400},
		{"time-out negative", "order", set("Request-Timeout-Ms", "-5"), "x", 400},
		{"time-out zero", "order", set("Request-Timeout-Ms", "0"), "x", 400},
		{"time-out huge", "order", set("Request-Timeout-Ms", "99999999999999999999"), "x", 400},
		{"method", "order", func(r *http.Request) { r.Method = "DELETE" }, "x", 405},
		{"oversize", "order", func(r *http.Request) { r.ContentLength = maxRequestBody + 1 }, "x", 413},
	} {
		req := newRequest(a.addr, test.class, test.body)
		if test.change != nil {
			test.change(req)
		}
		if test.status == 413 { // it has no end that the client could send
			c := a.dialKept()
			fmt.Fprintf(c, "POST /api/x HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
				"Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\nx", maxRequestBody+1)
			if resp, err := http.ReadResponse(c.br, nil); err != nil || resp.StatusCode != 413 {
				t.Errorf("%s: %v, %v", test.name, resp, err)
			}
			continue
		}
		if status, _, _ := a.do(req); status != test.status {
			t.Errorf("%s: answered %d, want %d", test.name, status, test.status)
		}
	}
	for _, text := range []string{"nonsense\r\n\r\n", "POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n",
		"POST /api/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc"} {
		c, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(c, text)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 400 {
			t.Errorf("%q: %v, %v", text, resp, err)
		}
		c.Close()
	}
	if status, _, got := a.do(newRequest(a.addr, "order", strings.Repeat("x", maxBufferedBody))); status != 200 || got != fmt.Sprint(maxBufferedBody) {
		t.Errorf("the largest body: answered %d, arrived %s", status, got)
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

// Connections that are all accepted before any is idle reach the limit with none to close; those that become
// idle then have to be closed. None is chosen twice while it is being closed.
func TestIdleClientsAreClosedAtTheLimit(t *testing.T) {
	const most = 16
	c := newClientConns(most)
	var conns []*clientConn
	for range most {
		p, y := net.Pipe()
		defer y.Close()
		x := &clientConn{Conn: p, release: func() {}}
		conns = append(conns, x)
		c.track(x, http.StateNew)
		c.track(x, http.StateActive)
	}
	closed := func() (n int) {
		for _, x := range conns {
			if x.closeIfIdle { // nothing has arrived, so its reader closes it
				n++
			}
		}
		return n
	}
	for _, x := range conns {
		c.track(x, http.StateIdle)
	}
	if n := closed(); n != most/8 {
		t.Errorf("%d of %d closed, want %d", n, most, most/8)
	}
	for _, x := range conns[:most/8] {
		c.track(x, http.StateClosed)
	}
	for range most / 8 { // new ones, while the server has not noticed a close yet
		x, y := net.Pipe()
		defer y.Close()
		c.track(x, http.StateNew)
	}
	if n := closed(); n != most/4 {
		t.Errorf("%d closed, want %d", n, most/4)
	}
}

// Idle clients are closed for new ones, and attempts beyond the limit don't open connections: neither side
// can use up the descriptors.
func TestDescriptorLimit(t *testing.T) {
	release := make(chan struct{})
	b := newFakeServer(t, func(c net.Conn, req *http.Request, n int) bool {
		<-release
		return respondOK(c, req, n)
	})
	a := startAgent(t, newDiscoveryServer(t, target("s-1", b.addr)), func(c *Config) { c.Sockets = minSockets })
	most := a.loop.cfg.clientConns()
	for range 2 * most { // clients that stay connected and idle
		c, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		fmt.Fprint(c, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	close(release)
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)

	p := newTestPool(testTimeout, 2)
	end := time.Now().Add(testTimeout)
	x, err := p.acquire(t.Context(), b.addr, end)
	if err != nil {
		t.Fatal(err)
	}
	y, err := p.acquire(t.Context(), b.addr, end)
	if err != nil {
		t.Fatal(err)
	}
	defer y.Close()
	if _, err := p.acquire(t.Context(), b.addr, end); err != errNoDescriptor {
		t.Errorf("a third connection of two: %v", err)
	}
	p.release(x, &upstreamServer{})
	z, err := p.acquire(t.Context(), newFakeServer(t, respondOK).addr, end) // the idle one gives way
	if err != nil {
		t.Fatal(err)
	}
	z.Close()
	if p.openConns != 2 {
		t.Errorf("%d connections counted, want 2", p.openConns)
	}
}

// The log has all attempts of a request that failed, by its id.
func TestFailedRequestIsLoggedWithItsAttempts(t *testing.T) {
	a, b := startWithServer(t, func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 500, "", "") })
	lines := a.logLines(t)
	req := newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Id", "c0ffee")
	status, _, _ := a.do(req)
	wantStatus(t, status, 502)
	text := waitLine(t, lines, "c0ffee")
	for _, want := range []string{"request failed", "class=order", "[s-1 at ", "ended 301 after "} {
		if !strings.Contains(text, want) {
			t.Errorf("line %q lacks %q", text, want)
		}
	}
	req = newRequest(a.addr, "order", "x")
	req.Header.Set("Request-Id", "decaf")
	req.Header.Set("Request-Class", "nobody's")
	status, _, _ = a.do(req)
	wantStatus(t, status, 400)
	if text := waitLine(t, lines, "decaf"); !strings.Contains(text, "unknown Request-Class") {
		t.Errorf("line %q does not say why", text)
	}
	if f := a.metricsNow(); f.invalid != 1 || f.failed != 1 || f.attempts[balancer.StatusError] != 1 {
		t.Errorf("figures %+v", f)
	}
	if b.count() != 1 {
		t.Errorf("%d arrivals, want 1", b.count())
	}
}

// Chunked framing may hide a request in what the sender meant as a body of the length that it also gave:
// nothing after the last chunk is read as a request.
func TestNothingInsideABodyIsTakenForARequest(t *testing.T) {
	inner := "POST /api/b2 HTTP/1.1\r\nHost: x\r\nRequest-Id: 2\r\nRequest-Class: order\r\n" +
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
	body := "1\r\nx\r\n0\r\n\r\n" + inner
	head := func(class, framing string) string {
		return "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: " + class +
			"\r\nRequest-Timeout-Ms: 4000\r\n" + framing + "\r\n\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d", len(body))
	for _, test := range []struct {
		name, head string
		status     int
		arrivals   int
	}{
		{"length first", head("order", length+"\r\nTransfer-Encoding: chunked"), 200, 1},
		{"length last", head("order", "Transfer-Encoding: chunked\r\n"+length), 200, 1},
		{"rejected", head("nobody's", "Transfer-Encoding: chunked\r\n"+length), 400, 0},
		{"before 1.1", strings.Replace(head("order", "Connection: keep-alive\r\nTransfer-Encoding: chunked"),
			"HTTP/1.1", "HTTP/1.0", 1), 505, 0},
		{"rejected, plain", head("nobody's", "Content-Length: 0"), 400, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, b := startWithServer(t, respondOK)
			c, err := net.Dial("tcp", a.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(testTimeout))
			fmt.Fprint(c, test.head+body)
			br := bufio.NewReader(c)
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			wantStatus(t, resp.StatusCode, test.status)
			if _, err := io.ReadAll(resp.Body); err != nil {
				t.Fatal(err)
			}
			if !resp.Close {
				t.Error("the answer does not say that the connection closes")
			}
			// A reset counts as a close: what was not read makes the kernel send one.
			if resp, err := http.ReadResponse(br, nil); err == nil {
				t.Errorf("a second answer, %d", resp.StatusCode)
			}
			if b.count() != test.arrivals {
				t.Errorf("%d arrivals, want %d", b.count(), test.arrivals)
			}
		})
	}
}

// Where the settings allow health checks a demoted server is restored by one, on the health path and with no
// header of a client's; a draining server gets none.
func TestHealthCheckRestoresADemotedServer(t *testing.T) {
	probes := make(chan *http.Request, 100)
	var healthy atomic.Bool // until a probe says so everything fails
	b := newFakeServer(t, func(c net.Conn, req *http.Request, n int) bool {
		if req.URL.Path == "/-/healthy" {
			healthy.Store(true)
			probes <- req
			return sendResponse(c, 200, "", "")
		}
		if !healthy.Load() {
			return sendResponse(c, 500, "", "")
		}
		return respondOK(c, req, n)
	})
	a := startAgent(t, newDiscoveryServer(t, target("s-1", b.addr)), func(c *Config) {
		c.Settings.Limits.HealthChecks = true
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].LatencyObjectiveMs = 20 // how long a first failure holds
		}
	})
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 502)
	var probe *http.Request
	for end := time.Now().Add(testTimeout); probe == nil && time.Now().Before(end); {
		a.do(newRequest(a.addr, "order", "x"))
		select {
		case probe = <-probes:
		default:
		}
	}
	if probe == nil {
		t.Fatal("no probe came")
	}
	if probe.Method != http.MethodGet || probe.Header.Get("Request-Id") != "" || probe.ContentLength != 0 {
		t.Errorf("the probe was %s %s with %v", probe.Method, probe.URL, probe.Header)
	}
	status, _, _ = a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}

// How a health check ends, as the policy sees it.
func TestHealthCheckOutcomes(t *testing.T) {
	for name, test := range map[string]struct {
		answer func(net.Conn, *http.Request, int) bool
		want   balancer.Status
	}{
		"healthy":     {func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 200, "", "") }, balancer.StatusOK},
		"not healthy": {func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 503, "", "") }, balancer.StatusError},
		"full": {func(c net.Conn, _ *http.Request, _ int) bool { return sendResponse(c, 503, "Not-Started: 1\r\n", "") },
			balancer.StatusOverloaded},
		"reset":  {func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) }, balancer.StatusReset},
		"silent": {func(net.Conn, *http.Request, int) bool { return true }, balancer.StatusTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFakeServer(t, test.answer)
			p := newTestPool(200*time.Millisecond, 8)
			if res := p.healthCheck(t.Context(), &upstreamServer{}, b.addr, "x"); res.status != test.want {
				t.Errorf("ended as %d, want %d", res.status, test.want)
			}
			drained := &upstreamServer{}
			drained.unavailable.Store(true)
			if res := p.healthCheck(t.Context(), drained, b.addr, "x"); res.status != balancer.StatusConnectFailed {
				t.Errorf("drained: ended as %d, want %d", res.status, balancer.StatusConnectFailed)
			}
			if b.count() != 1 {
				t.Errorf("%d arrivals, want 1", b.count())
			}
		})
	}
}

// lateCloseListener makes connections that the agent closes stay readable, so that they bring a request that
// crosses the close.
type lateCloseListener struct{ net.Listener }

type lateClose struct {
	net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l lateCloseListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateClose{Conn: c, closed: make(chan struct{})}, nil
}

// Close takes effect at the second call, the one that ends the serving of a connection.
func (c *lateClose) Close() error {
	first := false
	c.once.Do(func() { first = true; close(c.closed) })
	if first {
		return nil
	}
	return c.Conn.Close()
}

// A request that crosses the close of its idle connection is sent again by its client, on another: if the
// agent forwarded it as well, two copies would execute.
func TestRequestThatCrossesACloseIsNotForwarded(t *testing.T) {
	b := newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", b.addr))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := startAgentOn(t, d, lateCloseListener{ln}, nil)
	dial := func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", a.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(testTimeout))
		return c, bufio.NewReader(c)
	}
	first, br := dial()
	fmt.Fprint(first, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
		t.Fatalf("%v, %v", resp, err)
	}
	conns := a.front.conns
	waitUntil(t, "the connection idles", func() bool {
		conns.mu.Lock()
		defer conns.mu.Unlock()
		return conns.order.Len() == 1
	})
	conns.mu.Lock()
	conns.order.Front().Value.(net.Conn).Close()
	conns.mu.Unlock()
	fmt.Fprint(first, "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: 0\r\n\r\n")
	if resp, err := http.ReadResponse(br, nil); err == nil {
		t.Errorf("answered %d on a connection that was closed", resp.StatusCode)
	}
	if f := a.metricsNow(); f.requests != 0 || b.count() != 0 {
		t.Errorf("%d taken, %d arrivals, want none", f.requests, b.count())
	}
}

// Where changes of the list are pushed the policy asks for nothing: the agent keeps a watch by itself from
// its start, and reopens it after failures.
func TestPushedChangesAreWatchedFor(t *testing.T) {
	first, second := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
	d := newDiscoveryServer(t, target("s-1", first.addr))
	a := startAgent(t, d, func(c *Config) { c.Settings.DiscoveryMode = "pushed" })
	d.waitNotified(t, target("s-2", second.addr))
	d.setDown(true)
	for before := d.callCount(); d.callCount() < before+2; time.Sleep(time.Millisecond) {
	}
	d.setDown(false)
	gone := target("s-1", first.addr)
	gone.State = "removed"
	d.waitNotified(t, gone)
	before := first.count()
	for range 4 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, 200)
	}
	if first.count() != before || second.count() < 4 {
		t.Errorf("%d arrivals at the one that is gone, %d at the other", first.count()-before, second.count())
	}
}

// After a reload the list is watched at the new address, whichever side asks for the watch, and the old one
// gets no more calls.
func TestReloadMovesDiscovery(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) {
			first, second := newFakeServer(t, respondOK), newFakeServer(t, respondOK)
			old := newDiscoveryServer(t, target("s-1", first.addr))
			a := startAgent(t, old, func(c *Config) { c.Settings.DiscoveryMode = mode })
			old.waitVersion(t, 1)
			moved := newDiscoveryServer(t, target("s-1", first.addr), target("s-2", second.addr))
			moved.list.Version = 7
			cfg := *a.loop.cfg
			cfg.Discovery = moved.Listener.Addr().String()
			a.reloads <- &cfg
			moved.waitVersion(t, 7)
			before := old.callCount()
			gone := target("s-1", first.addr)
			gone.State = "removed"
			moved.waitNotified(t, gone)
			for range 4 {
				status, _, _ := a.do(newRequest(a.addr, "order", "x"))
				wantStatus(t, status, 200)
			}
			if first.count() != 0 || second.count() < 4 {
				t.Errorf("%d arrivals at the one that is gone, %d at the other", first.count(), second.count())
			}
			if n := old.callCount() - before; n != 0 {
				t.Errorf("%d calls at the old address", n)
			}
		})
	}
}

// A peer that connects and sends no complete request gets an error or a close within 3 s from connecting,
// also one that sends a byte now and then.
func TestImproperPeersAreEndedInTime(t *testing.T) {
	t.Parallel()
	a, b := startWithServer(t, respondOK)
	head := "POST /api/a1 HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 4000\r\n"
	for name, peer := range map[string]struct{ at, drip string }{
		"silent":       {"", ""},
		"half a head":  {head, ""},
		"slow head":    {"POST /api/a1 HTTP/1.1\r\nX: ", "x"},
		"half a body":  {head + "Content-Length: 10\r\n\r\nabc", ""},
		"slow body":    {head + "Content-Length: 1000\r\n\r\nabc", "x"},
		"slow chunks":  {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"endless head": {"POST /api/a1 HTTP/1.1\r\nX: ", strings.Repeat("x", 4096)},
		// The time is the connection's: a request before does not buy more.
		"second half": {"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\nPOST /api/a1 HT", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", a.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			from := time.Now()
			c.SetDeadline(from.Add(testTimeout))
			fmt.Fprint(c, peer.at)
			over := make(chan struct{})
			go func() {
				defer close(over)
				io.Copy(io.Discard, c) // an answer, and then the close
			}()
			for ended := false; !ended; {
				if peer.drip != "" {
					io.WriteString(c, peer.drip)
				}
				select {
				case <-over:
					ended = true
				case <-time.After(50 * time.Millisecond):
				}
			}
			// A second more than what is owed: a busy machine is not what is tested.
			if took := time.Since(from); took > 4*time.Second {
				t.Errorf("ended after %v", took)
			}
			if b.count() != 0 {
				t.Errorf("%d arrivals", b.count())
			}
		})
	}
}

// A request may wait for longer than it may take to arrive.
func TestRequestOutlivesItsReadTimeout(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	a, _ := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		<-release
		return respondOK(c, req, n)
	})
	time.AfterFunc(bodyGracePeriod+500*time.Millisecond, func() { close(release) })
	status, _, _ := a.do(newRequest(a.addr, "order", "x"))
	wantStatus(t, status, 200)
}

// brokenConn looks open until it is written to.
type brokenConn struct{ net.Conn }

func (brokenConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A kept connection that breaks before the last byte is written does not count against its server, and the
// request goes out on another connection; nor does a lack of descriptors.
func TestBrokenKeptConnectionAndLocalShortageDemoteNoServer(t *testing.T) {
	b := newFakeServer(t, respondOK)
	p := newTestPool(testTimeout, 2)
	for range 2 {
		x, y := net.Pipe()
		defer y.Close()
		p.idle[b.addr] = append(p.idle[b.addr], &serverConn{Conn: brokenConn{x}, reader: bufio.NewReader(x), addr: b.addr,
			uses: 1, idleSince: time.Now().Add(-time.Second)})
		p.openConns++
	}
	req := newRequest(b.addr, "order", "x")
	c := &clientRequest{method: req.Method, url: req.URL, header: req.Header, body: []byte("x")}
	if res := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusOK {
		t.Errorf("ended as %d (%s), want %d", res.status, res.reason, balancer.StatusOK)
	}
	if b.count() != 1 || p.size() != 1 {
		t.Errorf("%d arrivals and %d connections, want 1 and 1", b.count(), p.size())
	}
	p.closeIdle(b.addr)
	p.maxConns = 0
	if res := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusOverloaded {
		t.Errorf("no descriptor: ended as %d, want %d", res.status, balancer.StatusOverloaded)
	}
}

// A server that drops idle connections without a sign costs a request now and then, not each one that follows
// a pause.
func TestConnectionsThatIdleTooLongAreNotUsed(t *testing.T) {
	p := newTestPool(testTimeout, 8)
	b := newFakeServer(t, respondOK)
	req := newRequest(b.addr, "order", "x")
	c := &clientRequest{method: req.Method, url: req.URL, header: req.Header, body: []byte("x")}
	p.idleTimes.feed(100, 0, 0)
	p.idleTimes.feed(100, 200*time.Millisecond, 2)
	for _, idled := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond} {
		if res := attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c); res.status != balancer.StatusOK {
			t.Fatalf("ended as %d (%s)", res.status, res.reason)
		}
		p.idle[b.addr][0].idleSince = time.Now().Add(-idled)
	}
	attemptNow(t.Context(), p, &upstreamServer{}, b.addr, c)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.arrivals != 3 {
		t.Errorf("%d arrivals, want 3", b.arrivals)
	}
	if got := p.size(); got != 1 {
		t.Errorf("%d connections, want the new one alone", got)
	}
	if uses := p.idle[b.addr][0].uses; uses != 1 {
		t.Errorf("the third request was number %d on its connection", uses)
	}
}
