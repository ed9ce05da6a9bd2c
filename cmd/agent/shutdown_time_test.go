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
	// acceptTime is how long clients are accepted and idle connections stay open.
	acceptTime = 500 * time.Millisecond
	// admitTime is how long requests are admitted.
	admitTime = 600 * time.Millisecond
	// responseWriteTime and the longest timeout of a class, but maxCountedTimeout at most, follow acceptTime until
	// all requests have their response and all connections are closed.
	responseWriteTime = 50 * time.Millisecond
	maxCountedTimeout = 3 * time.Second
)

const (
	// schedulingMargin is how late a busy machine may run the program and the test. It is shorter than each of the
	// times above that it is added to, so that one which is doubled is noticed.
	schedulingMargin = 400 * time.Millisecond
	// connectInterval is how often a client tries to connect to a program that shuts down.
	connectInterval = 10 * time.Millisecond
)

// shutdown is a program that shuts down, with a server that does not answer requests to longPath until release is
// called.
type shutdown struct {
	program *program
	addr    string
	release context.CancelFunc
	term    time.Time // just before the signal
}

// startForShutdown starts a program whose requests have a timeout.
func startForShutdown(t *testing.T, timeout time.Duration) *shutdown {
	t.Helper()
	released, release := context.WithCancel(context.Background())
	server := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == longPath {
			select {
			case <-released.Done():
			case <-r.Context().Done():
			}
		}
		writeBody(w, "done")
	})
	t.Cleanup(release) // before the server's end, which waits for its requests
	config := newConfig(silentDiscovery(t), listedServer("s-1", server))
	class := &config.Settings.Classes[0]
	class.TotalTimeoutMs = float64(timeout.Milliseconds())
	class.LatencyObjectiveMs = class.TotalTimeoutMs / 2
	s := &shutdown{program: newProgram(t, config.text(t)), release: release}
	s.addr, _ = s.program.startListening(t)
	s.program.collectLog()
	return s
}

// begin sends the signal.
func (s *shutdown) begin(t *testing.T) {
	t.Helper()
	s.term = time.Now()
	s.program.signal(t, syscall.SIGTERM)
}

// waitUntil waits until the shutdown has taken a time, after which the test's client does something.
func (s *shutdown) waitUntil(elapsed time.Duration) { sleepUntil(s.term.Add(elapsed)) }

// expectWithin fails the test if the shutdown has taken more than a time and schedulingMargin.
func (s *shutdown) expectWithin(t *testing.T, within time.Duration, event string) {
	t.Helper()
	if elapsed := time.Since(s.term); elapsed > within+schedulingMargin {
		t.Errorf("%s %v after the signal, want %v at most and a margin of %v", event, elapsed, within, schedulingMargin)
	}
}

// dial opens a client connection that ends with the test.
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
		t.Fatalf("before the shutdown the response is %+v", got)
	}
	return conn
}

// dialUnanswered opens a client connection with a request that the server does not answer until it is released.
func (s *shutdown) dialUnanswered(t *testing.T, timeout time.Duration) *clientConn {
	t.Helper()
	conn := s.dial(t)
	if err := conn.write(t.Context(), order{path: longPath, timeout: timeout}); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitRefusal connects until the program refuses a connection.
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

// awaitClose reads until the program closes a connection on which nothing is to be answered.
func (c *clientConn) awaitClose(t *testing.T) {
	t.Helper()
	if unexpected, err := io.ReadAll(c.reader); err != nil || len(unexpected) > 0 {
		t.Errorf("a silent connection ended with %q, %v", unexpected, err)
	}
}

// incompleteOrder is a request of which the last byte has not been sent.
type incompleteOrder struct {
	conn *clientConn
	rest []byte
}

// writeIncomplete sends an order without its last byte.
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

// TestShutdownStopsAcceptingInTime: while a request is open, a connection that a client keeps is closed and one that a
// client opens later is refused, both by acceptTime. The open request still gets its response.
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

// TestShutdownRejectsRequestsCompletedAfterAdmitTime: a request that is complete only after admitTime is rejected,
// although the server would answer it, on a connection that a client has kept and on one opened after the signal.
func TestShutdownRejectsRequestsCompletedAfterAdmitTime(t *testing.T) {
	s := startForShutdown(t, trafficTimeout)
	incomplete := order{path: orderPath, timeout: trafficTimeout}
	kept := s.dialServed(t).writeIncomplete(t, incomplete)
	s.begin(t)
	late := s.dial(t).writeIncomplete(t, incomplete)
	s.waitUntil(admitTime + schedulingMargin)
	if got := kept.complete(t); got.status != http.StatusServiceUnavailable {
		t.Errorf("on the kept connection the status is %d, want 503", got.status)
	}
	if got := late.complete(t); got.status != http.StatusServiceUnavailable {
		t.Errorf("on the late connection the status is %d, want 503", got.status)
	}
	s.program.expectCleanEnd(t)
}

// TestShutdownEndsInTime: a request whose server does not answer has a response, and a connection that a client opens
// after the signal without sending a request is closed, within acceptTime, the longest timeout that counts and
// responseWriteTime. The program ends then.
func TestShutdownEndsInTime(t *testing.T) {
	for _, test := range []struct {
		name             string
		timeout, counted time.Duration
	}{
		{"short timeout", shortDeadline, shortDeadline},
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
