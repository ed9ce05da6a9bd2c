package agenttest

import (
	"strings"
	"testing"
	"time"
)

// Timeout bounds every wait of the tests; none of them needs more than a part of it.
const Timeout = 20 * time.Second

// MaxTestLines is how many log lines may wait for a test.
const MaxTestLines = 1000

// eventBuffer is how many events of one kind may wait for a test.
const eventBuffer = 1000

// pollInterval is how often a condition that is waited for is checked.
const pollInterval = time.Millisecond

// NotifiedWithin is the time within which the agent has to know a change of a discovery that can be reached.
const NotifiedWithin = 6 * time.Second

// WaitUntil waits for a condition.
func WaitUntil(tb testing.TB, what string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			tb.Fatal("the wait timed out: ", what)
		}
	}
}

// LineWriter sends each line that is written; it drops those for which there is no space.
type LineWriter chan string

// Write sends a line; it never fails.
func (w LineWriter) Write(line []byte) (int, error) {
	select {
	case w <- string(line):
	default:
	}
	return len(line), nil
}

// WaitLine waits for a line that contains text.
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
			t.Fatalf("no line with %q", text)
		}
	}
}

// WantStatus checks the status of a response.
func WantStatus(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("got the status %d, want %d", got, want)
	}
}
