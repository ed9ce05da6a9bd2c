package agent

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// adminCall makes an admin call and returns its status.
func (agent *testAgent) adminCall(method, path string) int {
	agent.t.Helper()
	req, err := http.NewRequest(method, "http://"+agent.adminAddr+path, nil)
	if err != nil {
		agent.t.Fatal(err)
	}
	resp, err := agenttest.HTTPClient.Do(req)
	if err != nil {
		agent.t.Fatal(err)
	}
	resp.Body.Close()
	if !resp.Close {
		agent.t.Errorf("%s %s: the connection stays open for another call", method, path)
	}
	return resp.StatusCode
}

func (agent *testAgent) dialKept() *agenttest.KeptConn {
	agent.t.Helper()
	return agenttest.DialKept(agent.t, agent.addr)
}

func (agent *testAgent) readyStatus() int {
	agent.t.Helper()
	resp, err := agenttest.HTTPClient.Get("http://" + agent.addr + "/-/ready")
	if err != nil {
		agent.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestAdminDrainStartAndStop(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), 200)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/nonsense"), 404)
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/drain/start"), 405)
	used, idle := agent.dialKept(), agent.dialKept()
	if used.Request(t).Close || idle.Request(t).Close {
		t.Error("a connection is closed without need")
	}
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), 200)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), 200) // says what is so already
	agenttest.WantStatus(t, agent.readyStatus(), 503)
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), 200) // it still serves whom it has
	if resp := used.Request(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("while emptied: answered %d, closes %v", resp.StatusCode, resp.Close)
	}
	used.WantClosed(t)
	idle.WantClosed(t)
	late := agent.dialKept() // who does not know yet is served
	if resp := late.Request(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late client: answered %d, closes %v", resp.StatusCode, resp.Close)
	}
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/stop"), 200)
	agenttest.WantStatus(t, agent.readyStatus(), 200)
	again := agent.dialKept()
	for range 3 {
		if resp := again.Request(t); resp.StatusCode != 200 || resp.Close {
			t.Errorf("after the drain: answered %d, closes %v", resp.StatusCode, resp.Close)
		}
	}
	if server.Count() != 7 {
		t.Errorf("%d arrivals, want 7", server.Count())
	}
}

// Callers that send nothing, or half a call, neither keep others out nor stay connected, and half a call does
// nothing.
func TestAdminCallsAreAnsweredBesideSilentCallers(t *testing.T) {
	agent, _ := startWithServer(t, agenttest.RespondOK)
	var silent []net.Conn
	for i := range 3 * config.MaxAdminConns {
		conn, err := net.Dial("tcp", agent.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(agenttest.Timeout))
		fmt.Fprint(conn, []string{"", "PUT /ops/dra", "PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"}[i%3])
		silent = append(silent, conn)
	}
	for range 5 {
		agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), 200)
	}
	for _, c := range silent {
		text, err := io.ReadAll(c)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a caller that brings nothing stays")
		}
		if strings.HasPrefix(string(text), "HTTP/1.1 2") {
			t.Errorf("half a call was answered %q", text)
		}
	}
	agenttest.WantStatus(t, agent.readyStatus(), 200)
}

func TestAdminCallsDoNotWaitForTheEventLoop(t *testing.T) {
	agent, _ := startWithServer(t, agenttest.RespondOK)
	defer agent.blockLoop()()
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), 200)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), 200)
	agenttest.WantStatus(t, agent.readyStatus(), 503)
}

// New settings in service: classes are added and removed, another idempotency and fewer attempts apply to
// requests that arrive from then on, and open requests keep the rules under which they arrived.
func TestReloadAppliesSettings(t *testing.T) {
	hold, answer := make(chan struct{}, 10), make(chan struct{})
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		switch {
		case req.URL.Query().Has("held") && n == 0:
			hold <- struct{}{}
			<-answer
			return agenttest.SendResponse(conn, 500, "", "")
		case req.URL.Query().Has("fails"):
			return agenttest.SendResponse(conn, 500, "", "")
		}
		return agenttest.RespondOK(conn, req, n)
	})
	ask := func(class, query string) int {
		req := agenttest.NewRequest(agent.addr, class, "x")
		req.URL.RawQuery = query
		status, _, _ := agent.do(req)
		return status
	}
	open := make(chan int, 1)
	go func() { open <- ask("read", "held") }()
	<-hold
	cfg := *agent.cfg
	cfg.Settings.Limits.MaxAttempts = 1
	cfg.Settings.Classes = []balancer.Class{
		{Name: "read", LatencyObjectiveMs: 1000, TotalTimeoutMs: 3000, Idempotency: balancer.NonIdempotent, PriorityWeight: 1},
		{Name: "fresh", LatencyObjectiveMs: 1000, TotalTimeoutMs: 3000, Idempotency: balancer.NonIdempotent, PriorityWeight: 1},
	}
	lines := agent.logLines()
	agent.reloads <- &cfg
	agenttest.WaitLine(t, lines, "settings applied")
	close(answer)
	agenttest.WantStatus(t, <-open, 200) // its second attempt, though now there is only one
	if server.Count() != 2 {
		t.Errorf("%d arrivals of the open request, want 2", server.Count())
	}
	agenttest.WantStatus(t, ask("fresh", ""), 200)
	agenttest.WantStatus(t, ask("read", ""), 200)
	agenttest.WantStatus(t, ask("order", ""), 400)
	before := server.Count()
	agenttest.WantStatus(t, ask("read", "fails"), 502)
	if server.Count() != before+1 {
		t.Errorf("%d attempts of a request that may run once", server.Count()-before)
	}
	if metrics := agent.metricsNow(); metrics.Violations+metrics.Backstops > 0 {
		t.Errorf("a guard had to act: %+v", metrics)
	}
}

// Before the process may be killed, open requests have their final response, and a response that is being
// streamed goes on.
func TestQueuedRequestsAreAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	held, more := make(chan struct{}, 2), make(chan struct{})
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		if req.URL.Query().Has("streams") {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst", 2*message.MaxBufferedBody)
			held <- struct{}{}
			<-more
			_, err := conn.Write(randomBytes(2*message.MaxBufferedBody - 5))
			return err == nil
		}
		held <- struct{}{}
		<-more
		return false
	})
	ask := func(query string) <-chan string {
		got := make(chan string, 1)
		req := agenttest.NewRequest(agent.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", "30000") // longer than the platform waits
		req.URL.RawQuery = query
		go func() {
			resp, err := agenttest.HTTPClient.Do(req)
			if err != nil {
				got <- err.Error()
				return
			}
			body, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			got <- fmt.Sprint(resp.StatusCode, len(body), err)
		}()
		<-held
		return got
	}
	waits, streams := ask(""), ask("streams")
	agent.stop()
	if got := <-waits; got != "504 0 <nil>" {
		t.Errorf("what is held: %s", got)
	}
	close(more)
	if got, want := <-streams, fmt.Sprint(200, 2*message.MaxBufferedBody, nil); got != want {
		t.Errorf("what is passed on: %s, want %s", got, want)
	}
	if err := <-agent.done; err != nil {
		t.Errorf("the agent ended with %v", err)
	}
	agent.done <- nil // for the cleanup
}
