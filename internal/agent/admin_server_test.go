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
func (a *testAgent) adminCall(method, path string) int {
	a.t.Helper()
	req, err := http.NewRequest(method, "http://"+a.adminAddr+path, nil)
	if err != nil {
		a.t.Fatal(err)
	}
	resp, err := agenttest.HTTPClient.Do(req)
	if err != nil {
		a.t.Fatal(err)
	}
	resp.Body.Close()
	if !resp.Close {
		a.t.Errorf("%s %s: the connection stays open for another call", method, path)
	}
	return resp.StatusCode
}

func (a *testAgent) dialKept() *agenttest.KeptConn {
	a.t.Helper()
	return agenttest.DialKept(a.t, a.addr)
}

func (a *testAgent) readyStatus() int {
	a.t.Helper()
	resp, err := agenttest.HTTPClient.Get("http://" + a.addr + "/-/ready")
	if err != nil {
		a.t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func TestAdminDrainStartAndStop(t *testing.T) {
	a, b := startWithServer(t, agenttest.RespondOK)
	agenttest.WantStatus(t, a.adminCall("GET", "/ops/readiness"), 200)
	agenttest.WantStatus(t, a.adminCall("PUT", "/ops/nonsense"), 404)
	agenttest.WantStatus(t, a.adminCall("GET", "/ops/drain/start"), 405)
	used, idle := a.dialKept(), a.dialKept()
	if used.Request(t).Close || idle.Request(t).Close {
		t.Error("a connection is closed without need")
	}
	agenttest.WantStatus(t, a.adminCall("PUT", "/ops/drain/start"), 200)
	agenttest.WantStatus(t, a.adminCall("PUT", "/ops/drain/start"), 200) // says what is so already
	agenttest.WantStatus(t, a.readyStatus(), 503)
	agenttest.WantStatus(t, a.adminCall("GET", "/ops/readiness"), 200) // it still serves whom it has
	if resp := used.Request(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("while emptied: answered %d, closes %v", resp.StatusCode, resp.Close)
	}
	used.WantClosed(t)
	idle.WantClosed(t)
	late := a.dialKept() // who does not know yet is served
	if resp := late.Request(t); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late client: answered %d, closes %v", resp.StatusCode, resp.Close)
	}
	agenttest.WantStatus(t, a.adminCall("PUT", "/ops/drain/stop"), 200)
	agenttest.WantStatus(t, a.readyStatus(), 200)
	again := a.dialKept()
	for range 3 {
		if resp := again.Request(t); resp.StatusCode != 200 || resp.Close {
			t.Errorf("after the drain: answered %d, closes %v", resp.StatusCode, resp.Close)
		}
	}
	if b.Count() != 7 {
		t.Errorf("%d arrivals, want 7", b.Count())
	}
}

// Callers that send nothing, or half a call, neither keep others out nor stay connected, and half a call does
// nothing.
func TestAdminCallsAreAnsweredBesideSilentCallers(t *testing.T) {
	a, _ := startWithServer(t, agenttest.RespondOK)
	var silent []net.Conn
	for i := range 3 * config.MaxAdminConns {
		c, err := net.Dial("tcp", a.adminAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(agenttest.Timeout))
		fmt.Fprint(c, []string{"", "PUT /ops/dra", "PUT /ops/drain/start HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf"}[i%3])
		silent = append(silent, c)
	}
	for range 5 {
		agenttest.WantStatus(t, a.adminCall("GET", "/ops/readiness"), 200)
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
	agenttest.WantStatus(t, a.readyStatus(), 200)
}

func TestAdminCallsDoNotWaitForTheEventLoop(t *testing.T) {
	a, _ := startWithServer(t, agenttest.RespondOK)
	defer a.blockLoop()()
	agenttest.WantStatus(t, a.adminCall("GET", "/ops/readiness"), 200)
	agenttest.WantStatus(t, a.adminCall("PUT", "/ops/drain/start"), 200)
	agenttest.WantStatus(t, a.readyStatus(), 503)
}

// New settings in service: classes are added and removed, another idempotency and fewer attempts apply to
// requests that arrive from then on, and open requests keep the rules under which they arrived.
func TestReloadAppliesSettings(t *testing.T) {
	hold, answer := make(chan struct{}, 10), make(chan struct{})
	a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
		switch {
		case req.URL.Query().Has("held") && n == 0:
			hold <- struct{}{}
			<-answer
			return agenttest.SendResponse(c, 500, "", "")
		case req.URL.Query().Has("fails"):
			return agenttest.SendResponse(c, 500, "", "")
		}
		return agenttest.RespondOK(c, req, n)
	})
	ask := func(class, query string) int {
		req := agenttest.NewRequest(a.addr, class, "x")
		req.URL.RawQuery = query
		status, _, _ := a.do(req)
		return status
	}
	open := make(chan int, 1)
	go func() { open <- ask("read", "held") }()
	<-hold
	cfg := *a.agent.cfg
	cfg.Settings.Limits.MaxAttempts = 1
	cfg.Settings.Classes = []balancer.Class{
		{Name: "read", LatencyObjectiveMs: 1000, TotalTimeoutMs: 3000, Idempotency: balancer.NonIdempotent, PriorityWeight: 1},
		{Name: "fresh", LatencyObjectiveMs: 1000, TotalTimeoutMs: 3000, Idempotency: balancer.NonIdempotent, PriorityWeight: 1},
	}
	lines := a.logLines()
	a.reloads <- &cfg
	agenttest.WaitLine(t, lines, "settings applied")
	close(answer)
	agenttest.WantStatus(t, <-open, 200) // its second attempt, though now there is only one
	if b.Count() != 2 {
		t.Errorf("%d arrivals of the open request, want 2", b.Count())
	}
	agenttest.WantStatus(t, ask("fresh", ""), 200)
	agenttest.WantStatus(t, ask("read", ""), 200)
	agenttest.WantStatus(t, ask("order", ""), 400)
	before := b.Count()
	agenttest.WantStatus(t, ask("read", "fails"), 502)
	if b.Count() != before+1 {
		t.Errorf("%d attempts of a request that may run once", b.Count()-before)
	}
	if f := a.metricsNow(); f.Violations+f.Backstops > 0 {
		t.Errorf("a guard had to act: %+v", f)
	}
}

// Before the process may be killed, open requests have their final response, and a response that is being
// streamed goes on.
func TestQueuedRequestsAreAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	held, more := make(chan struct{}, 2), make(chan struct{})
	a, _ := startWithServer(t, func(c net.Conn, req *http.Request, _ int) bool {
		if req.URL.Query().Has("streams") {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst", 2*message.MaxBufferedBody)
			held <- struct{}{}
			<-more
			_, err := c.Write(randomBytes(2*message.MaxBufferedBody - 5))
			return err == nil
		}
		held <- struct{}{}
		<-more
		return false
	})
	ask := func(query string) <-chan string {
		got := make(chan string, 1)
		req := agenttest.NewRequest(a.addr, "order", "x")
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
	a.stop()
	if got := <-waits; got != "504 0 <nil>" {
		t.Errorf("what is held: %s", got)
	}
	close(more)
	if got, want := <-streams, fmt.Sprint(200, 2*message.MaxBufferedBody, nil); got != want {
		t.Errorf("what is passed on: %s, want %s", got, want)
	}
	if err := <-a.done; err != nil {
		t.Errorf("the agent ended with %v", err)
	}
	a.done <- nil // for the cleanup
}
