package agenttest

import (
	"strings"
	"testing"
	"time"
)

// Timeout bounds every wait of the tests; none of them needs more than a part of it.
const Timeout = 20 * time.Second

// WaitUntil waits for a condition.
func WaitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came about: ", what)
		}
	}
}

// LineWriter sends each line that is written; it drops those for which there is no space.
type LineWriter chan string

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
	over := time.After(Timeout)
	for {
		select {
		case line := <-lines:
			if strings.Contains(line, text) {
				return line
			}
		case <-over:
			t.Fatalf("no line with %q", text)
		}
	}
}

func WantStatus(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("answered %d, want %d", got, want)
	}
}

// MaxTestLines is how many log lines may wait for a test.
const MaxTestLines = 1000

// NotifiedWithin is the time within which the agent has to know a change of a discovery that can be reached.
const NotifiedWithin = 6 * time.Second
