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
	// testDelay is how long the cases below delay a request, mostly before an attempt of it begins.
	testDelay   = 300 * time.Millisecond
	testDelayMs = int(testDelay / time.Millisecond)
	timeoutMs   = 4000
)

// timeoutRecorder records the timeout that each attempt passes to its server, in ms.
type timeoutRecorder struct {
	class    string // records requests of this class only; "": of all
	mu       sync.Mutex
	timeouts []int
}

// wrap returns a responder that records the Request-Timeout-Ms of the attempt and then calls respond.
func (recorder *timeoutRecorder) wrap(respond agenttest.Responder) agenttest.Responder {
	return func(conn net.Conn, req *http.Request, n int) bool {
		if recorder.class != "" && req.Header.Get("Request-Class") != recorder.class {
			return respond(conn, req, n)
		}
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

// take returns the timeouts recorded since the last call, in ms.
func (recorder *timeoutRecorder) take() []int {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	taken := recorder.timeouts
	recorder.timeouts = nil
	return taken
}

// want checks the timeouts recorded since the last call against the client's remaining time at each attempt, in ms.
func (recorder *timeoutRecorder) want(t *testing.T, remaining ...int) {
	t.Helper()
	wantTimeouts(t, recorder.take(), remaining)
}

// wantTimeouts checks that each attempt's timeout is at most the client's remaining time, both in ms.
func wantTimeouts(t *testing.T, timeouts, remaining []int) {
	t.Helper()
	if len(timeouts) != len(remaining) {
		t.Fatalf("attempts have timeouts of %v ms, want %d attempts", timeouts, len(remaining))
	}
	for i, timeout := range timeouts {
		if timeout > remaining[i] {
			t.Errorf("attempt %d has a timeout of %d ms, but the client has at most %d ms left", i, timeout, remaining[i])
		}
	}
}

// The timeout that an attempt passes to its server is at most the client's remaining time. The cases check an upper
// bound that follows from the shortest possible delay, so that a slow machine can't make them fail.
func TestAttemptTimeoutIsWithinTheRequestTimeout(t *testing.T) {
	for name, check := range map[string]func(t *testing.T, recorder *timeoutRecorder){
		"first attempt":                          checkFirstAttempt,
		"after a stall of the process":           checkStall,
		"long body after a stall of the process": checkLongBodyAfterStall,
		"retries":                                checkRetries,
		"late connect":                           checkLateConnect,
		"broken reused connection":               checkBrokenReusedConn,
		"queued":                                 checkQueued,
		"late body":                              checkLateBody,
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
	// A third attempt goes to one of the two servers again.
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
	recorder.take() // drops that of the request that opened the connection
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
	recorder.class = "order" // the requests ahead of it in the queue are of another class
	scenario := startAtConcurrencyLimit(t, recorder.wrap(agenttest.RespondOK))
	client := scenario.agent.dial()
	send(client, orderRequest(timeoutMs, "x"))
	agenttest.WaitUntil(t, "the request is queued", scenario.reached)
	time.Sleep(testDelay)
	scenario.proceed()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	recorder.want(t, timeoutMs-testDelayMs)
}

// checkLateBody checks that the timeout of a request starts with its last byte.
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

// requestDuringStall sends a request while the event loop is blocked, and unblocks it testDelay after the request was
// read.
func requestDuringStall(t *testing.T, agent *testAgent, text string) {
	t.Helper()
	release := agent.blockLoop()
	client := agent.dial()
	send(client, text)
	agenttest.WaitUntil(t, "the request is posted to the event loop", func() bool { return agent.loop.Backlog() > 0 })
	time.Sleep(testDelay)
	release()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
}

// A request with a very short timeout gets a response, and its attempts have no longer timeout than the request.
func TestRequestsWithShortTimeoutsAreAnswered(t *testing.T) {
	recorder := &timeoutRecorder{}
	agent, _ := startWithServer(t, recorder.wrap(agenttest.RespondOK))
	for _, timeout := range []int{1, 2, 3, 4, 5, 8, 12} {
		client := agent.dial()
		send(client, orderRequest(timeout, "x"))
		switch status := agenttest.FinalStatus(t, client); status {
		case http.StatusOK, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		default:
			t.Errorf("timeout %d ms: response status %d", timeout, status)
		}
		for _, attemptTimeout := range recorder.take() {
			if attemptTimeout > timeout {
				t.Errorf("timeout %d ms: attempt has a timeout of %d ms", timeout, attemptTimeout)
			}
		}
	}
	if metrics := agent.metricsNow(); metrics.Violations > 0 {
		t.Errorf("policy made attempts without time left: metrics %+v", metrics)
	}
}

// If a request arrives while its connection waits in the accept queue for a free slot, that waiting time counts towards
// the request timeout.
func TestTimeInTheAcceptQueueCounts(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		timeoutMs int
		status    int
		remaining []int // at each attempt, in ms
	}{
		"time is left":    {timeoutMs, http.StatusOK, []int{timeoutMs - testDelayMs}},
		"no time is left": {testDelayMs / 2, http.StatusServiceUnavailable, nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			recorder := &timeoutRecorder{}
			agent, _ := startWithServer(t, recorder.wrap(agenttest.RespondOK))
			release := takeAllSlots(t, agent)
			agent.dial() // takes the slot that Accept already holds
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

// A request that arrives after its connection was accepted has its full timeout, however long the connection waited in
// the accept queue.
func TestTimeInTheAcceptQueueDoesNotCountForLaterRequests(t *testing.T) {
	t.Parallel()
	agent, _ := startWithServer(t, agenttest.RespondOK)
	release := takeAllSlots(t, agent)
	agent.dial()
	agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
	const timeout = 2 * time.Second // also the waiting time in the accept queue
	client := agent.dial()
	time.Sleep(timeout)
	release()
	agenttest.WaitUntil(t, "the connection is accepted", func() bool { return agent.downstream.OpenConns() > 1 })
	for range 2 {
		send(client, orderRequest(int(timeout.Milliseconds()), "x"))
		agenttest.WantStatus(t, agenttest.FinalStatus(t, client), http.StatusOK)
	}
}

// The response to a request may take longer than the time limit for reading the request.
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
