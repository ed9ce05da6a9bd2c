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
func (d *deadlineRecorder) recording(answer func(net.Conn, *http.Request, int) bool) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, req *http.Request, n int) bool {
		told, err := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
		if err != nil {
			told = 1 << 30
		}
		d.mu.Lock()
		d.told = append(d.told, told)
		d.mu.Unlock()
		return answer(c, req, n)
	}
}

// forget forgets the attempts up to now.
func (d *deadlineRecorder) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.told = nil
}

// want checks that the attempts gave no more time than the client had left.
func (d *deadlineRecorder) want(t *testing.T, left ...int) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.told) != len(left) {
		t.Fatalf("attempts told %v, want %d of them", d.told, len(left))
	}
	for i, told := range d.told {
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
	for name, test := range map[string]func(t *testing.T, d *deadlineRecorder){
		"first attempt": func(t *testing.T, d *deadlineRecorder) {
			a, _ := startWithServer(t, d.recording(agenttest.RespondOK))
			c := a.dialKept()
			fmt.Fprint(c, timedRequest(timeoutMs, "x"))
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
			d.want(t, timeoutMs)
		},
		"after a stall of the process": func(t *testing.T, d *deadlineRecorder) {
			a, _ := startWithServer(t, d.recording(agenttest.RespondOK))
			requestDuringStall(t, a, timedRequest(timeoutMs, "x"))
			d.want(t, left)
		},
		"long body after a stall of the process": func(t *testing.T, d *deadlineRecorder) {
			a, _ := startWithServer(t, d.recording(hashResponder))
			requestDuringStall(t, a, timedRequest(timeoutMs, strings.Repeat("x", 2*message.MaxBufferedBody)))
			d.want(t, left)
		},
		"retries": func(t *testing.T, d *deadlineRecorder) {
			slow := d.recording(func(c net.Conn, req *http.Request, n int) bool {
				time.Sleep(testDelay)
				return respondOverloaded(c, req, n)
			})
			first, second := agenttest.NewServer(t, slow), agenttest.NewServer(t, slow)
			a := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr), agenttest.Endpoint("s-2", second.Addr)), nil)
			c := a.dialKept()
			fmt.Fprint(c, timedRequest(timeoutMs, "x"))
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 503)
			// The third attempt goes back to one of the two: there are no others.
			d.mu.Lock()
			attempts := len(d.told)
			d.mu.Unlock()
			if attempts < 2 {
				t.Fatalf("%d attempts, want a retry", attempts)
			}
			var lefts []int
			for i := range attempts {
				lefts = append(lefts, timeoutMs-i*int(testDelay/time.Millisecond))
			}
			d.want(t, lefts...)
		},
		"late connect": func(t *testing.T, d *deadlineRecorder) {
			ln := fullListener(t)
			a := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), func(c *config.Config) {
				c.Settings.Limits.ConnectTimeoutMs = 10_000
			})
			c := a.dialKept()
			fmt.Fprint(c, timedRequest(timeoutMs, "x"))
			agenttest.WaitUntil(t, "the connect is under way", func() bool { return a.agent.pool.ConnectCount() == 1 })
			time.Sleep(testDelay)
			go (&agenttest.Server{T: t, Ln: ln, Answer: d.recording(agenttest.RespondOK), Ended: make(chan struct{}, 10)}).Accept()
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
			d.want(t, left)
		},
		"broken kept connection": func(t *testing.T, d *deadlineRecorder) {
			b := agenttest.NewServer(t, d.recording(agenttest.RespondOK))
			a, broken := startWithBlockedConn(t, b)
			d.forget()
			c := a.dialKept()
			fmt.Fprint(c, timedRequest(timeoutMs, "x"))
			<-broken.writing
			time.Sleep(testDelay)
			close(broken.proceed)
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
			d.want(t, left)
		},
		"queued": func(t *testing.T, d *deadlineRecorder) {
			m := queuedBehind(t, d.recording(agenttest.RespondOK))
			d.forget()
			c := m.agent.dialKept()
			fmt.Fprint(c, timedRequest(timeoutMs, "x"))
			agenttest.WaitUntil(t, "it waits", m.reached)
			time.Sleep(testDelay)
			m.proceed()
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
			d.mu.Lock()
			d.told = d.told[len(d.told)-1:]
			d.mu.Unlock()
			d.want(t, left)
		},
		"body that comes late": func(t *testing.T, d *deadlineRecorder) {
			a, _ := startWithServer(t, d.recording(agenttest.RespondOK))
			c := a.dialKept()
			text := timedRequest(timeoutMs, "xy")
			fmt.Fprint(c, text[:len(text)-1])
			time.Sleep(testDelay)
			fmt.Fprint(c, text[len(text)-1:])
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
			d.want(t, timeoutMs) // the time counts from the last byte
		},
		"long upload": func(t *testing.T, d *deadlineRecorder) {
			a, _ := startWithServer(t, d.recording(hashResponder))
			c := a.dialKept()
			text := timedRequest(timeoutMs, strings.Repeat("x", 4*message.MaxBufferedBody))
			for _, part := range []string{text[:2*message.MaxBufferedBody], text[2*message.MaxBufferedBody : 3*message.MaxBufferedBody], text[3*message.MaxBufferedBody:]} {
				fmt.Fprint(c, part)
				time.Sleep(testDelay)
			}
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
			d.want(t, timeoutMs)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			test(t, &deadlineRecorder{})
		})
	}
}

// requestDuringStall sends a request while the loop does not run, for testDelay after the request was read.
func requestDuringStall(t *testing.T, a *testAgent, text string) {
	t.Helper()
	release := a.blockLoop()
	c := a.dialKept()
	fmt.Fprint(c, text)
	agenttest.WaitUntil(t, "the loop is to take the request", func() bool { return a.agent.loop.Backlog() > 0 })
	time.Sleep(testDelay)
	release()
	agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
}

// With hardly any time left a request has its response, and gives no server more time than that.
func TestRequestsWithShortTimeoutsAreAnswered(t *testing.T) {
	d := &deadlineRecorder{}
	a, _ := startWithServer(t, d.recording(agenttest.RespondOK))
	for _, timeout := range []int{1, 2, 3, 4, 5, 8, 12} {
		c := a.dialKept()
		fmt.Fprint(c, timedRequest(timeout, "x"))
		if status := agenttest.FinalStatus(t, c); status != 200 && status != 502 && status != 503 && status != 504 {
			t.Errorf("%d ms: answered %d", timeout, status)
		}
		d.mu.Lock()
		for _, told := range d.told {
			if told > timeout {
				t.Errorf("%d ms: told %d", timeout, told)
			}
		}
		d.told = nil
		d.mu.Unlock()
	}
	if f := a.metricsNow(); f.Violations > 0 {
		t.Errorf("the module sent attempts that have no time: figures %+v", f)
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
			d := &deadlineRecorder{}
			a, _ := startWithServer(t, d.recording(agenttest.RespondOK))
			release := takeAllSlots(t, a)
			a.dialKept() // takes the slot that Accept holds already
			agenttest.WaitUntil(t, "the last slot is taken", func() bool { return a.agent.downstream.OpenConns() > 0 })
			c := a.dialKept()
			fmt.Fprint(c, timedRequest(test.timeoutMs, "x"))
			time.Sleep(testDelay)
			release()
			agenttest.WantStatus(t, agenttest.FinalStatus(t, c), test.status)
			d.want(t, test.told...)
		})
	}
}

// A request that arrives only once its connection has been accepted has its whole time, however long the
// connection waited.
func TestTimeInTheAcceptQueueIsNotTheNextRequests(t *testing.T) {
	t.Parallel()
	a, _ := startWithServer(t, agenttest.RespondOK)
	release := takeAllSlots(t, a)
	a.dialKept()
	agenttest.WaitUntil(t, "the last slot is taken", func() bool { return a.agent.downstream.OpenConns() > 0 })
	const timeout = 2 * time.Second
	c := a.dialKept()
	time.Sleep(timeout)
	release()
	agenttest.WaitUntil(t, "it is accepted", func() bool { return a.agent.downstream.OpenConns() > 1 })
	for range 2 {
		fmt.Fprint(c, timedRequest(int(timeout.Milliseconds()), "x"))
		agenttest.WantStatus(t, agenttest.FinalStatus(t, c), 200)
	}
}
