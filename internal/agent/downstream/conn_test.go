package downstream

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
)

// drainSweepPeriod is how often a test tries to close an idle connection, as a draining server does.
const drainSweepPeriod = 20 * time.Millisecond

// readBufferSize is longer than any text that a test sends at once.
const readBufferSize = 10

// clientPair returns the client's and the agent's end of a connection.
func clientPair(t *testing.T) (client net.Conn, conn *clientConn) {
	t.Helper()
	ln := agenttest.Listen(t)
	defer func() { _ = ln.Close() }()
	var dialer net.Dialer
	client, err := dialer.DialContext(t.Context(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	accepted, err := newClientListener(ln, message.NewQuota(8)).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return client, accepted.(*clientConn)
}

func send(t *testing.T, client net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
}

// sendAfter writes to a connection after a delay. It ignores a failed write, because the read of these bytes then fails
// too.
func sendAfter(delay time.Duration, client net.Conn, text string) {
	time.AfterFunc(delay, func() { _, _ = io.WriteString(client, text) })
}

// waitForBytes waits until unread bytes have arrived.
func waitForBytes(t *testing.T, conn *clientConn) {
	t.Helper()
	agenttest.WaitUntil(t, "bytes have arrived", func() bool {
		return socket.IsReadable(conn.Conn)
	})
}

func setReadDeadline(t *testing.T, conn net.Conn, deadline time.Time) {
	t.Helper()
	if err := conn.SetReadDeadline(deadline); err != nil {
		t.Fatal(err)
	}
}

// wantRead checks what the next read returns.
func wantRead(t *testing.T, conn net.Conn, want string) {
	t.Helper()
	buffer := make([]byte, readBufferSize)
	if n, err := conn.Read(buffer); string(buffer[:n]) != want || err != nil {
		t.Fatalf("read %q and error %v, want %q", buffer[:n], err, want)
	}
}

// wantReadTimeout checks that the next read fails because of its deadline.
func wantReadTimeout(t *testing.T, conn net.Conn) {
	t.Helper()
	n, err := conn.Read(make([]byte, readBufferSize))
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes and error %v, want a timeout", n, err)
	}
}

// closeWhenIdle must not change the deadline of the reader, whether it is called before or after SetReadDeadline and
// however often: otherwise a request that has begun would be cut off or kept open for too long.
func TestCloseWhenIdleKeepsTheReadersDeadline(t *testing.T) {
	t.Run("a request in progress is not cut off", func(t *testing.T) {
		client, conn := clientPair(t)
		setReadDeadline(t, conn, time.Time{})
		conn.closeWhenIdle()
		conn.requestBegun.Store(true) // the head arrived in the meantime
		sendAfter(requestHeadTimeout+200*time.Millisecond, client, "x")
		wantRead(t, conn, "x")
	})
	t.Run("half a head is not kept open", func(t *testing.T) {
		client, conn := clientPair(t)
		send(t, client, "GET")
		setReadDeadline(t, conn, time.Now().Add(300*time.Millisecond))
		wantRead(t, conn, "GET")
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, readBufferSize))
			ended <- err
		}()
		timeout := time.After(agenttest.Timeout)
		for {
			select {
			case err := <-ended:
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("read ended with %v, want a timeout", err)
				}
				return
			case <-time.After(drainSweepPeriod):
				conn.closeWhenIdle()
			case <-timeout:
				t.Fatal("connection with half a head is still open during a drain")
			}
		}
	})
	t.Run("a later deadline does not keep a connection open", func(t *testing.T) {
		_, conn := clientPair(t)
		conn.closeWhenIdle()
		setReadDeadline(t, conn, time.Now().Add(time.Hour)) // as the server does when a connection becomes idle
		wantReadTimeout(t, conn)
	})
}

// Bytes that arrive before the reader's deadline are read even if the process is delayed and checks only after it.
// Otherwise the connection would be closed and a request that came in time would be lost.
func TestBytesBeforeTheDeadlineAreRead(t *testing.T) {
	const (
		deadline     = 50 * time.Millisecond
		processDelay = 2 * deadline // until the reader checks, after the deadline
	)
	t.Run("a first request", func(t *testing.T) {
		client, conn := clientPair(t)
		setReadDeadline(t, conn, time.Now().Add(deadline))
		send(t, client, "GET")
		waitForBytes(t, conn)
		time.Sleep(processDelay)
		wantRead(t, conn, "GET")
	})
	t.Run("once only", func(t *testing.T) {
		client, conn := clientPair(t)
		setReadDeadline(t, conn, time.Now().Add(deadline))
		time.Sleep(processDelay)
		send(t, client, "x")
		waitForBytes(t, conn)
		wantRead(t, conn, "x")
		send(t, client, "x")
		waitForBytes(t, conn)
		wantReadTimeout(t, conn)
	})
	t.Run("not under a deadline that was past", func(t *testing.T) {
		client, conn := clientPair(t)
		send(t, client, "x")
		waitForBytes(t, conn)
		setReadDeadline(t, conn, time.Now().Add(-deadline))
		wantReadTimeout(t, conn)
	})
	t.Run("nothing arrived", func(t *testing.T) {
		_, conn := clientPair(t)
		setReadDeadline(t, conn, time.Now().Add(deadline))
		wantReadTimeout(t, conn)
	})
}

func TestSmallWritesToClientsAreNotDelayed(t *testing.T) {
	if _, conn := clientPair(t); !agenttest.HasNoDelay(t, conn.Conn) {
		t.Error("small writes to clients are delayed")
	}
}
