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
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// waitTimeout bounds every wait of the tests; each needs a fraction of it.
const waitTimeout = 3 * time.Minute

const (
	// agentCores is an agent's part of the machine, defaultMaxAttempts its number of attempts for a request.
	agentCores         = 0.2
	defaultMaxAttempts = 3
)

// settings are an agent's settings, for a number of agents and of attempts.
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

// newDiscoveryServer starts a discovery whose list has one server. The test's end stops it.
func newDiscoveryServer(t *testing.T) *discoveryServer {
	t.Helper()
	d := &discoveryServer{version: 1, changed: make(chan struct{}), callers: map[string]bool{}}
	server := httptest.NewServer(d)
	d.addr = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return d
}

// ServeHTTP answers a poll at once, and a watch once there is a newer version or its time is over.
func (d *discoveryServer) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	from, _, _ := net.SplitHostPort(request.RemoteAddr)
	index, _ := strconv.ParseUint(request.FormValue("index"), 10, 64)
	wait, _ := strconv.Atoi(request.FormValue("wait"))
	over := time.After(time.Duration(wait) * time.Millisecond)
	for {
		d.mu.Lock()
		d.callers[from] = true
		version, wake := d.version, d.changed
		d.mu.Unlock()
		list := endpoint.List{Version: version, Servers: []endpoint.Endpoint{}}
		for added := index + 1; added <= version; added++ {
			list.Servers = append(list.Servers, endpoint.Endpoint{
				ID: fmt.Sprintf("s-%d", added), Addr: "127.0.0.1:1", Zone: "east", Kind: "big", State: "up", Weight: 1,
			})
		}
		list.Full = index == 0
		if version > index {
			_ = json.NewEncoder(response).Encode(list) // an error: the agent has ended
			return
		}
		select {
		case <-wake:
		case <-over:
			_ = json.NewEncoder(response).Encode(list) // an error: the agent has ended
			return
		case <-request.Context().Done():
			return
		}
	}
}

// addServer makes the next version of the list.
func (d *discoveryServer) addServer() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	close(d.changed)
	d.changed = make(chan struct{})
	return d.version
}

// configurations makes the configurations of a fleet.
type configurations struct {
	network   [2]byte
	port      int
	size      int
	discovery string
}

// newConfigurations returns configurations on a random loopback network, for agents that call one discovery.
func newConfigurations(t *testing.T, discovery string, size int) *configurations {
	t.Helper()
	network := [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(256))}
	c := &configurations{network: network, size: size, discovery: discovery}
	const attempts = 100
	for range attempts {
		if c.selectPort(t) {
			return c
		}
	}
	t.Fatal("no free port")
	return nil
}

// selectPort selects a port, and reports whether it is free for both protocols.
func (c *configurations) selectPort(t *testing.T) bool {
	t.Helper()
	var config net.ListenConfig
	tcp, err := config.Listen(t.Context(), "tcp", c.ip(0)+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = tcp.Close() }() // nothing was accepted
	c.port = tcp.Addr().(*net.TCPAddr).Port
	udp, err := config.ListenPacket(t.Context(), "udp", c.address(0, c.port))
	if err != nil {
		return false
	}
	_ = udp.Close() // nothing was sent
	return true
}

// ip is the address of an agent.
func (c *configurations) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.network[0], c.network[1], i+1)
}

// address is the address of an agent with a port.
func (c *configurations) address(i, port int) string {
	return net.JoinHostPort(c.ip(i), strconv.Itoa(port))
}

// adminAddress is the address of an agent's admin endpoint.
func (c *configurations) adminAddress(i int) string { return c.address(i, c.port-1) }

// configuration is an agent's configuration, with settings by which discovery pushes lists to it.
type configuration struct {
	Name         string                  `json:"name"`
	Listen       string                  `json:"listen"`
	AdminAddress string                  `json:"management,omitempty"`
	Discovery    string                  `json:"discovery"`
	Seed         string                  `json:"seed"`
	Limits       processtest.AgentLimits `json:"limits"`
	Known        processtest.AgentList   `json:"known"`
	Membership   *membership.Config      `json:"fleet,omitempty"` // nil: it takes no part in the membership
	Settings     json.RawMessage         `json:"settings"`
}

// config is the configuration of an agent.
func (c *configurations) config(i int) configuration { return c.configWith(i, defaultMaxAttempts) }

// configWith is the configuration of an agent with a bound on attempts.
func (c *configurations) configWith(i, maxAttempts int) configuration {
	return configuration{
		Name:         fmt.Sprintf("a%d", i),
		Listen:       c.address(i, clientPort),
		AdminAddress: c.adminAddress(i),
		Discovery:    c.discovery,
		Seed:         "1",
		Limits:       processtest.LimitsOf(agentCores),
		Known:        processtest.AgentList{Full: true},
		Membership: &membership.Config{
			Bind:             c.address(i, c.port),
			Seeds:            []string{c.address(0, c.port), c.address(1, c.port)},
			Site:             "test",
			ProbeIntervalMs:  500,
			SuspectTimeoutMs: 10_000,
			SettleMs:         500,
			ReconnectMs:      1000,
		},
		Settings: json.RawMessage(fmt.Sprintf(settings, c.size, maxAttempts)),
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

// startHostClient starts a host in this process. The test's end stops it.
func startHostClient(t *testing.T) *hostClient {
	t.Helper()
	commands, stdin := io.Pipe()
	events, stdout := io.Pipe()
	h := &hostClient{t: t, stdin: stdin, done: make(chan error, 1), arrived: make(chan struct{})}
	go func() { h.done <- ServeHost(context.Background(), commands, stdout, io.Discard) }()
	go func() {
		for lines := bufio.NewScanner(events); lines.Scan(); {
			var event HostEvent
			if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
				t.Error(err)
			}
			h.mu.Lock()
			h.events = append(h.events, event)
			close(h.arrived)
			h.arrived = make(chan struct{})
			h.mu.Unlock()
		}
	}()
	t.Cleanup(h.close)
	return h
}

// close ends the host with its agents.
func (h *hostClient) close() {
	_ = h.stdin.Close() // a pipe's Close never fails
	select {
	case err := <-h.done:
		if err != nil {
			h.t.Error(err)
		}
		h.done <- nil
	case <-time.After(waitTimeout):
		h.t.Error("the host does not end")
	}
}

// command sends a command; config may be nil.
func (h *hostClient) command(do, name string, config any) {
	h.t.Helper()
	command := HostCommand{Command: do, Agent: name}
	if config != nil {
		command.Config = marshal(h.t, config)
	}
	h.writeLine(string(marshal(h.t, command)))
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

// writeLine sends a line.
func (h *hostClient) writeLine(text string) {
	h.t.Helper()
	if _, err := io.WriteString(h.stdin, text+"\n"); err != nil {
		h.t.Fatal(err)
	}
}

// await waits for an event that fits, among those from index since on, and returns it and the index after
// it.
func (h *hostClient) await(since int, what string, fits func(*HostEvent) bool) (HostEvent, int) {
	h.t.Helper()
	over := time.After(waitTimeout)
	for next := since; ; {
		h.mu.Lock()
		events, arrived := h.events, h.arrived
		h.mu.Unlock()
		for ; next < len(events); next++ {
			if fits(&events[next]) {
				return events[next], next + 1
			}
		}
		select {
		case <-arrived:
		case <-over:
			h.t.Fatalf("no such event: %s", what)
		}
	}
}

// count is the number of events so far.
func (h *hostClient) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.events)
}

// ended waits for an agent's end.
func (h *hostClient) ended(name string) HostEvent {
	h.t.Helper()
	event, _ := h.await(0, name+" ended", func(event *HostEvent) bool { return event.Ended == name })
	return event
}

// report requests a report and waits for it.
func (h *hostClient) report() *HostReport {
	h.t.Helper()
	since := h.count()
	h.command("report", "", nil)
	event, _ := h.await(since, "report", func(event *HostEvent) bool { return event.Report != nil })
	return event.Report
}

// awaitReport requests reports until one is as wanted.
func (h *hostClient) awaitReport(what string, is func(*HostReport) bool) *HostReport {
	h.t.Helper()
	wait := 100 * time.Millisecond
	for end := time.Now().Add(waitTimeout); ; time.Sleep(wait) {
		wait = min(2*wait, 2*time.Second) // a report collects garbage
		report := h.report()
		if is(report) {
			return report
		}
		if time.Now().After(end) {
			h.t.Fatalf("no such report: %s: %+v", what, report)
		}
	}
}
