package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// The moments of a shutdown, from SIGTERM on, around which the tests act.
const (
	// acceptPeriod is how long the agent accepts connections: clients may open them for 0.4 s.
	acceptPeriod = 500 * time.Millisecond
	// admitPeriod is how long it forwards requests: those that come in the first 0.7 s must not be lost.
	admitPeriod = 600 * time.Millisecond
	// silentConnLimit is by when a connection that brings no request is closed, in a shutdown whose drain time is
	// 0.85 s. Without a shutdown the connection would have 2.6 s.
	silentConnLimit = 2100 * time.Millisecond
)

// takeAllSlots leaves clients no slot for a connection until release is called, except for the one that
// Accept has already.
func takeAllSlots(t *testing.T, agent *testAgent) (release func()) {
	t.Helper()
	agent.waitNoClients(t) // or the connection that got /-/ready would release one later
	slots := agent.downstream.ConnSlots()
	taken := int64(0)
	for slots.TryAcquire(1) {
		taken++
	}
	return func() { slots.Release(taken) }
}

// A connection that waits to be accepted when the shutdown closes the listener has arrived: its request must
// have a response, also where there was no slot for it until then.
func TestShutdownAnswersTheAcceptQueue(t *testing.T) {
	t.Parallel()
	agent, _ := startWithServer(t, agenttest.RespondOK)
	release := takeAllSlots(t, agent)
	accepted := agent.dial() // takes the slot that Accept has already
	agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
	waiting := agent.dial()
	send(waiting, orderRequest(timeoutMs, "x"))
	agent.stop()
	time.AfterFunc(acceptPeriod+testDelay, release)
	if status := agenttest.FinalStatus(t, waiting); status != http.StatusOK && status != http.StatusServiceUnavailable {
		t.Errorf("response %d", status)
	}
	_ = accepted.Close()
}

// First requests of new connections have their response at each moment of the shutdown, and those of earlier
// connections too.
func TestFirstRequestDuringShutdownIsAnswered(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, agenttest.RespondOK)
	type moment struct { // after the signal; 0: before it
		dial time.Duration
		send time.Duration
	}
	var statuses []chan int
	start := time.Now()
	for _, moment := range []moment{
		{dial: 0, send: 50 * time.Millisecond},
		{dial: 0, send: acceptPeriod + 20*time.Millisecond},
		{dial: 0, send: admitPeriod + 100*time.Millisecond},
		{dial: 0, send: 1500 * time.Millisecond},
		{dial: 200 * time.Millisecond, send: 200 * time.Millisecond},
		{dial: 300 * time.Millisecond, send: acceptPeriod},
		{dial: 300 * time.Millisecond, send: admitPeriod},
		{dial: 300 * time.Millisecond, send: time.Second},
	} {
		status := make(chan int, 1)
		statuses = append(statuses, status)
		dial := func() {
			client, err := agenttest.ConnectClient(t, agent.addr)
			if err != nil {
				t.Error(err)
				status <- 0
				return
			}
			time.AfterFunc(time.Until(start.Add(moment.send)), func() {
				send(client, orderRequest(timeoutMs, "x"))
				status <- client.Status()
			})
		}
		if moment.dial == 0 {
			dial()
		} else {
			time.AfterFunc(moment.dial, dial)
		}
	}
	agenttest.WaitUntil(t, "the earlier connections are accepted", func() bool {
		return agent.downstream.OpenConns() >= 4
	})
	agent.stop()
	served := 0
	for i, status := range statuses {
		switch got := <-status; got {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
		default:
			t.Errorf("connection %d: response %d", i, got)
		}
	}
	if server.Count() != served {
		t.Errorf("%d arrivals, %d served", server.Count(), served)
	}
}

// A connection that never sent a request is closed before the process may be killed: a request on it could
// come too late for a response.
func TestSilentConnectionsCloseBeforeTheKill(t *testing.T) {
	t.Parallel()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent := startAgent(t, discoveryWith(t, server.Addr), func(cfg *config.Config) {
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].TotalTimeoutMs = 300
		}
	})
	client := agent.dial()
	agenttest.WaitUntil(t, "it is accepted", func() bool { return agent.downstream.OpenConns() > 0 })
	stopped := time.Now()
	agent.stop()
	if n, err := io.Copy(io.Discard, client); n > 0 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if took := time.Since(stopped); took > silentConnLimit {
		t.Errorf("closed %v after the signal", took)
	}
}

// Before the process may be killed, open requests have their final response, and a response that is being
// streamed goes on.
func TestOpenRequestsAreAnsweredAtShutdown(t *testing.T) {
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
