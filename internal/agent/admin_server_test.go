package agent

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
)

// adminCall makes a call to the admin endpoint and returns the status of its response.
func (agent *testAgent) adminCall(method, path string) int {
	agent.tb.Helper()
	req, err := http.NewRequestWithContext(agent.tb.Context(), method, "http://"+agent.adminAddr+path, nil)
	if err != nil {
		agent.tb.Fatal(err)
	}
	resp, err := agenttest.HTTPClient.Do(req)
	if err != nil {
		agent.tb.Fatal(err)
	}
	_ = resp.Body.Close()
	if !resp.Close {
		agent.tb.Errorf("%s %s: the connection stays open for another call", method, path)
	}
	return resp.StatusCode
}

// wantServed sends a request on a connection and checks that it is served, and whether the response announces
// that the connection closes.
func wantServed(t *testing.T, conn *agenttest.KeptConn, closes bool) {
	t.Helper()
	resp := conn.Request(t)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Close != closes {
		t.Errorf("response %d, closes: %v; want %d, closes: %v", resp.StatusCode, resp.Close, http.StatusOK, closes)
	}
}

func TestAdminDrainStartAndStop(t *testing.T) {
	agent, server := startWithServer(t, agenttest.RespondOK)
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/nonsense"), http.StatusNotFound)
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/drain/start"), http.StatusMethodNotAllowed)
	used, idle := agent.dialKept(), agent.dialKept()
	wantServed(t, used, false)
	wantServed(t, idle, false)

	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), http.StatusOK)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), http.StatusOK) // it drains already
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusServiceUnavailable)
	// It still serves the clients that it has, and those that do not know of the drain yet.
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	wantServed(t, used, true)
	used.WantClosed(t)
	idle.WantClosed(t)
	wantServed(t, agent.dialKept(), true)

	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/stop"), http.StatusOK)
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusOK)
	afterDrain := agent.dialKept()
	for range 3 {
		wantServed(t, afterDrain, false)
	}
	if server.Count() != 7 {
		t.Errorf("%d arrivals, want 7", server.Count())
	}
}

// Callers that send nothing, or part of a call, neither keep others out nor stay connected, and part of a call
// has no effect.
func TestAdminCallsAreAnsweredBesideSilentCallers(t *testing.T) {
	agent, _ := startWithServer(t, agenttest.RespondOK)
	incomplete := []string{
		"",
		"PUT /ops/dra",
		"PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf",
	}
	var silent []net.Conn
	for i := range 3 * config.MaxAdminConns {
		conn := agenttest.DialKept(t, agent.adminAddr)
		send(conn, incomplete[i%len(incomplete)])
		silent = append(silent, conn)
	}
	for range 5 {
		agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	}
	for _, conn := range silent {
		text, err := io.ReadAll(conn)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("a caller that sends no complete call stays connected")
		}
		if strings.HasPrefix(string(text), "HTTP/1.1 2") {
			t.Errorf("the response to part of a call is %q", text)
		}
	}
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusOK)
}

func TestAdminCallsDoNotWaitForTheEventLoop(t *testing.T) {
	agent, _ := startWithServer(t, agenttest.RespondOK)
	defer agent.blockLoop()()
	agenttest.WantStatus(t, agent.adminCall("GET", "/ops/readiness"), http.StatusOK)
	agenttest.WantStatus(t, agent.adminCall("PUT", "/ops/drain/start"), http.StatusOK)
	agenttest.WantStatus(t, agent.readyStatus(), http.StatusServiceUnavailable)
}

// A reload applies settings without a restart: classes are added and removed, another idempotency and fewer
// attempts apply to requests that arrive from then on, and open requests keep the rules under which they arrived.
func TestReloadAppliesSettings(t *testing.T) {
	arrived, respond := make(chan struct{}, 10), make(chan struct{})
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		switch {
		case req.URL.Query().Has("blocks") && n == 0:
			arrived <- struct{}{}
			<-respond
			return agenttest.SendResponse(conn, http.StatusInternalServerError, "", "")
		case req.URL.Query().Has("fails"):
			return agenttest.SendResponse(conn, http.StatusInternalServerError, "", "")
		}
		return agenttest.RespondOK(conn, req, n)
	})
	request := func(class, query string) int {
		req := agenttest.NewRequest(agent.addr, class, "x")
		req.URL.RawQuery = query
		status, _, _ := agent.do(req)
		return status
	}
	openRequest := make(chan int, 1)
	go func() { openRequest <- request("read", "blocks") }()
	<-arrived

	class := balancer.Class{
		Name:               "read",
		LatencyObjectiveMs: 1000,
		TotalTimeoutMs:     3000,
		Idempotency:        balancer.NonIdempotent,
		PriorityWeight:     1,
	}
	added := class
	added.Name = "fresh"
	cfg := *agent.cfg
	cfg.Settings.Limits.MaxAttempts = 1
	cfg.Settings.Classes = []balancer.Class{class, added}
	lines := agent.logLines()
	agent.reloads <- &cfg
	agenttest.WaitLine(t, lines, "settings applied")

	close(respond)
	agenttest.WantStatus(t, <-openRequest, http.StatusOK) // by a second attempt, which new requests do not get
	if server.Count() != 2 {
		t.Errorf("%d arrivals of the open request, want 2", server.Count())
	}
	agenttest.WantStatus(t, request("fresh", ""), http.StatusOK)
	agenttest.WantStatus(t, request("read", ""), http.StatusOK)
	agenttest.WantStatus(t, request("order", ""), http.StatusBadRequest)
	before := server.Count()
	agenttest.WantStatus(t, request("read", "fails"), http.StatusBadGateway)
	if server.Count() != before+1 {
		t.Errorf("%d attempts of a non-idempotent request, want 1", server.Count()-before)
	}
	agent.wantNoGuardActed()
}

// Before the process may be killed, open requests have their final response, and a response that is being
// streamed goes on.
func TestQueuedRequestsAreAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	arrived, proceed := make(chan struct{}, 2), make(chan struct{})
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, _ int) bool {
		if req.URL.Query().Has("streams") {
			sendf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst", 2*message.MaxBufferedBody)
			arrived <- struct{}{}
			<-proceed
			_, err := conn.Write(variedBytes(2*message.MaxBufferedBody - 5))
			return err == nil
		}
		arrived <- struct{}{}
		<-proceed
		return false
	})
	const timeoutMs = 30_000 // longer than the shutdown takes
	request := func(query string) <-chan string {
		outcome := make(chan string, 1)
		req := agenttest.NewRequest(agent.addr, "order", "x")
		req.Header.Set("Request-Timeout-Ms", strconv.Itoa(timeoutMs))
		req.URL.RawQuery = query
		go func() {
			resp, err := agenttest.HTTPClient.Do(req)
			if err != nil {
				outcome <- err.Error()
				return
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			outcome <- fmt.Sprint(resp.StatusCode, len(body), err)
		}()
		<-arrived
		return outcome
	}
	inFlight, streamed := request(""), request("streams")
	agent.stop()
	if got := <-inFlight; got != "504 0 <nil>" {
		t.Errorf("the request in flight: %s", got)
	}
	close(proceed)
	if got, want := <-streamed, fmt.Sprint(200, 2*message.MaxBufferedBody, nil); got != want {
		t.Errorf("the streamed response: %s, want %s", got, want)
	}
	if err := <-agent.done; err != nil {
		t.Errorf("the agent ended with %v", err)
	}
	agent.done <- nil // for the cleanup
}
