package dispatch

import (
	"context"
	"log/slog"

	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst bound the lines that limited writes.
	logLinesPerSecond, logBurst = 5, 50
	// logBufferSize is the number of lines that may wait for their writer.
	logBufferSize = 64
)

// lineLogger writes the lines of the event loop in a goroutine of its own: a log that nobody reads blocks its
// writer, and with it every request. Its methods belong to the loop, except for write.
type lineLogger struct {
	logger  *slog.Logger
	limit   *rate.Limiter // bounds the work of logging, which shares one core with the requests
	lines   chan func(context.Context)
	dropped int // lines that were not written
}

func newLineLogger(logger *slog.Logger) *lineLogger {
	return &lineLogger{
		logger: logger,
		limit:  rate.NewLimiter(logLinesPerSecond, logBurst),
		lines:  make(chan func(context.Context), logBufferSize),
	}
}

// allow bounds the lines per second and counts those that the bound drops.
func (l *lineLogger) allow() bool {
	if l.limit.Allow() {
		return true
	}
	l.dropped++
	return false
}

// limited writes a line unless the bound of lines per second drops it.
func (l *lineLogger) limited(level slog.Level, text string, args ...any) {
	if l.allow() {
		l.always(level, text, args...)
	}
}

// always writes a line whatever the bound; it is dropped where the buffer is full.
func (l *lineLogger) always(level slog.Level, text string, args ...any) {
	select {
	case l.lines <- func(ctx context.Context) { l.logger.Log(ctx, level, text, args...) }:
	default:
		l.dropped++
	}
}

// write writes the lines until ctx ends.
func (l *lineLogger) write(ctx context.Context) {
	for {
		select {
		case line := <-l.lines:
			line(ctx)
		case <-ctx.Done():
			return
		}
	}
}
