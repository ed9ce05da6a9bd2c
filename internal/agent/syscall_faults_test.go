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
	"fernbeam.example/fernbeam/internal/agent/upstream"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// faultErrnos are the errors that a connection's calls fail with.
var faultErrnos = []syscall.Errno{
	syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.ECONNABORTED, syscall.EPIPE,
	syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENFILE, syscall.EMFILE,
}

// faultyDay is what one agent meets: faults of its connections, and requests one after another.
type faultScenario struct {
	Clients, Servers []agenttest.CallFault // of the connections in the order in which they are made
	Requests         []faultyRequest
}

type faultyRequest struct {
	Class   string
	Body    int  // bytes
	Chunked bool // the server's response
	Rested  bool // it is sent when kept connections to servers may be used again
}

// faultyWorld is what all days have in common: backends that answer with the request's id.
type faultEnvironment struct {
	t         *testing.T
	discovery *agenttest.Discovery
	lastID    atomic.Int64
	mu        sync.Mutex
	arrivals  map[string]int // by Request-Id, of complete requests
	answers   map[int]int    // by status
	cut       int            // requests whose client's connection broke
}

func newFaultEnvironment(t *testing.T, servers int) *faultEnvironment {
	t.Helper()
	env := &faultEnvironment{t: t, arrivals: map[string]int{}, answers: map[int]int{}}
	var list []endpoint.Endpoint
	for i := range servers {
		list = append(list, agenttest.Endpoint(fmt.Sprint("s-", i), agenttest.NewServer(t, env.answer).Addr))
	}
	env.discovery = agenttest.NewDiscovery(t, list...)
	return env
}

func (env *faultEnvironment) answer(conn net.Conn, req *http.Request, _ int) bool {
	id := req.Header.Get("Request-Id")
	env.mu.Lock()
	env.arrivals[id]++
	env.mu.Unlock()
	if req.Header.Get("X-Chunked") != "1" {
		return agenttest.SendResponse(conn, 200, "", id)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
	return err == nil
}

// play runs an agent through a day, and returns what broke the rule: one answer a request, none lost,
// none twice.
func (env *faultEnvironment) run(scenario faultScenario) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	clients := agenttest.NewFaultPlan(scenario.Clients)
	agent, err := env.agent(agenttest.FaultyListener{Listener: ln, Plan: clients}, agenttest.NewFaultPlan(scenario.Servers).Dial)
	if err != nil {
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(context.Background(), nil) }()
	defer func() {
		agent.Kill()
		<-ended
	}()
	client := &faultyClient{env: env, plan: clients, addr: ln.Addr().String()}
	defer client.close()
	for i, r := range scenario.Requests {
		if err := client.do(r); err != nil {
			return fmt.Errorf("request %d: %w", i, err)
		}
	}
	return client.nothingFollows()
}

// agent makes an agent that dials its servers by dial.
func (env *faultEnvironment) agent(ln net.Listener, dial config.DialFunc) (*Agent, error) {
	cfg := agenttest.NewConfig(env.t, ln.Addr().String(), env.discovery)
	cfg.Log = slog.New(slog.DiscardHandler)
	cfg.Dial = dial
	return New(cfg, Listeners{Clients: ln})
}

// faultyClient sends one request after another on one connection, and on a new one after its end.
type faultyClient struct {
	env    *faultEnvironment
	plan   *agenttest.FaultPlan
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (client *faultyClient) close() {
	if client.conn != nil {
		client.conn.Close()
	}
	client.conn = nil
}

func (client *faultyClient) connect() (err error) {
	if client.conn != nil {
		return nil
	}
	if client.conn, err = net.DialTimeout("tcp", client.addr, agenttest.Timeout); err != nil {
		return err
	}
	client.reader = bufio.NewReader(client.conn)
	return nil
}

// ask sends a request, and returns an error unless it has its one answer, or its connection broke.
func (client *faultyClient) do(request faultyRequest) error {
	if err := client.connect(); err != nil {
		return err
	}
	if request.Rested {
		time.Sleep(2 * upstream.SettleTime)
	}
	id := fmt.Sprint(client.env.lastID.Add(1))
	req := agenttest.NewRequest(client.addr, request.Class, strings.Repeat("x", request.Body))
	req.Header.Set("Request-Id", id)
	req.Header.Set("Request-Timeout-Ms", "2000")
	if request.Chunked {
		req.Header.Set("X-Chunked", "1")
	}
	resp, body, err := client.exchange(req)
	broke := client.plan.Broke(client.conn.LocalAddr())
	if err == nil {
		err = client.env.check(request.Class, id, resp.StatusCode, body)
		if resp.Close {
			client.close()
		}
		return err
	}
	client.close()
	if !broke {
		return fmt.Errorf("%s has no answer: %w", id, err)
	}
	return client.env.checkCut(request.Class, id)
}

func (client *faultyClient) exchange(req *http.Request) (*http.Response, string, error) {
	if err := req.Write(client.conn); err != nil {
		return nil, "", err
	}
	resp, err := http.ReadResponse(client.reader, req)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// nothingFollows tells of bytes behind the last answer.
func (client *faultyClient) nothingFollows() error {
	if client.conn == nil {
		return nil
	}
	if err := client.conn.(*net.TCPConn).CloseWrite(); err != nil {
		return nil // the connection has ended
	}
	if more, _ := io.ReadAll(client.reader); len(more) > 0 {
		return fmt.Errorf("behind the last answer came %q", more)
	}
	return nil
}

// check checks a complete response.
func (env *faultEnvironment) check(class, id string, status int, body string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.answers[status]++
	ran := env.arrivals[id]
	switch {
	case status == http.StatusOK && body != id:
		return fmt.Errorf("%s was answered with %q", id, body)
	case status == http.StatusOK && ran == 0:
		return fmt.Errorf("%s was answered and never ran", id)
	case status == http.StatusServiceUnavailable && class == "order" && ran > 0:
		return fmt.Errorf("%s was refused and ran", id)
	case status != http.StatusOK && status != http.StatusServiceUnavailable &&
		status != http.StatusBadGateway && status != http.StatusGatewayTimeout:
		return fmt.Errorf("%s was answered %d", id, status)
	}
	return env.executedOnce(class, id)
}

// checkCut judges a request whose client's connection broke.
func (env *faultEnvironment) checkCut(class, id string) error {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.cut++
	return env.executedOnce(class, id)
}

// executedOnce reports a non-idempotent request that executed twice. The caller has the lock.
func (env *faultEnvironment) executedOnce(class, id string) error {
	if ran := env.arrivals[id]; class == "order" && ran > 1 {
		return fmt.Errorf("%s ran %d times", id, ran)
	}
	return nil
}

// Each errno at each call of either side, at the first byte, in the middle and on a connection that is
// used again, with one byte a call: one answer a request.
func TestEachErrnoAtEachCall(t *testing.T) {
	t.Parallel()
	env := newFaultEnvironment(t, 1)
	requests := []faultyRequest{{Class: "order", Body: 20}, {Class: "order", Body: 20, Rested: true}, {Class: "read", Chunked: true}}
	for _, errno := range faultErrnos {
		for _, call := range []agenttest.SystemCall{agenttest.CallConnect, agenttest.CallRead, agenttest.CallWrite} {
			afters := []int64{0, 30, 60, 350}
			if call == agenttest.CallConnect {
				afters = afters[:1]
			}
			for _, after := range afters {
				f := []agenttest.CallFault{{Call: call, After: after, Errno: errno}}
				for _, day := range []faultScenario{{Clients: f, Requests: requests}, {Servers: f, Requests: requests}} {
					if err := env.run(day); err != nil {
						t.Errorf("%+v: %v", day, err)
					}
				}
			}
		}
	}
	env.wantStatuses(t, http.StatusOK, http.StatusBadGateway)
}

// The same for bodies that are too long to be buffered, and are streamed to their server.
func TestErrnosInStreamedBodies(t *testing.T) {
	t.Parallel()
	env := newFaultEnvironment(t, 3)
	requests := []faultyRequest{{Class: "order", Body: message.MaxBufferedBody + 3000}, {Class: "read"}}
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.ENOBUFS} {
		for _, call := range []agenttest.SystemCall{agenttest.CallRead, agenttest.CallWrite} {
			for _, after := range []int64{0, 10, message.MaxBufferedBody + 1000} {
				f := []agenttest.CallFault{{Call: call, After: after, Errno: errno}}
				for _, day := range []faultScenario{{Clients: f, Requests: requests}, {Servers: f, Requests: requests}} {
					if err := env.run(day); err != nil {
						t.Errorf("%+v: %v", day, err)
					}
				}
			}
		}
	}
	env.wantStatuses(t, http.StatusOK, http.StatusBadGateway)
}

// Any faults of the connections of both sides, with one byte a call: one answer a request.
func TestOneResponseWhateverCallsFail(t *testing.T) {
	t.Parallel()
	environments := []*faultEnvironment{newFaultEnvironment(t, 1), newFaultEnvironment(t, 3)}
	faults := rapid.Custom(func(t *rapid.T) agenttest.CallFault {
		return agenttest.CallFault{
			Call:  rapid.SampledFrom([]agenttest.SystemCall{agenttest.CallConnect, agenttest.CallRead, agenttest.CallWrite}).Draw(t, "call"),
			After: rapid.Int64Range(0, 300).Draw(t, "after"),
			Errno: rapid.SampledFrom(faultErrnos).Draw(t, "errno"),
		}
	})
	requests := rapid.Custom(func(t *rapid.T) faultyRequest {
		return faultyRequest{
			Class:   rapid.SampledFrom([]string{"read", "send", "order"}).Draw(t, "class"),
			Body:    rapid.IntRange(0, 100).Draw(t, "body"),
			Chunked: rapid.Bool().Draw(t, "chunked"),
			Rested:  rapid.Bool().Draw(t, "rested"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		scenario := faultScenario{
			Clients:  rapid.SliceOfN(faults, 0, 2).Draw(t, "clients"),
			Servers:  rapid.SliceOfN(faults, 0, 4).Draw(t, "servers"),
			Requests: rapid.SliceOfN(requests, 1, 4).Draw(t, "requests"),
		}
		if err := rapid.SampledFrom(environments).Draw(t, "environment").run(scenario); err != nil {
			t.Fatal(err)
		}
	})
	for _, w := range environments {
		w.wantStatuses(t, http.StatusOK) // what is drawn need not bring the rarer ones
	}
}

// reached fails where the days have missed what they are there for: answers of these statuses, and
// requests that were cut off.
func (env *faultEnvironment) wantStatuses(t *testing.T, statuses ...int) {
	t.Helper()
	env.mu.Lock()
	defer env.mu.Unlock()
	t.Logf("answers by status %v, requests cut off by their client's connection %d", env.answers, env.cut)
	for _, status := range statuses {
		if env.answers[status] == 0 {
			t.Errorf("no request was answered %d", status)
		}
	}
	if env.cut == 0 {
		t.Error("no request was cut off")
	}
}
