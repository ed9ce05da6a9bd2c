package membership

import (
	"bytes"
	"log"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst are the rate limit of log lines.
	logLinesPerSecond = 2
	logBurst          = 20
	// maxLogTextBytes bounds the text of a log line of memberlist.
	maxLogTextBytes = 200
)

// logger limits the rate of log lines and counts those that it drops. memberlist logs through std.
type logger struct {
	out     *slog.Logger
	limit   *rate.Limiter
	dropped atomic.Uint64
}

func newLogger(out *slog.Logger) *logger {
	return &logger{out: out, limit: rate.NewLimiter(logLinesPerSecond, logBurst)}
}

// Info logs at level info, subject to the rate limit.
func (l *logger) Info(text string, args ...any) {
	if l.allow() {
		l.out.Info(text, args...)
	}
}

// Warn logs at level warn, subject to the rate limit.
func (l *logger) Warn(text string, args ...any) {
	if l.allow() {
		l.out.Warn(text, args...)
	}
}

// allow reports whether the rate limit allows one more line, and counts the line as dropped if not.
func (l *logger) allow() bool {
	if l.limit.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// std returns a logger for memberlist, which writes the level in brackets before the text.
func (l *logger) std() *log.Logger { return log.New(l, "", 0) }

// Write logs one line of memberlist; debug lines are discarded.
func (l *logger) Write(line []byte) (int, error) {
	level, text := splitLevel(bytes.TrimSpace(line))
	excerpt := string(text[:min(len(text), maxLogTextBytes)])
	switch {
	case level >= slog.LevelWarn:
		l.Warn("membership", "text", excerpt)
	case level >= slog.LevelInfo:
		l.Info("membership", "text", excerpt)
	}
	return len(line), nil
}

// splitLevel splits a log line of memberlist, such as "[WARN] memberlist: ...", into level and text.
func splitLevel(line []byte) (slog.Level, []byte) {
	end := bytes.IndexByte(line, ']')
	if end <= 0 || line[0] != '[' {
		return slog.LevelInfo, line
	}
	text := bytes.TrimSpace(line[end+1:])
	switch string(line[1:end]) {
	case "DEBUG":
		return slog.LevelDebug, text
	case "WARN", "ERR", "ERROR":
		return slog.LevelWarn, text
	default:
		return slog.LevelInfo, text
	}
}
