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

// The times of a shutdown, counted from SIGTERM.
const (
	// acceptTime is how long the agent accepts connections. Clients may open connections for 0.4 s.
	acceptTime = 500 * time.Millisecond
	// admitTime is how long the agent forwards requests. Requests that arrive in the first 0.7 s must not be lost.
	admitTime = 600 * time.Millisecond
	// silentConnLimit is by when a connection without a request is closed in a shutdown with a drain time of 0.85 s.
	// Without a shutdown the connection would be closed after 2.6 s.
	silentConnLimit = 2100 * time.Millisecond
)

// takeAllSlots takes all connection slots for clients until release is called, except for the one that Accept holds for
// the next connection. It waits until Accept has been called again after the last one.
func takeAllSlots(t *testing.T, agent *testAgent) (release func()) {
	t.Helper()
	agent.waitNoClients(t) // otherwise the connection of waitReady would release a slot later
	slots := agent.downstream.ConnSlots()
	othersSlots := slots.Size - 1
	agenttest.WaitUntil(t, "Accept holds a slot", func() bool {
		if !slots.TryAcquire(slots.Size) {
			return slots.TryAcquire(othersSlots)
		}
		slots.Release(slots.Size)
		return false
	})
	return func() { slots.Release(othersSlots) }
}

// A request on a connection that is in the accept queue when the shutdown closes the listener must get a response, even
// if no slot was free for the connection until then.
func TestShutdownAnswersTheAcceptQueue(t *testing.T) {
	t.Parallel()
	agent, _ := startWithServer(t, agenttest.RespondOK)
	release := takeAllSlots(t, agent)
	accepted := agent.dial() // takes the slot that Accept already holds
	agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
	waiting := agent.dial()
	send(waiting, orderRequest(timeoutMs, "x"))
	agent.stop()
	time.AfterFunc(acceptTime+testDelay, release)
	if status := agenttest.FinalStatus(t, waiting); status != http.StatusOK && status != http.StatusServiceUnavailable {
		t.Errorf("response status %d, want 200 or 503", status)
	}
	_ = accepted.Close()
}

// The first request of a connection gets a response at any time of the shutdown, whether the connection was opened
// before the shutdown or during it.
func TestFirstRequestDuringShutdownIsAnswered(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, agenttest.RespondOK)
	type connTimes struct { // relative to the signal; a dial of 0 is before it
		dial time.Duration
		send time.Duration
	}
	var statuses []chan int
	start := time.Now()
	for _, times := range []connTimes{
		{dial: 0, send: 50 * time.Millisecond},
		{dial: 0, send: acceptTime + 20*time.Millisecond},
		{dial: 0, send: admitTime + 100*time.Millisecond},
		{dial: 0, send: 1500 * time.Millisecond},
		{dial: 200 * time.Millisecond, send: 200 * time.Millisecond},
		{dial: 300 * time.Millisecond, send: acceptTime},
		{dial: 300 * time.Millisecond, send: admitTime},
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
			time.AfterFunc(time.Until(start.Add(times.send)), func() {
				send(client, orderRequest(timeoutMs, "x"))
				status <- client.Status()
			})
		}
		if times.dial == 0 {
			dial()
		} else {
			time.AfterFunc(times.dial, dial)
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
			t.Errorf("connection %d: response status %d, want 200 or 503", i, got)
		}
	}
	if server.Count() != served {
		t.Errorf("server received %d requests, but %d were served", server.Count(), served)
	}
}

// A connection without a request is closed before the process may be killed. Otherwise a request could arrive on it too
// late for a response.
func TestSilentConnectionsCloseBeforeTheKill(t *testing.T) {
	t.Parallel()
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent := startAgent(t, discoveryWith(t, server.Addr), func(cfg *config.Config) {
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].TotalTimeoutMs = 300
		}
	})
	client := agent.dial()
	agenttest.WaitUntil(t, "the connection is accepted", func() bool { return agent.downstream.OpenConns() > 0 })
	stopped := time.Now()
	agent.stop()
	if n, err := io.Copy(io.Discard, client); n > 0 || err != nil {
		t.Errorf("read %d bytes, error %v; want an orderly close", n, err)
	}
	if took := time.Since(stopped); took > silentConnLimit {
		t.Errorf("connection closed %v after the signal, which is too late", took)
	}
}

// Open requests get their final response before the process may be killed, and a streamed response continues.
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
		t.Errorf("request in flight: %s, want status 504", got)
	}
	close(proceed)
	if got, want := <-streamed, fmt.Sprint(200, 2*message.MaxBufferedBody, nil); got != want {
		t.Errorf("streamed response: %s, want %s", got, want)
	}
	if err := <-agent.done; err != nil {
		t.Errorf("Run returned %v", err)
	}
	agent.done <- nil // for the cleanup
}
