package dispatch

import (
	"context"
	"log/slog"
	"strings"
	"testing"
)

// A line that waits to be written holds no long text of a client.
func TestLinesThatWaitHoldNoLongTexts(t *testing.T) {
	var written strings.Builder
	logger := newAsyncLogger(slog.New(slog.NewTextHandler(&written, nil)))
	logger.logLimited(slog.LevelInfo, "request failed", "id", strings.Repeat("x", 10*maxLoggedText), "open", 1)
	line := <-logger.lines
	line(context.Background())
	text := written.String()
	if len(text) > 2*maxLoggedText || !strings.Contains(text, "xxx... open=1") {
		t.Errorf("a line of %d bytes: %s", len(text), text)
	}
}
