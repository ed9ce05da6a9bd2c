package agent

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/clock"
)

// testTimeout bounds every wait of the tests; none of them needs more than a part of it.
const testTimeout = 20 * time.Second

const testSettings = `{"classes":[
 {"name":"read","aimMs":2000,"giveUpMs":4000,"effect":"free","credit":1,"lateShare":0.2},
 {"name":"send","aimMs":2000,"giveUpMs":4000,"effect":"guarded","group":"all","keyTtlMs":8000,"credit":2,"lateShare":0.2},
 {"name":"order","aimMs":2000,"giveUpMs":4000,"effect":"single_shot","credit":5,"lateShare":0.2}],
 "clients":{"marksRetry":true},
 "contract":{"answerSlackMs":20,"askWithinMs":1600,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "failureDomains":["east","west"],"shapes":["big","small"],"index":0,"replicasOfMe":1,
 "limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":3,"maxRetryAfterMs":600,"retryAfter":true,"openCap":1000},
 "membershipMode":"on_request","objectiveMix":{"whole":1},"report":{"how":"inline","names":["qps","util","eps"]},
 "roundMs":5,"tenants":[],"weights":"nominal","worthBy":"request","zone":0}`

// fakeServer reads requests off real sockets and lets a script answer them.
type fakeServer struct {
	t    testing.TB
	ln   net.Listener
	addr string
	// answer handles the n-th request (from 0) to this server; false closes the connection.
	answer func(c net.Conn, req *http.Request, n int) bool

	mu       sync.Mutex
	heads    int // of requests, which may be incomplete
	arrivals int
	conns    int // open now
	most     int
	ended    chan struct{} // a value for each connection that the agent closed
}

func newFakeServer(t testing.TB, answer func(c net.Conn, req *http.Request, n int) bool) *fakeServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &fakeServer{t: t, ln: ln, addr: ln.Addr().String(), answer: answer, ended: make(chan struct{}, 1000)}
	t.Cleanup(func() { ln.Close() })
	go b.accept()
	return b
}

// accept serves connections until the listener is closed.
func (b *fakeServer) accept() {
	for {
		c, err := b.ln.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *fakeServer) serve(c net.Conn) {
	defer c.Close()
	b.mu.Lock()
	b.conns++
	b.most = max(b.most, b.conns)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
		b.ended <- struct{}{}
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.heads++
		b.mu.Unlock()
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		b.mu.Lock()
		n := b.arrivals
		b.arrivals++
		b.mu.Unlock()
		if !b.answer(c, req, n) {
			return
		}
	}
}

func (b *fakeServer) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals
}

// startedCount counts the requests that have begun to arrive.
func (b *fakeServer) startedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads
}

// sendResponse writes a response as it is.
func sendResponse(c net.Conn, status int, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), header, body)
	return err == nil
}

// respondOK answers every request with its own path and body.
func respondOK(c net.Conn, req *http.Request, _ int) bool {
	body, _ := io.ReadAll(req.Body)
	return sendResponse(c, 200, "Server-Load: qps=3,util=0.5,eps=0\r\n", req.Method+" "+req.URL.RequestURI()+" "+string(body))
}

// resetConn ends a connection with RST.
func resetConn(c net.Conn) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// fakeDiscovery has a list and answers fetches and watches.
type fakeDiscovery struct {
	*httptest.Server
	mu      sync.Mutex
	list    List
	changed map[string]uint64 // version of each entry's last change
	down    bool
	calls   int
	wake    chan struct{}
	asked   chan uint64 // the index of each watch call
}

func newDiscoveryServer(t testing.TB, servers ...Target) *fakeDiscovery {
	d := &fakeDiscovery{list: List{Version: 1, Full: true, Servers: servers}, changed: map[string]uint64{},
		wake: make(chan struct{}), asked: make(chan uint64, 1000)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		d.CloseClientConnections()
		d.Close()
	})
	return d
}

func (d *fakeDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	d.calls++
	down := d.down
	d.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := req.URL.Query()
	if !q.Has("index") {
		d.mu.Lock()
		defer d.mu.Unlock()
		json.NewEncoder(w).Encode(d.list)
		return
	}
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait"))
	d.asked <- index
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		version, wake, down := d.list.Version, d.wake, d.down
		delta := List{Version: version}
		if index == 0 { // all there is has changed since
			delta = List{Version: version, Full: true, Servers: slices.Clone(d.list.Servers)}
		} else if version > index {
			for _, s := range d.list.Servers {
				if d.changed[s.ID] > index {
					delta.Servers = append(delta.Servers, s)
				}
			}
		}
		d.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if version > index {
			json.NewEncoder(w).Encode(delta)
			return
		}
		select {
		case <-wake:
		case <-over:
			json.NewEncoder(w).Encode(List{Version: version})
			return
		case <-req.Context().Done():
			return
		}
	}
}

// set changes or adds an entry.
func (d *fakeDiscovery) set(s Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list.Version++
	d.changed[s.ID] = d.list.Version
	found := false
	for i := range d.list.Servers {
		if d.list.Servers[i].ID == s.ID {
			d.list.Servers[i], found = s, true
		}
	}
	if !found {
		d.list.Servers = append(d.list.Servers, s)
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *fakeDiscovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.wake)
	d.wake = make(chan struct{})
}

func (d *fakeDiscovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// waitNotified changes an entry and returns once the agent has passed the change to its loop: the watch calls
// again first and passes on then, so one more change is made and the call after that is waited for.
func (d *fakeDiscovery) waitNotified(t *testing.T, s Target) {
	t.Helper()
	d.set(s)
	d.waitVersion(t, d.list.Version)
	d.set(s)
	d.waitVersion(t, d.list.Version)
}

// waitVersion waits for a watch call with an index of at least version.
func (d *fakeDiscovery) waitVersion(t *testing.T, version uint64) {
	t.Helper()
	over := time.After(testTimeout)
	for {
		select {
		case index := <-d.asked:
			if index >= version {
				return
			}
		case <-over:
			t.Fatalf("no watch call with index %d", version)
		}
	}
}

func target(id, addr string) Target {
	return Target{ID: id, Addr: addr, Zone: "east", Kind: "big", State: "up", Weight: 1}
}

// testAgent is an agent on a port that the kernel chooses.
type testAgent struct {
	t         testing.TB
	addr      string
	agent     *Agent
	stop      context.CancelFunc
	done      chan error
	adminAddr string // of the admin endpoint
	// reloads takes what a SIGHUP would bring.
	reloads chan *Config
}

// startAgent starts an agent that knows the list of the discovery as it is now.
func startAgent(t testing.TB, d *fakeDiscovery, change func(*Config)) *testAgent {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return startAgentOn(t, d, ln, change)
}

// startAgentOn is startAgent with a listener of the test's.
func startAgentOn(t testing.TB, d *fakeDiscovery, ln net.Listener, change func(*Config)) *testAgent {
	t.Helper()
	f := configFile{Listen: ln.Addr().String(), Discovery: d.Listener.Addr().String(), Seed: "7",
		Known: d.list, Settings: json.RawMessage(testSettings)}
	f.Limits.Cores, f.Limits.MemoryMB, f.Limits.Sockets = 1, 192, 1024
	cfg, err := f.config()
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(cfg)
	}
	operators, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &testAgent{t: t, addr: ln.Addr().String(), adminAddr: operators.Addr().String(), stop: stop, done: make(chan error, 1),
		reloads: make(chan *Config)}
	a.agent, err = New(cfg, Listeners{Clients: ln, Operators: operators})
	if err != nil {
		t.Fatal(err)
	}
	go func() { a.done <- a.agent.Run(ctx, a.reloads) }()
	t.Cleanup(func() {
		stop()
		select {
		case <-a.done:
		case <-time.After(testTimeout):
			t.Error("the agent did not stop")
		}
	})
	a.waitReady()
	return a
}

func (a *testAgent) waitReady() {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		resp, err := testClient.Get("http://" + a.addr + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return
			}
		}
	}
	a.t.Fatal("the agent is not ready")
}

// metricsNow reads the loop's metrics, in the loop.
func (a *testAgent) metricsNow() metrics {
	return inLoop(a, func(l *eventLoop) metrics {
		f := l.metrics
		f.attempts, f.healthChecks = maps.Clone(f.attempts), maps.Clone(f.healthChecks)
		return f
	})
}

// inLoop returns what f reads, in the loop.
func inLoop[T any](a *testAgent, f func(l *eventLoop) T) T {
	got := make(chan T, 1)
	a.agent.loop.post(func() { got <- f(a.agent.loop) })
	return <-got
}

// waitUntil waits for a condition.
func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came about: ", what)
		}
	}
}

// logLines makes the agent pass its log lines to the test, as text.
func (a *testAgent) logLines(t *testing.T) <-chan string {
	t.Helper()
	lines := make(chan string, 1000)
	set := make(chan struct{})
	a.agent.loop.post(func() {
		a.agent.loop.lines.logger = slog.New(slog.NewTextHandler(lineWriter(lines), nil))
		close(set)
	})
	<-set
	return lines
}

// lineWriter sends each line that is written; it drops those for which there is no space.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	select {
	case w <- string(line):
	default:
	}
	return len(line), nil
}

// waitLine waits for a line that contains text.
func waitLine(t *testing.T, lines <-chan string, text string) string {
	t.Helper()
	over := time.After(testTimeout)
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, text) {
				return line
			}
		case <-over:
			t.Fatalf("no line with %q", text)
		}
	}
}

// testClient opens a connection for each request, and so never sends one again.
var testClient = &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func newRequest(addr, class, body string) *http.Request {
	method := http.MethodPost
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, "http://"+addr+"/api/00000000000000a1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", "4000")
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

// ask sends a request and returns the answer's status, header and body.
func (a *testAgent) do(req *http.Request) (int, http.Header, string) {
	a.t.Helper()
	resp, err := testClient.Do(req)
	if err != nil {
		a.t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(body)
}

func wantStatus(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("answered %d, want %d", got, want)
	}
}

// newTestPool is a connection pool without an agent.
func newTestPool(connectTimeout time.Duration, maxConns int) *connectionPool {
	return &connectionPool{
		budget:         newBodyBudget(64),
		dial:           dialTCP,
		connectTimeout: connectTimeout,
		keepalive:      time.Minute,
		maxConns:       maxConns,
		idle:           map[string][]*serverConn{},
	}
}

// attemptNow makes an attempt for a client's request, with testTimeout as its deadline.
func attemptNow(
	ctx context.Context, p *connectionPool, server *upstreamServer, addr string, c *clientRequest,
) attemptResult {
	now := time.Now()
	message := &upstreamMessage{newRequest: func(left time.Duration) *http.Request { return newUpstreamRequest(c, left) }}
	return p.attempt(ctx, server, addr, message, now, now.Add(testTimeout))
}

// readRequestText is a request of the class read as a client writes it.
func readRequestText(id, timeoutMs int) string {
	return fmt.Sprintf("GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: read\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, timeoutMs)
}

// newTestDiscoveryClient is a discovery client without an agent, which knows version of the list at addr.
func newTestDiscoveryClient(addr string, version uint64, onResponse func(listResponse)) *discoveryClient {
	cfg := &Config{Discovery: addr, Known: List{Version: version}}
	return newDiscoveryClient(cfg, clock.System(), nil, onResponse)
}
