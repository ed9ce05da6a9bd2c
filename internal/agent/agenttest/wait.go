package agenttest

import (
	"strings"
	"testing"
	"time"
)

// Timeout bounds every wait in the tests. It is longer than any of them should take.
const Timeout = 20 * time.Second

// MaxBufferedLines is the number of log lines that are buffered for a test.
const MaxBufferedLines = 1000

// eventBuffer is the number of events of one kind that are buffered for a test.
const eventBuffer = 1000

// pollInterval is how often a wait checks its condition.
const pollInterval = time.Millisecond

// MaxNotifyDelay is the time within which the agent must know a change of the endpoint list if it can reach the
// discovery service.
const MaxNotifyDelay = 6 * time.Second

// WaitUntil waits until condition returns true.
func WaitUntil(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatal("timed out waiting for: ", what)
		}
	}
}

// LineWriter is an io.Writer that sends each line to its channel. It drops lines while the buffer is full.
type LineWriter chan string

// Write sends a line. It never returns an error.
func (w LineWriter) Write(line []byte) (int, error) {
	select {
	case w <- string(line):
	default:
	}
	return len(line), nil
}

// WaitLine waits for a line that contains text and returns it.
func WaitLine(t *testing.T, lines <-chan string, text string) string {
	t.Helper()
	timeout := time.After(Timeout)
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			t.Fatalf("no line contains %q", text)
		}
	}
}

// WantStatus checks the status code of a response.
func WantStatus(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
