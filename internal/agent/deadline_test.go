package agent

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	// testDelay is what the cases below take off a request's time before its attempt begins.
	testDelay = 300 * time.Millisecond
	timeoutMs = 4000
)

// deadlineRecorder records the timeout that each attempt gives its server.
type deadlineRecorder struct {
	mu   sync.Mutex
	told []int
}

// recording is answer, with the attempt's Request-Timeout-Ms recorded.
func (recorder *deadlineRecorder) recording(answer func(net.Conn, *http.Request, int) bool) func(net.Conn, *http.Request, int) bool {
	return func(conn net.Conn, req *http.Request, n int) bool {
		told, err := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
		if err != nil {
			told = 1 << 30
		}
		recorder.mu.Lock()
		recorder.told = append(recorder.told, told)
		recorder.mu.Unlock()
		return answer(conn, req, n)
	}
}

// forget forgets the attempts up to now.
func (recorder *deadlineRecorder) forget() {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.told = nil
}

// want checks that the attempts gave no more time than the client had left.
func (recorder *deadlineRecorder) want(t *testing.T, left ...int) {
	t.Helper()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if len(recorder.told) != len(left) {
		t.Fatalf("attempts told %v, want %d of them", recorder.told, len(left))
	}
	for i, told := range recorder.told {
		if told > left[i] {
			t.Errorf("attempt %d told %d ms, and the client had %d left at the most", i, told, left[i])
		}
	}
}

// timedRequest is a request with a timeout and a body.
func timedRequest(timeoutMs int, body string) string {
	return fmt.Sprintf("POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 1\r\nRequest-Class: order\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", timeoutMs, len(body), body)
}

// An attempt gives its server no more time than the client has left. The times that have passed before an
// attempt are the least that they can be, so a slow machine fails no case.
func TestAttemptTimeoutIsWithinTheClients(t *testing.T) {
	const left = timeoutMs - int(testDelay/time.Millisecond)
	for name, test := range map[string]func(t *testing.T, recorder *deadlineRecorder){
		"first attempt": func(t *testing.T, recorder *deadlineRecorder) {
			agent, _ := startWithServer(t, recorder.recording(agenttest.RespondOK))
			client := agent.dialKept()
			fmt.Fprint(client, timedRequest(timeoutMs, "x"))
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
			recorder.want(t, timeoutMs)
		},
		"after a stall of the process": func(t *testing.T, recorder *deadlineRecorder) {
			agent, _ := startWithServer(t, recorder.recording(agenttest.RespondOK))
			requestDuringStall(t, agent, timedRequest(timeoutMs, "x"))
			recorder.want(t, left)
		},
		"long body after a stall of the process": func(t *testing.T, recorder *deadlineRecorder) {
			agent, _ := startWithServer(t, recorder.recording(hashResponder))
			requestDuringStall(t, agent, timedRequest(timeoutMs, strings.Repeat("x", 2*message.MaxBufferedBody)))
			recorder.want(t, left)
		},
		"retries": func(t *testing.T, recorder *deadlineRecorder) {
			slow := recorder.recording(func(conn net.Conn, req *http.Request, n int) bool {
				time.Sleep(testDelay)
				return respondOverloaded(conn, req, n)
			})
			first, second := agenttest.NewServer(t, slow), agenttest.NewServer(t, slow)
			agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr), agenttest.Endpoint("s-2", second.Addr)), nil)
			client := agent.dialKept()
			fmt.Fprint(client, timedRequest(timeoutMs, "x"))
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 503)
			// The third attempt goes back to one of the two: there are no others.
			recorder.mu.Lock()
			attempts := len(recorder.told)
			recorder.mu.Unlock()
			if attempts < 2 {
				t.Fatalf("%d attempts, want a retry", attempts)
			}
			var lefts []int
			for i := range attempts {
				lefts = append(lefts, timeoutMs-i*int(testDelay/time.Millisecond))
			}
			recorder.want(t, lefts...)
		},
		"late connect": func(t *testing.T, recorder *deadlineRecorder) {
			ln := fullListener(t)
			agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), func(cfg *config.Config) {
				cfg.Settings.Limits.ConnectTimeoutMs = 10_000
			})
			client := agent.dialKept()
			fmt.Fprint(client, timedRequest(timeoutMs, "x"))
			agenttest.WaitUntil(t, "the connect is under way", func() bool { return agent.pool.ConnectCount() == 1 })
			time.Sleep(testDelay)
			go (&agenttest.Server{T: t, Ln: ln, Answer: recorder.recording(agenttest.RespondOK), Ended: make(chan struct{}, 10)}).Accept()
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
			recorder.want(t, left)
		},
		"broken kept connection": func(t *testing.T, recorder *deadlineRecorder) {
			server := agenttest.NewServer(t, recorder.recording(agenttest.RespondOK))
			agent, broken := startWithBlockedConn(t, server)
			recorder.forget()
			client := agent.dialKept()
			fmt.Fprint(client, timedRequest(timeoutMs, "x"))
			<-broken.writing
			time.Sleep(testDelay)
			close(broken.proceed)
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
			recorder.want(t, left)
		},
		"queued": func(t *testing.T, recorder *deadlineRecorder) {
			moment := queuedBehind(t, recorder.recording(agenttest.RespondOK))
			recorder.forget()
			client := moment.agent.dialKept()
			fmt.Fprint(client, timedRequest(timeoutMs, "x"))
			agenttest.WaitUntil(t, "it waits", moment.reached)
			time.Sleep(testDelay)
			moment.proceed()
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
			recorder.mu.Lock()
			recorder.told = recorder.told[len(recorder.told)-1:]
			recorder.mu.Unlock()
			recorder.want(t, left)
		},
		"body that comes late": func(t *testing.T, recorder *deadlineRecorder) {
			agent, _ := startWithServer(t, recorder.recording(agenttest.RespondOK))
			client := agent.dialKept()
			text := timedRequest(timeoutMs, "xy")
			fmt.Fprint(client, text[:len(text)-1])
			time.Sleep(testDelay)
			fmt.Fprint(client, text[len(text)-1:])
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
			recorder.want(t, timeoutMs) // the time counts from the last byte
		},
		"long upload": func(t *testing.T, recorder *deadlineRecorder) {
			agent, _ := startWithServer(t, recorder.recording(hashResponder))
			client := agent.dialKept()
			text := timedRequest(timeoutMs, strings.Repeat("x", 4*message.MaxBufferedBody))
			for _, part := range []string{text[:2*message.MaxBufferedBody], text[2*message.MaxBufferedBody : 3*message.MaxBufferedBody], text[3*message.MaxBufferedBody:]} {
				fmt.Fprint(client, part)
				time.Sleep(testDelay)
			}
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
			recorder.want(t, timeoutMs)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, &deadlineRecorder{})
		})
	}
}

// requestDuringStall sends a request while the loop does not run, for testDelay after the request was read.
func requestDuringStall(t *testing.T, agent *testAgent, text string) {
	t.Helper()
	release := agent.blockLoop()
	client := agent.dialKept()
	fmt.Fprint(client, text)
	agenttest.WaitUntil(t, "the loop is to take the request", func() bool { return agent.loop.Backlog() > 0 })
	time.Sleep(testDelay)
	release()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
}

// With hardly any time left a request has its response, and gives no server more time than that.
func TestRequestsWithShortTimeoutsAreAnswered(t *testing.T) {
	recorder := &deadlineRecorder{}
	agent, _ := startWithServer(t, recorder.recording(agenttest.RespondOK))
	for _, timeout := range []int{1, 2, 3, 4, 5, 8, 12} {
		client := agent.dialKept()
		fmt.Fprint(client, timedRequest(timeout, "x"))
		if status := agenttest.FinalStatus(t, client); status != 200 && status != 502 && status != 503 && status != 504 {
			t.Errorf("%d ms: answered %d", timeout, status)
		}
		recorder.mu.Lock()
		for _, told := range recorder.told {
			if told > timeout {
				t.Errorf("%d ms: told %d", timeout, told)
			}
		}
		recorder.told = nil
		recorder.mu.Unlock()
	}
	if metrics := agent.metricsNow(); metrics.Violations > 0 {
		t.Errorf("the module sent attempts that have no time: figures %+v", metrics)
	}
}

// A connection may have waited for a slot in the accept queue with its request: that time is part of the
// client's timeout.
func TestTimeInTheAcceptQueueCounts(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		timeoutMs, status int
		told              []int
	}{
		"time is left":     {timeoutMs, 200, []int{timeoutMs - int(testDelay/time.Millisecond)}},
		"its time is over": {int(testDelay/time.Millisecond) / 2, 503, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder := &deadlineRecorder{}
			agent, _ := startWithServer(t, recorder.recording(agenttest.RespondOK))
			release := takeAllSlots(t, agent)
			agent.dialKept() // takes the slot that Accept holds already
			agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
			client := agent.dialKept()
			fmt.Fprint(client, timedRequest(test.timeoutMs, "x"))
			time.Sleep(testDelay)
			release()
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), test.status)
			recorder.want(t, test.told...)
		})
	}
}

// A request that arrives only once its connection has been accepted has its whole time, however long the
// connection waited.
func TestTimeInTheAcceptQueueIsNotTheNextRequests(t *testing.T) {
	t.Parallel()
	agent, _ := startWithServer(t, agenttest.RespondOK)
	release := takeAllSlots(t, agent)
	agent.dialKept()
	agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
	const timeout = 2 * time.Second
	client := agent.dialKept()
	time.Sleep(timeout)
	release()
	agenttest.WaitUntil(t, "it is accepted", func() bool { return agent.downstream.OpenConns() > 1 })
	for range 2 {
		fmt.Fprint(client, timedRequest(int(timeout.Milliseconds()), "x"))
		agenttest.WantStatus(t, agenttest.FinalStatus(t, client), 200)
	}
}
