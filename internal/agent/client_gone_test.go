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
func (agent *testAgent) blockLoop() (release func()) {
	blocked, held := make(chan struct{}), make(chan struct{})
	agent.loop.Post(func() { close(held); <-blocked })
	<-held
	return func() { close(blocked) }
}

// wantNoneOpen waits until the server knows that all clients' connections have ended.
func (agent *testAgent) wantNoneOpen(t *testing.T) {
	t.Helper()
	agenttest.WaitUntil(t, "all clients' connections are closed", func() bool { return agent.downstream.OpenConns() == 0 })
}

// A client's close and an event that would have its request sent again cross on the way to the loop. The
// client closed first, so nothing is sent, whichever the loop takes first.
func TestNoRetryOnceTheClientHasClosed(t *testing.T) {
	arrived, answer := make(chan struct{}, 10), make(chan struct{})
	turnsAway := func(conn net.Conn, req *http.Request, _ int) bool {
		arrived <- struct{}{}
		<-answer
		return agenttest.SendResponse(conn, 503, "Not-Started: 1\r\n", "")
	}
	first, second := agenttest.NewServer(t, turnsAway), agenttest.NewServer(t, turnsAway)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", first.Addr), agenttest.Endpoint("s-2", second.Addr)), nil)
	client := agent.dialKept()
	fmt.Fprint(client, agenttest.RequestText(1, 4000))
	<-arrived
	release := agent.blockLoop()
	close(answer)
	agenttest.WaitUntil(t, "the loop is to take the attempt's end", func() bool { return agent.loop.Backlog() > 0 })
	agent.loop.Post(func() { // time for an attempt to begin before the loop takes the leaving
		select {
		case <-arrived:
		case <-time.After(200 * time.Millisecond):
		}
	})
	client.Close()
	agenttest.WaitUntil(t, "the loop is to take the client's leaving", func() bool { return agent.loop.Backlog() > 2 })
	release()
	agent.wantNoneOpen(t)
	metrics := agent.metricsNow()
	if n := first.Count() + second.Count(); n != 1 || metrics.ClientsGone != 1 || metrics.Violations > 0 {
		t.Errorf("%d attempts, want 1; figures %+v", n, metrics)
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
		conn, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err != nil {
			return ln
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("the queue does not fill")
	return nil
}

// A connection that is established after its client has closed carries nothing, also while the loop does not
// know of the close.
func TestLateConnectionCarriesNothingOnceTheClientHasClosed(t *testing.T) {
	t.Parallel()
	ln := fullListener(t)
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", ln.Addr().String())), func(cfg *config.Config) {
		cfg.Settings.Limits.ConnectTimeoutMs = 10_000
	})
	client := agent.dialKept()
	fmt.Fprint(client, agenttest.RequestText(1, 20000))
	agenttest.WaitUntil(t, "the connect is under way", func() bool { return agent.pool.ConnectCount() == 1 })
	release := agent.blockLoop()
	defer release()
	client.Close()
	agent.wantNoneOpen(t)
	// Space in the queue: a connect that continues is established with its next SYN, in a second.
	over := time.AfterFunc(2500*time.Millisecond, func() { ln.Close() })
	defer over.Stop()
	for {
		conn, err := ln.Accept()
		if err != nil {
			break
		}
		go func() {
			defer conn.Close()
			head := make([]byte, 1000)
			_ = conn.SetReadDeadline(time.Now().Add(agenttest.Timeout))
			if n, _ := conn.Read(head); n > 0 {
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
			agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
				if n < 8 {
					<-answer
				}
				return agenttest.RespondOK(conn, req, n)
			})
			for range 8 { // all that a lone agent has out at an unmeasured server
				client := agent.dialKept()
				fmt.Fprint(client, agenttest.RequestText(1, 30000))
			}
			agenttest.WaitUntil(t, "eight are at work", func() bool { return server.Count() == 8 })
			client := agent.dialKept()
			fmt.Fprint(client, text)
			agenttest.WaitUntil(t, "the ninth waits", func() bool {
				return agent.statsNow().Policy.Queued == 1
			})
			if name == "a further byte" {
				fmt.Fprint(client, "X")
				time.Sleep(50 * time.Millisecond) // so that it is read by itself, as a rule
			}
			client.Close()
			time.Sleep(50 * time.Millisecond) // its FIN or reset is there long before
			close(answer)
			agenttest.WaitUntil(t, "it is over", func() bool {
				metrics := agent.metricsNow()
				return metrics.Failed+metrics.ClientsGone == 1 && metrics.Served == 8
			})
			if server.StartedCount() != 8 {
				t.Error("a request was sent on whose client had left")
			}
		})
	}
}
