package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// faultErrnos are the errors with which the system calls of connections fail.
var faultErrnos = []syscall.Errno{
	syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.ECONNABORTED, syscall.EPIPE,
	syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EMFILE,
}

// faultScenario has the connection faults of one agent, and the requests that the agent receives one after another.
type faultScenario struct {
	Clients  []agenttest.CallFault // of client connections, in accept order
	Servers  []agenttest.CallFault // of server connections, in dial order
	Requests []scenarioRequest
}

// scenarioRequest is a request of a scenario.
type scenarioRequest struct {
	Class   string
	Body    int  // length in bytes
	Chunked bool // the response of the server is chunked
	Delayed bool // sent only when idle server connections can be reused
}

// faultEnvironment has the servers that scenarios share, which respond with the request's ID, and counts of what
// happened.
type faultEnvironment struct {
	t         *testing.T
	discovery *agenttest.Discovery
	lastID    atomic.Int64
	mu        sync.Mutex
	arrivals  map[string]int // by Request-Id, of complete requests
	responses map[int]int    // by status
	cutOff    int            // requests whose client connection broke
}

func newFaultEnvironment(t *testing.T, servers int) *faultEnvironment {
	t.Helper()
	env := &faultEnvironment{t: t, arrivals: map[string]int{}, responses: map[int]int{}}
	var list []endpoint.Endpoint
	for i := range servers {
		list = append(list, agenttest.Endpoint(fmt.Sprint("s-", i), agenttest.NewServer(t, env.respond).Addr))
	}
	env.discovery = agenttest.NewDiscovery(t, list...)
	return env
}

// respond is the responder of all servers. It counts the request and responds with its ID.
func (env *faultEnvironment) respond(conn net.Conn, req *http.Request, _ int) bool {
	id := req.Header.Get("Request-Id")
	env.mu.Lock()
	env.arrivals[id]++
	env.mu.Unlock()
	if req.Header.Get("X-Chunked") != "1" {
		return agenttest.SendResponse(conn, http.StatusOK, "", id)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
	return err == nil
}

// run runs an agent through a scenario. It returns an error unless each request gets exactly one response.
func (env *faultEnvironment) run(scenario faultScenario) error {
	listener := agenttest.Listen(env.t)
	clients := agenttest.NewFaultPlan(scenario.Clients)
	servers := agenttest.NewFaultPlan(scenario.Servers)
	agent, err := env.agent(agenttest.FaultyListener{Listener: listener, Plan: clients}, servers.Dial)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(context.Background(), nil) }()
	defer func() {
		agent.Kill()
		<-ended
	}()
	client := &scenarioClient{env: env, plan: clients, addr: listener.Addr().String()}
	defer client.close()
	for i, request := range scenario.Requests {
		if err := client.do(request); err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
	}
	return client.checkNoExtraBytes()
}

// agent returns an agent that connects to its servers with dial.
func (env *faultEnvironment) agent(listener net.Listener, dial config.DialFunc) (*Agent, error) {
	cfg := agenttest.NewConfig(env.t, listener.Addr().String(), env.discovery)
	cfg.Log = slog.New(slog.DiscardHandler)
	cfg.Dial = dial
	return New(cfg, Listeners{Clients: listener})
}

// scenarioClient sends one request after another on a connection. If the connection has ended, it opens a new one.
type scenarioClient struct {
	env    *faultEnvironment
	plan   *agenttest.FaultPlan
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// close closes the connection if one is open.
func (client *scenarioClient) close() {
	if client.conn != nil {
		_ = client.conn.Close()
	}
	client.conn = nil
}

// connect opens a connection unless one is open.
func (client *scenarioClient) connect() error {
	if client.conn != nil {
		return nil
	}
	dialer := net.Dialer{Timeout: agenttest.Timeout}
	conn, err := dialer.DialContext(client.env.t.Context(), "tcp", client.addr)
	if err != nil {
		return err
	}
	client.conn = conn
	client.reader = bufio.NewReader(conn)
	return nil
}

// do sends a request. It returns an error unless there is a valid response or the connection broke because of a fault.
func (client *scenarioClient) do(request scenarioRequest) error {
	if err := client.connect(); err != nil {
		return err
	}
	if request.Delayed {
		time.Sleep(reuseDelay)
	}
	id := fmt.Sprint(client.env.lastID.Add(1))
	req := agenttest.NewRequest(client.addr, request.Class, strings.Repeat("x", request.Body))
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Timeout-Ms", "2000")
	if request.Chunked {
		req.Header.Set("X-Chunked", "1")
	}
	resp, err := client.exchange(req)
	broke := client.plan.FaultOccurred(client.conn.LocalAddr())
	if err == nil {
		err = client.env.check(request.Class, id, resp)
		if resp.Closes {
			client.close()
		}
		return err
	}
	client.close()
	if !broke {
		return fmt.Errorf("request %s: no response: %w", id, err)
	}
	return client.env.checkCutOff(request.Class, id)
}

// exchange sends a request on the connection and reads the response.
func (client *scenarioClient) exchange(req *http.Request) (agenttest.Response, error) {
	if err := req.Write(client.conn); err != nil {
		return agenttest.Response{}, err
	}
	return agenttest.ReadResponse(client.reader, req)
}

// halfCloseConn closes the sending side of a connection. It returns false if the connection has already ended.
func halfCloseConn(conn net.Conn) bool { return conn.(*net.TCPConn).CloseWrite() == nil }

// checkNoExtraBytes returns an error if the agent sends bytes after the last response.
func (client *scenarioClient) checkNoExtraBytes() error {
	if client.conn == nil {
		return nil
	}
	if !halfCloseConn(client.conn) {
		return nil
	}
	if more, _ := io.ReadAll(client.reader); len(more) > 0 {
		return fmt.Errorf("unexpected bytes after the last response: %q", more)
	}
	return nil
}

// check returns an error if a request must not get this response.
func (env *faultEnvironment) check(class, id string, resp agenttest.Response) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.responses[resp.Status]++
	executions := env.arrivals[id]
	switch resp.Status {
	case http.StatusOK:
		if resp.Body != id {
			return fmt.Errorf("request %s: response has body %q", id, resp.Body)
		}
		if executions == 0 {
			return fmt.Errorf("request %s was served but not executed", id)
		}
	case http.StatusServiceUnavailable:
		if class == "order" && executions > 0 {
			return fmt.Errorf("request %s was rejected but executed", id)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		return fmt.Errorf("request %s: unexpected response status %d", id, resp.Status)
	}
	return env.checkExecutedOnce(class, id)
}

// checkCutOff counts a request whose client connection broke, and checks its executions.
func (env *faultEnvironment) checkCutOff(class, id string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.cutOff++
	return env.checkExecutedOnce(class, id)
}

// checkExecutedOnce returns an error if a non-idempotent request executed more than once. The caller holds env.mu.
func (env *faultEnvironment) checkExecutedOnce(class, id string) error {
	if executions := env.arrivals[id]; class == "order" && executions > 1 {
		return fmt.Errorf("request %s executed %d times", id, executions)
	}
	return nil
}

// systemCalls are the system calls that the scenarios make fail.
var systemCalls = []agenttest.SystemCall{agenttest.CallConnect, agenttest.CallRead, agenttest.CallWrite}

// runOnEachSide runs a scenario with the fault on a client connection, and one with the fault on a server connection.
func (env *faultEnvironment) runOnEachSide(t *testing.T, fault agenttest.CallFault, requests []scenarioRequest) {
	t.Helper()
	faults := []agenttest.CallFault{fault}
	for _, scenario := range []faultScenario{
		{Clients: faults, Requests: requests},
		{Servers: faults, Requests: requests},
	} {
		if err := env.run(scenario); err != nil {
			t.Errorf("%+v: %v", scenario, err)
		}
	}
}

// Each request gets exactly one response, whichever errno occurs at whichever system call of either side: at the first
// byte, in the middle, and on a reused connection. Each call transfers one byte.
func TestEachErrnoAtEachCall(t *testing.T) {
	t.Parallel()
	env := newFaultEnvironment(t, 1)
	requests := []scenarioRequest{
		{Class: "order", Body: 20},
		{Class: "order", Body: 20, Delayed: true},
		{Class: "read", Chunked: true},
	}
	for _, errno := range faultErrnos {
		for _, call := range systemCalls {
			offsets := []int64{0, 30, 60, 350}
			if call == agenttest.CallConnect {
				offsets = offsets[:1]
			}
			for _, offset := range offsets {
				env.runOnEachSide(t, agenttest.CallFault{Call: call, After: offset, Errno: errno}, requests)
			}
		}
	}
	env.wantStatuses(t, http.StatusOK, http.StatusBadGateway)
}

// Each request gets exactly one response if system calls fail during a body that is streamed.
func TestErrnosInStreamedBodies(t *testing.T) {
	t.Parallel()
	env := newFaultEnvironment(t, 3)
	requests := []scenarioRequest{
		{Class: "order", Body: message.MaxBufferedBody + 3000},
		{Class: "read"},
	}
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.ENOBUFS} {
		for _, call := range []agenttest.SystemCall{agenttest.CallRead, agenttest.CallWrite} {
			for _, offset := range []int64{0, 10, message.MaxBufferedBody + 1000} {
				env.runOnEachSide(t, agenttest.CallFault{Call: call, After: offset, Errno: errno}, requests)
			}
		}
	}
	env.wantStatuses(t, http.StatusOK, http.StatusBadGateway)
}

// Each request gets exactly one response with any combination of faults on both sides. Each call transfers one byte.
func TestOneResponseToEachRequestDespiteFailedCalls(t *testing.T) {
	t.Parallel()
	environments := []*faultEnvironment{newFaultEnvironment(t, 1), newFaultEnvironment(t, 3)}
	faults := rapid.Custom(func(t *rapid.T) agenttest.CallFault {
		return agenttest.CallFault{
			Call:  rapid.SampledFrom(systemCalls).Draw(t, "call"),
			After: rapid.Int64Range(0, 300).Draw(t, "after"),
			Errno: rapid.SampledFrom(faultErrnos).Draw(t, "errno"),
		}
	})
	requests := rapid.Custom(func(t *rapid.T) scenarioRequest {
		return scenarioRequest{
			Class:   rapid.SampledFrom([]string{"read", "send", "order"}).Draw(t, "class"),
			Body:    rapid.IntRange(0, 100).Draw(t, "body"),
			Chunked: rapid.Bool().Draw(t, "chunked"),
			Delayed: rapid.Bool().Draw(t, "delayed"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		scenario := faultScenario{
			Clients:  rapid.SliceOfN(faults, 0, 2).Draw(t, "clients"),
			Servers:  rapid.SliceOfN(faults, 0, 4).Draw(t, "servers"),
			Requests: rapid.SliceOfN(requests, 1, 4).Draw(t, "requests"),
		}
		env := rapid.SampledFrom(environments).Draw(t, "environment")
		if err := env.run(scenario); err != nil {
			t.Fatal(err)
		}
	})
	for _, env := range environments {
		env.wantStatuses(t, http.StatusOK) // the random scenarios need not include the rarer statuses
	}
}

// wantStatuses checks that the scenarios led to responses with each of these statuses, and to broken client
// connections.
func (env *faultEnvironment) wantStatuses(t *testing.T, statuses ...int) {
	t.Helper()
	env.mu.Lock()
	defer env.mu.Unlock()
	t.Logf("responses by status %v, %d requests whose client connection broke", env.responses, env.cutOff)
	for _, status := range statuses {
		if env.responses[status] == 0 {
			t.Errorf("no response had status %d", status)
		}
	}
	if env.cutOff == 0 {
		t.Error("no client connection broke during a request")
	}
}
