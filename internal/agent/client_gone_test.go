package agent

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// blockLoop stops the loop until the returned function is called.
func (a *testAgent) blockLoop() (release func()) {
	blocked, held := make(chan struct{}), make(chan struct{})
	a.agent.loop.Post(func() { close(held); <-blocked })
	<-held
	return func() { close(blocked) }
}

// wantNoneOpen waits until the server knows that all clients' connections have ended.
func (a *testAgent) wantNoneOpen(t *testing.T) {
	t.Helper()
	agenttest.WaitUntil(t, "all clients' connections are closed", func() bool { return a.agent.downstream.OpenConns() == 0 })
}

// A client's close and an event that would have its request sent again cross on the way to the loop. The
// client closed first, so nothing is sent, whichever the loop takes first.
func TestNoRetryOnceTheClientHasClosed(t *testing.T) {
	arrived, answer := make(chan struct{}, 10), make(chan struct{})
	turnsAway := func(c net.Conn, req *http.Request, _ int) bool {
		arrived <- struct{}{}
		<-answer
		return agenttest.SendResponse(c, 503, "Not-Started: 1\r\n", "")
	}
	first, second := agenttest.NewServer(t, turnsAway), agenttest.NewServer(t, turnsAway)
	a := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr), agenttest.Endpoint("s-2", second.Addr)), nil)
	c := a.dialKept()
	fmt.Fprint(c, agenttest.RequestText(1, 4000))
	<-arrived
	release := a.blockLoop()
	close(answer)
	agenttest.WaitUntil(t, "the loop is to take the attempt's end", func() bool { return a.agent.loop.Backlog() > 0 })
	a.agent.loop.Post(func() { // time for an attempt to begin before the loop takes the leaving
		select {
		case <-arrived:
		case <-time.After(200 * time.Millisecond):
		}
	})
	c.Close()
	agenttest.WaitUntil(t, "the loop is to take the client's leaving", func() bool { return a.agent.loop.Backlog() > 2 })
	release()
	a.wantNoneOpen(t)
	f := a.metricsNow()
	if n := first.Count() + second.Count(); n != 1 || f.ClientsGone != 1 || f.Violations > 0 {
		t.Errorf("%d attempts, want 1; figures %+v", n, f)
	}
}

// fullListener listens with a queue that is full, so that connections are established only once it has space.
func fullListener(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return ln
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the queue does not fill")
	return nil
}

// A connection that is established after its client has closed carries nothing, also while the loop does not
// know of the close.
func TestLateConnectionCarriesNothingOnceTheClientHasClosed(t *testing.T) {
	t.Parallel()
	ln := fullListener(t)
	a := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), func(c *config.Config) {
		c.Settings.Limits.ConnectTimeoutMs = 10_000
	})
	c := a.dialKept()
	fmt.Fprint(c, agenttest.RequestText(1, 20000))
	agenttest.WaitUntil(t, "the connect is under way", func() bool { return a.agent.pool.ConnectCount() == 1 })
	release := a.blockLoop()
	defer release()
	c.Close()
	a.wantNoneOpen(t)
	// Space in the queue: a connect that continues is established with its next SYN, in a second.
	over := time.AfterFunc(2500*time.Millisecond, func() { ln.Close() })
	defer over.Stop()
	for {
		nc, err := ln.Accept()
		if err != nil {
			break
		}
		go func() {
			defer nc.Close()
			head := make([]byte, 1000)
			_ = nc.SetReadDeadline(time.Now().Add(agenttest.Timeout))
			if n, _ := nc.Read(head); n > 0 {
				t.Errorf("sent on: %q", head[:n])
			}
		}()
	}
}

// A client may have sent more before it closes: a byte behind its request, or a body that is not read while
// the request is queued. It has closed all the same. (All of it fits into what the system buffers unread: the
// end of a connection can't be seen before what precedes it.)
func TestQueuedRequestIsNotSentOnceItsClientHasClosed(t *testing.T) {
	for name, text := range map[string]string{
		"nothing more":   agenttest.RequestText(9, 30000),
		"a further byte": agenttest.RequestText(9, 30000),
		"many more bytes": agenttest.RequestText(9, 30000) +
			strings.Repeat("X", 30_000),
		"half a long body": "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 9\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 30000\r\n" +
			"Content-Length: 400000\r\n\r\n" + strings.Repeat("X", message.MaxBufferedBody+20_000),
		"a whole long body": "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 9\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 30000\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n", message.MaxBufferedBody+20_000) + strings.Repeat("X", message.MaxBufferedBody+20_000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := make(chan struct{})
			a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
				if n < 8 {
					<-answer
				}
				return agenttest.RespondOK(c, req, n)
			})
			for range 8 { // all that a lone agent has out at an unmeasured server
				c := a.dialKept()
				fmt.Fprint(c, agenttest.RequestText(1, 30000))
			}
			agenttest.WaitUntil(t, "eight are at work", func() bool { return b.Count() == 8 })
			c := a.dialKept()
			fmt.Fprint(c, text)
			agenttest.WaitUntil(t, "the ninth waits", func() bool {
				return a.statsNow().Policy.Queued == 1
			})
			if name == "a further byte" {
				fmt.Fprint(c, "X")
				time.Sleep(50 * time.Millisecond) // so that it is read by itself, as a rule
			}
			c.Close()
			time.Sleep(50 * time.Millisecond) // its FIN or reset is there long before
			close(answer)
			agenttest.WaitUntil(t, "it is over", func() bool { f := a.metricsNow(); return f.Failed+f.ClientsGone == 1 && f.Served == 8 })
			if b.StartedCount() != 8 {
				t.Error("a request was sent on whose client had left")
			}
		})
	}
}
