package agent

import (
	"strings"
	"testing"
	"time"
)

// testTimeout bounds every wait of the tests; none of them needs more than a part of it.
const testTimeout = 20 * time.Second

// waitUntil waits for a condition.
func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never came about: ", what)
		}
	}
}

// lineWriter sends each line that is written; it drops those for which there is no space.
type lineWriter chan string

func (w lineWriter) Write(line []byte) (int, error) {
	select {
	case w <- string(line):
	default:
	}
	return len(line), nil
}

// waitLine waits for a line that contains text.
func waitLine(t *testing.T, lines <-chan string, text string) string {
	t.Helper()
	over := time.After(testTimeout)
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

func wantStatus(t *testing.T, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("answered %d, want %d", got, want)
	}
}

// maxTestLines is how many log lines may wait for a test.
const maxTestLines = 1000

// notifiedWithin is the time within which the agent has to know a change of a discovery that can be reached.
const notifiedWithin = 6 * time.Second
