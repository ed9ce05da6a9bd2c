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

// faultErrnos are the errors with which a connection's calls fail.
var faultErrnos = []syscall.Errno{
	syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.ECONNABORTED, syscall.EPIPE,
	syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EMFILE,
}

// faultScenario is what one agent meets: faults of its connections, and requests one after another.
type faultScenario struct {
	Clients  []agenttest.CallFault // of clients' connections, in the order in which they are accepted
	Servers  []agenttest.CallFault // of connections to servers, in the order in which they are dialed
	Requests []faultyRequest
}

// faultyRequest is a request of a scenario.
type faultyRequest struct {
	Class   string
	Body    int  // bytes
	Chunked bool // the server's response
	Delayed bool // until kept connections to servers may be used again
}

// faultEnvironment is what all scenarios have in common: servers that respond with the request's id.
type faultEnvironment struct {
	t         *testing.T
	discovery *agenttest.Discovery
	lastID    atomic.Int64
	mu        sync.Mutex
	arrivals  map[string]int // by Request-Id, of complete requests
	responses map[int]int    // by status
	cut       int            // requests whose client's connection broke
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

// respond is the responder of all servers.
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

// run runs an agent through a scenario, and returns what broke the rule: one response to each request, none lost
// and none twice.
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
	client := &faultyClient{env: env, plan: clients, addr: listener.Addr().String()}
	defer client.close()
	for i, request := range scenario.Requests {
		if err := client.do(request); err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
	}
	return client.nothingFollows()
}

// agent makes an agent that dials its servers by dial.
func (env *faultEnvironment) agent(listener net.Listener, dial config.DialFunc) (*Agent, error) {
	cfg := agenttest.NewConfig(env.t, listener.Addr().String(), env.discovery)
	cfg.Log = slog.New(slog.DiscardHandler)
	cfg.Dial = dial
	return New(cfg, Listeners{Clients: listener})
}

// faultyClient sends one request after another on one connection, and on a new one after its end.
type faultyClient struct {
	env    *faultEnvironment
	plan   *agenttest.FaultPlan
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

// close closes the connection, if there is one.
func (client *faultyClient) close() {
	if client.conn != nil {
		_ = client.conn.Close()
	}
	client.conn = nil
}

// connect makes a connection unless there is one.
func (client *faultyClient) connect() error {
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

// do sends a request, and returns an error unless it has its one response or its connection broke.
func (client *faultyClient) do(request faultyRequest) error {
	if err := client.connect(); err != nil {
		return err
	}
	if request.Delayed {
		time.Sleep(reusableWithin)
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
		return fmt.Errorf("%s has no response: %w", id, err)
	}
	return client.env.checkCut(request.Class, id)
}

// exchange sends a request on the connection and reads its response.
func (client *faultyClient) exchange(req *http.Request) (agenttest.Response, error) {
	if err := req.Write(client.conn); err != nil {
		return agenttest.Response{}, err
	}
	return agenttest.ReadResponse(client.reader, req)
}

// closeWrite ends a client's side of a connection; false: the connection has ended.
func closeWrite(conn net.Conn) bool { return conn.(*net.TCPConn).CloseWrite() == nil }

// nothingFollows returns an error if there are bytes after the last response.
func (client *faultyClient) nothingFollows() error {
	if client.conn == nil {
		return nil
	}
	if !closeWrite(client.conn) {
		return nil
	}
	if more, _ := io.ReadAll(client.reader); len(more) > 0 {
		return fmt.Errorf("after the last response came %q", more)
	}
	return nil
}

// check returns an error if a response is not one that the request may have.
func (env *faultEnvironment) check(class, id string, resp agenttest.Response) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.responses[resp.Status]++
	executions := env.arrivals[id]
	switch resp.Status {
	case http.StatusOK:
		if resp.Body != id {
			return fmt.Errorf("%s has the response %q", id, resp.Body)
		}
		if executions == 0 {
			return fmt.Errorf("%s was served and never executed", id)
		}
	case http.StatusServiceUnavailable:
		if class == "order" && executions > 0 {
			return fmt.Errorf("%s was rejected and executed", id)
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
	default:
		return fmt.Errorf("%s has response %d", id, resp.Status)
	}
	return env.executedOnce(class, id)
}

// checkCut checks a request whose client's connection broke.
func (env *faultEnvironment) checkCut(class, id string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.cut++
	return env.executedOnce(class, id)
}

// executedOnce returns an error if a non-idempotent request executed twice. The caller has the lock.
func (env *faultEnvironment) executedOnce(class, id string) error {
	if executions := env.arrivals[id]; class == "order" && executions > 1 {
		return fmt.Errorf("%s executed %d times", id, executions)
	}
	return nil
}

// systemCalls are the calls of a connection that fail.
var systemCalls = []agenttest.SystemCall{agenttest.CallConnect, agenttest.CallRead, agenttest.CallWrite}

// runOnEachSide runs two scenarios, in which a fault is on a client's connection and on a server's.
func (env *faultEnvironment) runOnEachSide(t *testing.T, fault agenttest.CallFault, requests []faultyRequest) {
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

// Each errno at each call of either side, at the first byte, in the middle and on a connection that is
// used again, with one byte a call: one response to each request.
func TestEachErrnoAtEachCall(t *testing.T) {
	t.Parallel()
	env := newFaultEnvironment(t, 1)
	requests := []faultyRequest{
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

// The same for bodies that are too long to be buffered, and are streamed to their server.
func TestErrnosInStreamedBodies(t *testing.T) {
	t.Parallel()
	env := newFaultEnvironment(t, 3)
	requests := []faultyRequest{
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

// Any faults of the connections of both sides, with one byte a call: one response to each request.
func TestOneResponseWhateverCallsFail(t *testing.T) {
	t.Parallel()
	environments := []*faultEnvironment{newFaultEnvironment(t, 1), newFaultEnvironment(t, 3)}
	faults := rapid.Custom(func(t *rapid.T) agenttest.CallFault {
		return agenttest.CallFault{
			Call:  rapid.SampledFrom(systemCalls).Draw(t, "call"),
			After: rapid.Int64Range(0, 300).Draw(t, "after"),
			Errno: rapid.SampledFrom(faultErrnos).Draw(t, "errno"),
		}
	})
	requests := rapid.Custom(func(t *rapid.T) faultyRequest {
		return faultyRequest{
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
		env.wantStatuses(t, http.StatusOK) // the drawn scenarios need not lead to the rarer statuses
	}
}

// wantStatuses checks that the scenarios led to responses of these statuses, and to requests that were cut off.
func (env *faultEnvironment) wantStatuses(t *testing.T, statuses ...int) {
	t.Helper()
	env.mu.Lock()
	defer env.mu.Unlock()
	t.Logf("responses by status %v, requests cut off by their client's connection %d", env.responses, env.cut)
	for _, status := range statuses {
		if env.responses[status] == 0 {
			t.Errorf("no request had response %d", status)
		}
	}
	if env.cut == 0 {
		t.Error("no request was cut off")
	}
}
