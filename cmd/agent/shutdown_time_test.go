package main

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// The times of a shutdown, from the signal on (docs/ON-CALL.md, "Signals").
const (
	// acceptTime is how long connections are accepted and idle connections stay open.
	acceptTime = 500 * time.Millisecond
	// admitTime is how long requests are admitted.
	admitTime = 600 * time.Millisecond
	// All requests have a response and all connections are closed within the sum of acceptTime, responseWriteTime and
	// the longest timeout of a class, of which at most maxCountedTimeout counts.
	responseWriteTime = 50 * time.Millisecond
	maxCountedTimeout = 3 * time.Second
)

const (
	// schedulingMargin allows for delays of the program and the test on a busy machine. It is shorter than each of the
	// times above to which it is added, so that a test fails if one of them is doubled.
	schedulingMargin = 400 * time.Millisecond
	// connectInterval is how often a client tries to connect to a program that is shutting down.
	connectInterval = 10 * time.Millisecond
)

// shutdown is a program that is shut down, and a server that doesn't answer requests to longPath until release is
// called.
type shutdown struct {
	program *program
	addr    string
	release context.CancelFunc
	term    time.Time // when SIGTERM was sent
}

// startForShutdown starts a program whose settings have the given total timeout.
func startForShutdown(t *testing.T, timeout time.Duration) *shutdown {
	t.Helper()
	released, release := context.WithCancel(context.Background())
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == longPath {
			select {
			case <-released.Done():
			case <-r.Context().Done():
			}
		}
		writeBody(w, "done")
	})
	t.Cleanup(release) // runs before the server is closed, which waits for its requests
	config := newConfig(silentDiscovery(t), listedServer("s-1", server))
	class := &config.Settings.Classes[0]
	class.TotalTimeoutMs = float64(timeout.Milliseconds())
	class.LatencyObjectiveMs = class.TotalTimeoutMs / 2
	s := &shutdown{program: newProgram(t, config.text(t)), release: release}
	s.addr, _ = s.program.startListening(t)
	s.program.collectLog()
	return s
}

// begin sends SIGTERM to the program.
func (s *shutdown) begin(t *testing.T) {
	t.Helper()
	s.term = time.Now()
	s.program.signal(t, syscall.SIGTERM)
}

// waitUntil waits until the given time after the signal.
func (s *shutdown) waitUntil(elapsed time.Duration) { sleepUntil(s.term.Add(elapsed)) }

// expectWithin checks that at most the time within and schedulingMargin have passed since the signal.
func (s *shutdown) expectWithin(t *testing.T, within time.Duration, event string) {
	t.Helper()
	if elapsed := time.Since(s.term); elapsed > within+schedulingMargin {
		t.Errorf("%s %v after the signal, want at most %v plus a margin of %v", event, elapsed, within, schedulingMargin)
	}
}

// dial opens a client connection, which is closed when the test ends.
func (s *shutdown) dial(t *testing.T) *clientConn {
	t.Helper()
	conn, err := dialAgent(t.Context(), s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(conn.close)
	return conn
}

// dialServed opens a client connection on which a request has been served.
func (s *shutdown) dialServed(t *testing.T) *clientConn {
	t.Helper()
	conn := s.dial(t)
	got, err := conn.roundTrip(t.Context(), order{path: orderPath, timeout: trafficTimeout})
	if err != nil {
		t.Fatal(err)
	}
	if got.status != http.StatusOK || got.close {
		t.Fatalf("before the shutdown: response %+v, want status 200 on a connection that stays open", got)
	}
	return conn
}

// dialUnanswered opens a client connection and sends a request that the server doesn't answer until release is called.
func (s *shutdown) dialUnanswered(t *testing.T, timeout time.Duration) *clientConn {
	t.Helper()
	conn := s.dial(t)
	if err := conn.write(t.Context(), order{path: longPath, timeout: timeout}); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitRefusal opens connections until the program refuses one.
func (s *shutdown) awaitRefusal(t *testing.T) {
	t.Helper()
	for time.Since(s.term) < testTimeout {
		conn, err := dialAgent(t.Context(), s.addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		conn.close()
		time.Sleep(connectInterval)
	}
	t.Fatal("connections are still accepted")
}

// awaitClose waits until the agent closes the connection, and checks that it sends nothing before that.
func (c *clientConn) awaitClose(t *testing.T) {
	t.Helper()
	if unexpected, err := io.ReadAll(c.reader); err != nil || len(unexpected) > 0 {
		t.Errorf("connection ended with %q, %v; want no data and no error", unexpected, err)
	}
}

// incompleteOrder is a request whose last byte has not been sent.
type incompleteOrder struct {
	conn *clientConn
	rest []byte
}

// writeIncomplete sends the request o without its last byte.
func (c *clientConn) writeIncomplete(t *testing.T, o order) incompleteOrder {
	t.Helper()
	request, err := o.request(t.Context(), c.RemoteAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		t.Fatal(err)
	}
	last := text.Len() - 1
	if _, err := c.Write(text.Next(last)); err != nil {
		t.Fatal(err)
	}
	return incompleteOrder{conn: c, rest: text.Bytes()}
}

// complete sends the last byte and returns the response.
func (i incompleteOrder) complete(t *testing.T) response {
	t.Helper()
	if _, err := i.conn.Write(i.rest); err != nil {
		t.Fatal(err)
	}
	got, err := i.conn.read()
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// TestShutdownStopsAcceptingInTime checks that, while a request is open, an idle connection is closed and a new one is
// refused within acceptTime. The open request must still get its response.
func TestShutdownStopsAcceptingInTime(t *testing.T) {
	s := startForShutdown(t, trafficTimeout)
	kept := s.dialServed(t)
	unanswered := s.dialUnanswered(t, trafficTimeout)
	s.begin(t)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		kept.awaitClose(t)
		s.expectWithin(t, acceptTime, "an idle connection was closed")
	}()
	s.awaitRefusal(t)
	s.expectWithin(t, acceptTime, "a connection was refused")
	<-closed
	s.release()
	if got, err := unanswered.read(); err != nil || got.status != http.StatusOK {
		t.Errorf("the open request got %+v, %v", got, err)
	}
	s.program.expectCleanEnd(t)
}

// TestShutdownRejectsRequestsCompletedAfterAdmitTime checks that a request which is complete only after admitTime is
// rejected, even though the server would answer it, both on a connection from before the signal and on one opened after
// it.
func TestShutdownRejectsRequestsCompletedAfterAdmitTime(t *testing.T) {
	s := startForShutdown(t, trafficTimeout)
	incomplete := order{path: orderPath, timeout: trafficTimeout}
	kept := s.dialServed(t).writeIncomplete(t, incomplete)
	s.begin(t)
	late := s.dial(t).writeIncomplete(t, incomplete)
	s.waitUntil(admitTime + schedulingMargin)
	if got := kept.complete(t); got.status != http.StatusServiceUnavailable {
		t.Errorf("connection opened before the signal: status %d, want 503", got.status)
	}
	if got := late.complete(t); got.status != http.StatusServiceUnavailable {
		t.Errorf("connection opened after the signal: status %d, want 503", got.status)
	}
	s.program.expectCleanEnd(t)
}

// TestShutdownEndsInTime checks that a request whose server doesn't answer gets a response, and that a connection
// opened after the signal without a request is closed, both within the sum of acceptTime, the longest timeout that
// counts and responseWriteTime. The program must then end.
func TestShutdownEndsInTime(t *testing.T) {
	for _, test := range []struct {
		name             string
		timeout, counted time.Duration
	}{
		{"short timeout", shortTimeout, shortTimeout},
		{"timeout that counts in part", 3 * maxCountedTimeout, maxCountedTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			drainTime := acceptTime + test.counted + responseWriteTime
			s := startForShutdown(t, test.timeout)
			unanswered := s.dialUnanswered(t, test.timeout)
			s.begin(t)
			silent := s.dial(t)
			if _, err := unanswered.read(); err != nil {
				t.Errorf("the open request: %v", err)
			}
			s.expectWithin(t, drainTime, "the open request had its response")
			silent.awaitClose(t)
			s.expectWithin(t, drainTime, "a connection without a request was closed")
			s.program.expectCleanEnd(t)
		})
	}
}
