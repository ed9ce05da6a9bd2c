package dispatch

import (
	"context"
	"log/slog"

	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst are the rate limit of logLimited.
	logLinesPerSecond, logBurst = 5, 50
	// logBufferSize is the number of lines that may wait to be written.
	logBufferSize = 64
	// maxLoggedText is the greatest size of a text in a line, in bytes. Clients choose the ids of their requests.
	maxLoggedText = 2 << 10
)

// asyncLogger writes the event loop's log lines in a separate goroutine, because a log that nobody reads would
// otherwise block the loop and with it every request. All methods except run must be called from the loop.
type asyncLogger struct {
	logger  *slog.Logger
	limit   *rate.Limiter // bounds the CPU time of logging, which shares one core with the requests
	lines   chan func(context.Context)
	dropped int // lines dropped by the rate limit or a full buffer
}

func newAsyncLogger(logger *slog.Logger) *asyncLogger {
	return &asyncLogger{
		logger: logger,
		limit:  rate.NewLimiter(logLinesPerSecond, logBurst),
		lines:  make(chan func(context.Context), logBufferSize),
	}
}

// allow reports whether the rate limit permits another line, and counts the line as dropped if not.
func (l *asyncLogger) allow() bool {
	if l.limit.Allow() {
		return true
	}
	l.dropped++
	return false
}

// logLimited logs a line unless the rate limit is exceeded.
func (l *asyncLogger) logLimited(level slog.Level, text string, args ...any) {
	if l.allow() {
		l.log(level, text, args...)
	}
}

// log logs a line without a rate limit. The line is dropped if the buffer is full.
func (l *asyncLogger) log(level slog.Level, text string, args ...any) {
	shortenTexts(args)
	select {
	case l.lines <- func(ctx context.Context) { l.logger.Log(ctx, level, text, args...) }:
	default:
		l.dropped++
	}
}

// shortenTexts cuts off texts that are longer than maxLoggedText, so that a line that waits does not hold them.
func shortenTexts(args []any) {
	for i, arg := range args {
		if long, ok := arg.(string); ok && len(long) > maxLoggedText {
			args[i] = long[:maxLoggedText] + "..."
		}
	}
}

// run writes the buffered lines until ctx is done.
func (l *asyncLogger) run(ctx context.Context) {
	for {
		select {
		case line := <-l.lines:
			line(ctx)
		case <-ctx.Done():
			return
		}
	}
}
