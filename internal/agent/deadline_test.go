package agent

import (
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

const (
	// testDelay is what the cases below take off a request's time before its attempt begins.
	testDelay   = 300 * time.Millisecond
	testDelayMs = int(testDelay / time.Millisecond)
	timeoutMs   = 4000
)

// timeoutRecorder records the timeout in ms that each attempt gives its server.
type timeoutRecorder struct {
	mu       sync.Mutex
	timeouts []int
}

// wrap is a responder that records the attempt's Request-Timeout-Ms first.
func (recorder *timeoutRecorder) wrap(respond agenttest.Responder) agenttest.Responder {
	return func(conn net.Conn, req *http.Request, n int) bool {
		timeout, err := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
		if err != nil {
			timeout = math.MaxInt
		}
		recorder.mu.Lock()
		recorder.timeouts = append(recorder.timeouts, timeout)
		recorder.mu.Unlock()
		return respond(conn, req, n)
	}
}

// take returns the attempts' timeouts since the last call.
func (recorder *timeoutRecorder) take() []int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	taken := recorder.timeouts
	recorder.timeouts = nil
	return taken
}

// want checks that the attempts gave no more time than the client had left.
func (recorder *timeoutRecorder) want(t *testing.T, remaining ...int) {
	t.Helper()
	wantTimeouts(t, recorder.take(), remaining)
}

// wantTimeouts checks that each attempt's timeout is at most what the client had left, in ms.
func wantTimeouts(t *testing.T, timeouts, remaining []int) {
	t.Helper()
	if len(timeouts) != len(remaining) {
		t.Fatalf("attempts had timeouts of %v ms, want %d attempts", timeouts, len(remaining))
	}
	for i, timeout := range timeouts {
		if timeout > remaining[i] {
			t.Errorf("attempt %d had a timeout of %d ms, and the client at most %d left", i, timeout, remaining[i])
		}
	}
}

// An attempt gives its server no more time than the client has left. The times that have passed before an
// attempt are the least that they can be, so a slow machine fails no case.
func TestAttemptTimeoutIsWithinTheRequestTimeout(t *testing.T) {
	for name, check := range map[string]func(t *testing.T, recorder *timeoutRecorder){
		"first attempt":                          checkFirstAttempt,
		"after a stall of the process":           checkStall,
		"long body after a stall of the process": checkLongBodyAfterStall,
		"retries":                                checkRetries,
		"late connect":                           checkLateConnect,
		"broken kept connection":                 checkBrokenReusedConn,
		"queued":                                 checkQueued,
		"body that comes late":                   checkLateBody,
		"long upload":                            checkLongUpload,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t, &timeoutRecorder{})
		})
	}
}

func checkFirstAttempt(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	agent, _ := startWithServer(t, recorder.wrap(agenttest.RespondOK))
	client := agent.dial()
	send(client, orderRequest(timeoutMs, "x"))
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	recorder.want(t, timeoutMs)
}

func checkStall(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	agent, _ := startWithServer(t, recorder.wrap(agenttest.RespondOK))
	requestDuringStall(t, agent, orderRequest(timeoutMs, "x"))
	recorder.want(t, timeoutMs-testDelayMs)
}

func checkLongBodyAfterStall(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	agent, _ := startWithServer(t, recorder.wrap(hashResponder))
	requestDuringStall(t, agent, orderRequest(timeoutMs, strings.Repeat("x", 2*message.MaxBufferedBody)))
	recorder.want(t, timeoutMs-testDelayMs)
}

func checkRetries(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	slow := recorder.wrap(func(conn net.Conn, req *http.Request, n int) bool {
		time.Sleep(testDelay)
		return respondOverloaded(conn, req, n)
	})
	first, second := agenttest.NewServer(t, slow), agenttest.NewServer(t, slow)
	agent := startAgent(t, discoveryWith(t, first.Addr, second.Addr), nil)
	client := agent.dial()
	send(client, orderRequest(timeoutMs, "x"))
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusServiceUnavailable)
	// The third attempt goes back to one of the two servers.
	timeouts := recorder.take()
	if len(timeouts) < 2 {
		t.Fatalf("%d attempts, want a retry", len(timeouts))
	}
	var remaining []int
	for attempt := range timeouts {
		remaining = append(remaining, timeoutMs-attempt*testDelayMs)
	}
	wantTimeouts(t, timeouts, remaining)
}

func checkLateConnect(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	listener := fullListener(t)
	agent := startAgent(t, discoveryWith(t, listener.Addr().String()), withLongConnectTimeout)
	client := agent.dial()
	send(client, orderRequest(timeoutMs, "x"))
	agenttest.WaitUntil(t, "the connect has begun", func() bool { return agent.pool.ConnectCount() == 1 })
	time.Sleep(testDelay)
	server := &agenttest.Server{
		Listener:    listener,
		Respond:     recorder.wrap(agenttest.RespondOK),
		ConnsClosed: make(chan struct{}, 10),
	}
	go server.Accept()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	recorder.want(t, timeoutMs-testDelayMs)
}

func checkBrokenReusedConn(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	server := agenttest.NewServer(t, recorder.wrap(agenttest.RespondOK))
	agent, broken := startWithBlockedConn(t, server)
	recorder.take() // the earlier request's
	client := agent.dial()
	send(client, orderRequest(timeoutMs, "x"))
	<-broken.writing
	time.Sleep(testDelay)
	close(broken.proceed)
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	recorder.want(t, timeoutMs-testDelayMs)
}

func checkQueued(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	queued := startAtConcurrencyLimit(t, recorder.wrap(agenttest.RespondOK))
	recorder.take()
	client := queued.agent.dial()
	send(client, orderRequest(timeoutMs, "x"))
	agenttest.WaitUntil(t, "the request is queued", queued.reached)
	time.Sleep(testDelay)
	queued.proceed()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	timeouts := recorder.take()
	last := timeouts[len(timeouts)-1:] // those before are of the requests that it was queued behind
	wantTimeouts(t, last, []int{timeoutMs - testDelayMs})
}

// The time of a request counts from its last byte.
func checkLateBody(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	agent, _ := startWithServer(t, recorder.wrap(agenttest.RespondOK))
	client := agent.dial()
	text := orderRequest(timeoutMs, "xy")
	lastByte := len(text) - 1
	send(client, text[:lastByte])
	time.Sleep(testDelay)
	send(client, text[lastByte:])
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	recorder.want(t, timeoutMs)
}

func checkLongUpload(t *testing.T, recorder *timeoutRecorder) {
	t.Helper()
	agent, _ := startWithServer(t, recorder.wrap(hashResponder))
	client := agent.dial()
	text := orderRequest(timeoutMs, strings.Repeat("x", 4*message.MaxBufferedBody))
	for _, part := range []string{
		text[:2*message.MaxBufferedBody],
		text[2*message.MaxBufferedBody : 3*message.MaxBufferedBody],
		text[3*message.MaxBufferedBody:],
	} {
		send(client, part)
		time.Sleep(testDelay)
	}
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	recorder.want(t, timeoutMs)
}

// requestDuringStall sends a request while the loop does not run, for testDelay after the request was read.
func requestDuringStall(t *testing.T, agent *testAgent, text string) {
	t.Helper()
	release := agent.blockLoop()
	client := agent.dial()
	send(client, text)
	agenttest.WaitUntil(t, "the request is posted to the loop", func() bool { return agent.loop.Backlog() > 0 })
	time.Sleep(testDelay)
	release()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
}

// A request with a very short timeout has its response, and gives no server more time than that.
func TestRequestsWithShortTimeoutsAreAnswered(t *testing.T) {
	recorder := &timeoutRecorder{}
	agent, _ := startWithServer(t, recorder.wrap(agenttest.RespondOK))
	for _, timeout := range []int{1, 2, 3, 4, 5, 8, 12} {
		client := agent.dial()
		send(client, orderRequest(timeout, "x"))
		switch status := agenttest.FinalStatus(t, client); status {
		case http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			t.Errorf("%d ms: response %d", timeout, status)
		}
		for _, attemptTimeout := range recorder.take() {
			if attemptTimeout > timeout {
				t.Errorf("%d ms: an attempt had a timeout of %d ms", timeout, attemptTimeout)
			}
		}
	}
	if metrics := agent.metricsNow(); metrics.Violations > 0 {
		t.Errorf("the policy made attempts that have no time: metrics %+v", metrics)
	}
}

// A connection may have waited for a slot in the accept queue with its request: that time is part of the
// client's timeout.
func TestTimeInTheAcceptQueueCounts(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		timeoutMs int
		status    int
		remaining []int // of the attempts
	}{
		"time is left":    {timeoutMs, http.StatusOK, []int{timeoutMs - testDelayMs}},
		"no time is left": {testDelayMs / 2, http.StatusServiceUnavailable, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder := &timeoutRecorder{}
			agent, _ := startWithServer(t, recorder.wrap(agenttest.RespondOK))
			release := takeAllSlots(t, agent)
			agent.dial() // takes the slot that Accept has already
			agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
			client := agent.dial()
			send(client, orderRequest(test.timeoutMs, "x"))
			time.Sleep(testDelay)
			release()
			agenttest.WantStatus(t, agenttest.FinalStatus(t, client), test.status)
			recorder.want(t, test.remaining...)
		})
	}
}

// A request that arrives only once its connection has been accepted has its full time, however long the
// connection waited.
func TestTimeInTheAcceptQueueDoesNotCountForLaterRequests(t *testing.T) {
	t.Parallel()
	agent, _ := startWithServer(t, agenttest.RespondOK)
	release := takeAllSlots(t, agent)
	agent.dial()
	agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
	const timeout = 2 * time.Second // the connection waits for as long, so that nothing would be left of it
	client := agent.dial()
	time.Sleep(timeout)
	release()
	agenttest.WaitUntil(t, "it is accepted", func() bool { return agent.downstream.OpenConns() > 1 })
	for range 2 {
		send(client, orderRequest(int(timeout.Milliseconds()), "x"))
		agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	}
}

// A request may wait for longer than it may take to arrive.
func TestRequestOutlivesItsReadTimeout(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	agent, _ := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		<-release
		return agenttest.RespondOK(conn, req, n)
	})
	time.AfterFunc(message.BodyGracePeriod+500*time.Millisecond, func() { close(release) })
	agent.wantOrderStatus(http.StatusOK)
}
