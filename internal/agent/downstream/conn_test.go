package downstream

import (
	"errors"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
)

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
	accepted, err := newClientListener(ln, message.NewQuota(8)).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return client, accepted.(*clientConn)
}

// What wakes a connection's reader to check leaves the reader's own deadline as it was, whichever of the two
// is set first, and however often it is woken: a request that has begun has the time that it had.
func TestCloseWhenIdleKeepsTheReadersDeadline(t *testing.T) {
	t.Run("a request under way is not cut short", func(t *testing.T) {
		client, c := clientPair(t)
		c.SetReadDeadline(time.Time{})
		c.closeWhenIdle()
		c.requestBegun.Store(true) // the head came as it was woken
		time.AfterFunc(RequestHeadTimeout+200*time.Millisecond, func() { client.Write([]byte("x")) })
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
		over := time.After(agenttest.Timeout)
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

// What arrived before the reader's deadline is read, also where the process was delayed and checks only after
// it: closing would lose a request that came in time.
func TestBytesBeforeTheDeadlineAreRead(t *testing.T) {
	const deadline = 50 * time.Millisecond
	pair := func(t *testing.T) (net.Conn, *clientConn, []byte) {
		client, c := clientPair(t)
		return client, c, make([]byte, 10)
	}
	arrived := func(t *testing.T, c *clientConn) {
		agenttest.WaitUntil(t, "the bytes have arrived", func() bool { return socket.Poll(c.Conn, unix.POLLIN, unix.POLLIN) })
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

func TestSmallWritesToClientsAreNotDelayed(t *testing.T) {
	if _, conn := clientPair(t); !agenttest.HasNoDelay(t, conn.Conn) {
		t.Error("small writes to clients are held back")
	}
}
