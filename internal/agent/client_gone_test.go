package agent

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// blockLoop stops the loop until the returned function is called.
func (a *testAgent) blockLoop() (release func()) {
	blocked, held := make(chan struct{}), make(chan struct{})
	a.agent.loop.post(func() { close(held); <-blocked })
	<-held
	return func() { close(blocked) }
}

// wantNoneOpen waits until the server knows that all clients' connections have ended.
func (a *testAgent) wantNoneOpen(t *testing.T) {
	t.Helper()
	waitUntil(t, "all clients' connections are closed", func() bool { return a.agent.downstream.openConns() == 0 })
}

// A client's close and an event that would have its request sent again cross on the way to the loop. The
// client closed first, so nothing is sent, whichever the loop takes first.
func TestNoRetryOnceTheClientHasClosed(t *testing.T) {
	arrived, answer := make(chan struct{}, 10), make(chan struct{})
	turnsAway := func(c net.Conn, req *http.Request, _ int) bool {
		arrived <- struct{}{}
		<-answer
		return sendResponse(c, 503, "Not-Started: 1\r\n", "")
	}
	first, second := newFakeServer(t, turnsAway), newFakeServer(t, turnsAway)
	a := startAgent(t, newDiscoveryServer(t, target("s-1", first.addr), target("s-2", second.addr)), nil)
	c := a.dialKept()
	fmt.Fprint(c, readRequestText(1, 4000))
	<-arrived
	release := a.blockLoop()
	close(answer)
	waitUntil(t, "the loop is to take the attempt's end", func() bool { return len(a.agent.loop.inbox) > 0 })
	a.agent.loop.post(func() { // time for an attempt to begin before the loop takes the leaving
		select {
		case <-arrived:
		case <-time.After(200 * time.Millisecond):
		}
	})
	c.Close()
	waitUntil(t, "the loop is to take the client's leaving", func() bool { return len(a.agent.loop.inbox) > 2 })
	release()
	a.wantNoneOpen(t)
	f := a.metricsNow()
	if n := first.count() + second.count(); n != 1 || f.clientsGone != 1 || f.violations > 0 {
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
	a := startAgent(t, newDiscoveryServer(t, target("s-1", ln.Addr().String())), func(c *Config) {
		c.Settings.Limits.ConnectTimeoutMs = 10_000
	})
	c := a.dialKept()
	fmt.Fprint(c, readRequestText(1, 20000))
	waitUntil(t, "the connect is under way", func() bool { return a.agent.pool.connectCount() == 1 })
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
			_ = nc.SetReadDeadline(time.Now().Add(testTimeout))
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
		"nothing more":   readRequestText(9, 30000),
		"a further byte": readRequestText(9, 30000),
		"many more bytes": readRequestText(9, 30000) +
			strings.Repeat("X", 30_000),
		"half a long body": "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 9\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 30000\r\n" +
			"Content-Length: 400000\r\n\r\n" + strings.Repeat("X", maxBufferedBody+20_000),
		"a whole long body": "POST /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: 9\r\nRequest-Class: order\r\nRequest-Timeout-Ms: 30000\r\n" +
			fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBufferedBody+20_000) + strings.Repeat("X", maxBufferedBody+20_000),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := make(chan struct{})
			a, b := startWithServer(t, func(c net.Conn, req *http.Request, n int) bool {
				if n < 8 {
					<-answer
				}
				return respondOK(c, req, n)
			})
			for range 8 { // all that a lone agent has out at an unmeasured server
				c := a.dialKept()
				fmt.Fprint(c, readRequestText(1, 30000))
			}
			waitUntil(t, "eight are at work", func() bool { return b.count() == 8 })
			c := a.dialKept()
			fmt.Fprint(c, text)
			waitUntil(t, "the ninth waits", func() bool {
				return inLoop(a, func(l *eventLoop) int { return l.balancer.Stats().Queued }) == 1
			})
			if name == "a further byte" {
				fmt.Fprint(c, "X")
				time.Sleep(50 * time.Millisecond) // so that it is read by itself, as a rule
			}
			c.Close()
			time.Sleep(50 * time.Millisecond) // its FIN or reset is there long before
			close(answer)
			waitUntil(t, "it is over", func() bool { f := a.metricsNow(); return f.failed+f.clientsGone == 1 && f.served == 8 })
			if b.startedCount() != 8 {
				t.Error("a request was sent on whose client had left")
			}
		})
	}
}

// clientPair is a client's end of a connection and the agent's.
func clientPair(t *testing.T) (client net.Conn, c *clientConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	accepted, err := newClientListener(ln, newQuota(8)).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted.(*clientConn)
}

// Where connections are closed for others, a request that has arrived on the one chosen is not lost: it is
// read, and another connection is closed.
func TestClosingIdleConnectionsCrossesNoRequest(t *testing.T) {
	conns := newClientConns(4) // seven eighths, three, may be open
	var clients []net.Conn
	var servers []*clientConn
	for range 4 {
		client, c := clientPair(t)
		clients, servers = append(clients, client), append(servers, c)
	}
	fmt.Fprint(clients[0], "GET") // to the one that will have idled longest
	waitUntil(t, "it has arrived", func() bool { return !isIdleConnAlive(servers[0].Conn) })
	for _, c := range servers[:3] {
		conns.track(c, http.StateNew)
		conns.track(c, http.StateActive)
		conns.track(c, http.StateIdle)
	}
	conns.track(servers[3], http.StateNew) // with the fourth there are too many
	buf := make([]byte, 10)
	if n, err := servers[0].Read(buf); string(buf[:n]) != "GET" || err != nil {
		t.Fatalf("a request was crossed: read %q, %v", buf[:n], err)
	}
	conns.track(servers[0], http.StateActive)
	if _, err := servers[1].Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the next one did not make room: %v", err)
	}
	conns.track(servers[1], http.StateClosed)
	if conns.size() != 3 || conns.closing != 0 {
		t.Errorf("%d open, %d of them being ended", conns.size(), conns.closing)
	}
}

// What wakes a connection's reader to check leaves the reader's own deadline as it was, whichever of the two
// is set first, and however often it is woken: a request that has begun has the time that it had.
func TestCloseWhenIdleKeepsTheReadersDeadline(t *testing.T) {
	t.Run("a request under way is not cut short", func(t *testing.T) {
		client, c := clientPair(t)
		c.SetReadDeadline(time.Time{})
		c.closeWhenIdle()
		c.requestBegun.Store(true) // the head came as it was woken
		time.AfterFunc(requestHeadTimeout+200*time.Millisecond, func() { client.Write([]byte("x")) })
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Errorf("read %d, %v", n, err)
		}
	})
	t.Run("half a head is not kept open", func(t *testing.T) {
		client, c := clientPair(t)
		client.Write([]byte("GET"))
		c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		buf := make([]byte, 10)
		if _, err := c.Read(buf); err != nil {
			t.Fatal(err)
		}
		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(buf)
			ended <- err
		}()
		over := time.After(testTimeout)
		for {
			select {
			case err := <-ended:
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("ended with %v", err)
				}
				return
			case <-time.After(20 * time.Millisecond): // as the sweep of a draining server does
				c.closeWhenIdle()
			case <-over:
				t.Fatal("a peer that brings half a head stays while the front empties")
			}
		}
	})
	t.Run("a deadline set on one that is to leave does not keep it", func(t *testing.T) {
		_, c := clientPair(t)
		c.closeWhenIdle()
		c.SetReadDeadline(time.Now().Add(time.Hour)) // as the server does where one falls idle
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read %v", err)
		}
	})
}

// Requests that a client has sent ahead are in the server's buffer when its connection becomes idle: the
// sweep of a drain does not take them for a client that is idle.
func TestDrainingKeepsARequestThatWasReadAhead(t *testing.T) {
	client, c := clientPair(t)
	conns := newClientConns(8)
	conns.track(c, http.StateNew)
	conns.track(c, http.StateActive)
	conns.track(c, http.StateIdle)
	c.SetReadDeadline(time.Time{})
	c.closeWhenIdle()                // the sweep
	conns.track(c, http.StateActive) // by what was read ahead
	time.AfterFunc(50*time.Millisecond, func() { client.Write([]byte("x")) })
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Errorf("the wait for the client's leaving ended with %v, and it has not left", err)
	}
}

// What arrived before the reader's deadline is read, also where the process was delayed and checks only after
// it: closing would lose a request that came in time.
func TestBytesBeforeTheDeadlineAreRead(t *testing.T) {
	const deadline = 50 * time.Millisecond
	pair := func(t *testing.T) (net.Conn, *clientConn, []byte) {
		client, c := clientPair(t)
		return client, c, make([]byte, 10)
	}
	arrived := func(t *testing.T, c *clientConn) {
		waitUntil(t, "the bytes have arrived", func() bool { return pollSocket(c.Conn, unix.POLLIN, unix.POLLIN) })
	}
	t.Run("a first request", func(t *testing.T) {
		client, c, buf := pair(t)
		c.SetReadDeadline(time.Now().Add(deadline))
		fmt.Fprint(client, "GET")
		arrived(t, c)
		time.Sleep(2 * deadline) // delayed
		if n, err := c.Read(buf); string(buf[:n]) != "GET" || err != nil {
			t.Errorf("read %q, %v", buf[:n], err)
		}
	})
	t.Run("once only", func(t *testing.T) {
		client, c, buf := pair(t)
		c.SetReadDeadline(time.Now().Add(deadline))
		time.Sleep(2 * deadline)
		for i := range 2 {
			fmt.Fprint(client, "x")
			arrived(t, c)
			if _, err := c.Read(buf); (err == nil) != (i == 0) {
				t.Errorf("look %d after the deadline: %v", i+1, err)
			}
		}
	})
	t.Run("not under a deadline that was past", func(t *testing.T) {
		client, c, buf := pair(t)
		fmt.Fprint(client, "x")
		arrived(t, c)
		c.SetReadDeadline(time.Now().Add(-deadline))
		if _, err := c.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read %v", err)
		}
	})
	t.Run("nothing came", func(t *testing.T) {
		_, c, buf := pair(t)
		c.SetReadDeadline(time.Now().Add(deadline))
		if _, err := c.Read(buf); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("read %v", err)
		}
	})
}
