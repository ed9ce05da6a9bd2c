package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// waitTimeout bounds every wait of the tests; each needs a fraction of it.
const waitTimeout = 3 * time.Minute

const settings = `{
"classes":[{"name":"order","aimMs":2000,"giveUpMs":3000,"effect":"single_shot","credit":5,"lateShare":0.2}],
"contract":{"askWithinMs":1600,"drainGraceMs":250},"failureDomains":["east"],"shapes":["big"],"replicasOfMe":%d,
"limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":%d,"maxRetryAfterMs":600},
"membershipMode":"pushed","objectiveMix":{"whole":1},"roundMs":5}`

// discoveryServer is a fake discovery whose endpoint list grows by one server at each change. A watch
// waits for a change.
type discoveryServer struct {
	addr string

	mu      sync.Mutex
	version uint64
	changed chan struct{}
	callers map[string]bool // addresses that called
}

func newDiscoveryServer(t *testing.T) *discoveryServer {
	t.Helper()
	l := &discoveryServer{version: 1, changed: make(chan struct{}), callers: map[string]bool{}}
	s := httptest.NewServer(l)
	l.addr = s.Listener.Addr().String()
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return l
}

func (l *discoveryServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	from, _, _ := net.SplitHostPort(req.RemoteAddr)
	index, _ := strconv.ParseUint(req.FormValue("index"), 10, 64)
	wait, _ := strconv.Atoi(req.FormValue("wait"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		l.mu.Lock()
		l.callers[from] = true
		version, wake := l.version, l.changed
		l.mu.Unlock()
		answer := endpoint.List{Version: version, Servers: []endpoint.Endpoint{}}
		for v := index + 1; v <= version; v++ {
			answer.Servers = append(answer.Servers, endpoint.Endpoint{
				ID: fmt.Sprintf("s-%d", v), Addr: "127.0.0.1:1", Zone: "east", Kind: "big", State: "up", Weight: 1,
			})
		}
		answer.Full = index == 0
		if version > index {
			_ = json.NewEncoder(w).Encode(answer) // an error: the agent has ended
			return
		}
		select {
		case <-wake:
		case <-over:
			_ = json.NewEncoder(w).Encode(answer) // an error: the agent has ended
			return
		case <-req.Context().Done():
			return
		}
	}
}

// addServer makes the next version of the list.
func (l *discoveryServer) addServer() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	close(l.changed)
	l.changed = make(chan struct{})
	return l.version
}

// configurations makes the configurations of a fleet.
type configurations struct {
	network   [2]byte
	port      int
	size      int
	discovery string
}

func newConfigurations(t *testing.T, discovery string, size int) *configurations {
	t.Helper()
	network := [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	s := &configurations{network: network, size: size, discovery: discovery}
	const attempts = 100
	for range attempts {
		if s.selectPort(t) {
			return s
		}
	}
	t.Fatal("no free port")
	return nil
}

// selectPort selects a port, and reports whether it is free for both protocols.
func (s *configurations) selectPort(t *testing.T) bool {
	t.Helper()
	var config net.ListenConfig
	tcp, err := config.Listen(t.Context(), "tcp", s.ip(0)+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }() // nothing was accepted
	s.port = tcp.Addr().(*net.TCPAddr).Port
	udp, err := config.ListenPacket(t.Context(), "udp", s.address(0, s.port))
	if err != nil {
		return false
	}
	_ = udp.Close() // nothing was sent
	return true
}

func (s *configurations) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network[0], s.network[1], i+1)
}

func (s *configurations) address(i, port int) string {
	return net.JoinHostPort(s.ip(i), strconv.Itoa(port))
}

func (s *configurations) adminAddress(i int) string { return s.address(i, s.port-1) }

func (s *configurations) config(i int) map[string]any { return s.configWith(i, 3) }

func (s *configurations) configWith(i, maxAttempts int) map[string]any {
	return map[string]any{
		"name":       fmt.Sprintf("a%d", i),
		"listen":     s.address(i, 8000),
		"management": s.adminAddress(i),
		"discovery":  s.discovery,
		"seed":       "1",
		"limits":     map[string]any{"cores": 0.2, "memory_mb": 64, "sockets": 256},
		"known":      map[string]any{"version": 0, "full": true, "servers": []any{}},
		"fleet": map[string]any{
			"bind":               s.address(i, s.port),
			"seeds":              []string{s.address(0, s.port), s.address(1, s.port)},
			"site":               "test",
			"probe_interval_ms":  500,
			"suspect_timeout_ms": 10_000,
			"settle_ms":          500,
			"reconnect_ms":       1000,
		},
		"settings": json.RawMessage(fmt.Sprintf(settings, s.size, maxAttempts)),
	}
}

// hostClient sends commands to a host and receives its events.
type hostClient struct {
	t     *testing.T
	stdin io.WriteCloser
	done  chan error

	mu      sync.Mutex
	events  []HostEvent
	arrived chan struct{}
}

func startHostClient(t *testing.T) *hostClient {
	t.Helper()
	commands, stdin := io.Pipe()
	events, stdout := io.Pipe()
	d := &hostClient{t: t, stdin: stdin, done: make(chan error, 1), arrived: make(chan struct{})}
	go func() { d.done <- ServeHost(context.Background(), commands, stdout, io.Discard) }()
	go func() {
		for lines := bufio.NewScanner(events); lines.Scan(); {
			var x HostEvent
			if err := json.Unmarshal(lines.Bytes(), &x); err != nil {
				t.Error(err)
			}
			d.mu.Lock()
			d.events = append(d.events, x)
			close(d.arrived)
			d.arrived = make(chan struct{})
			d.mu.Unlock()
		}
	}()
	t.Cleanup(d.close)
	return d
}

// close ends the host with its agents.
func (d *hostClient) close() {
	_ = d.stdin.Close() // a pipe's Close never fails
	select {
	case err := <-d.done:
		if err != nil {
			d.t.Error(err)
		}
		d.done <- nil
	case <-time.After(waitTimeout):
		d.t.Error("the host does not end")
	}
}

func (d *hostClient) command(do, name string, config any) {
	d.t.Helper()
	c := HostCommand{Command: do, Agent: name}
	if config != nil {
		c.Config = marshal(d.t, config)
	}
	d.writeLine(string(marshal(d.t, c)))
}

// marshal is a value as JSON.
func marshal(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func (d *hostClient) writeLine(text string) {
	d.t.Helper()
	if _, err := io.WriteString(d.stdin, text+"\n"); err != nil {
		d.t.Fatal(err)
	}
}

// await waits for an event that fits, among those from index since on, and returns it and the index after
// it.
func (d *hostClient) await(since int, what string, fits func(*HostEvent) bool) (HostEvent, int) {
	d.t.Helper()
	over := time.After(waitTimeout)
	for n := since; ; {
		d.mu.Lock()
		events, arrived := d.events, d.arrived
		d.mu.Unlock()
		for ; n < len(events); n++ {
			if fits(&events[n]) {
				return events[n], n + 1
			}
		}
		select {
		case <-arrived:
		case <-over:
			d.t.Fatalf("no such event: %s", what)
		}
	}
}

func (d *hostClient) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.events)
}

func (d *hostClient) ended(name string) HostEvent {
	d.t.Helper()
	x, _ := d.await(0, name+" ended", func(x *HostEvent) bool { return x.Ended == name })
	return x
}

func (d *hostClient) report() *HostReport {
	d.t.Helper()
	since := d.count()
	d.command("report", "", nil)
	x, _ := d.await(since, "report", func(x *HostEvent) bool { return x.Report != nil })
	return x.Report
}

// awaitReport requests reports until one is as wanted.
func (d *hostClient) awaitReport(what string, is func(*HostReport) bool) *HostReport {
	d.t.Helper()
	wait := 100 * time.Millisecond
	for end := time.Now().Add(waitTimeout); ; time.Sleep(wait) {
		wait = min(2*wait, 2*time.Second) // a report collects garbage
		r := d.report()
		if is(r) {
			return r
		}
		if time.Now().After(end) {
			d.t.Fatalf("no such report: %s: %+v", what, r)
		}
	}
}
