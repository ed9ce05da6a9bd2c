package membership

import (
	"bytes"
	"log"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// logLinesPerSecond and logBurst bound the log lines.
	logLinesPerSecond = 2
	logBurst          = 20
	// maxLogTextBytes bounds the text of one of memberlist's lines.
	maxLogTextBytes = 200
)

// logger bounds the log lines and counts those that it drops. memberlist's own lines come through std.
type logger struct {
	out     *slog.Logger
	limit   *rate.Limiter
	dropped atomic.Uint64
}

func newLogger(out *slog.Logger) *logger {
	return &logger{out: out, limit: rate.NewLimiter(logLinesPerSecond, logBurst)}
}

// Info writes a line if the bound allows it.
func (l *logger) Info(text string, args ...any) {
	if l.allow() {
		l.out.Info(text, args...)
	}
}

// Warn writes a line if the bound allows it.
func (l *logger) Warn(text string, args ...any) {
	if l.allow() {
		l.out.Warn(text, args...)
	}
}

// allow tells whether the bound allows one more line, and counts the line as dropped if not.
func (l *logger) allow() bool {
	if l.limit.Allow() {
		return true
	}
	l.dropped.Add(1)
	return false
}

// std is the logger for memberlist, which writes its level in brackets before the text.
func (l *logger) std() *log.Logger { return log.New(l, "", 0) }

// Write takes one of memberlist's lines. Its debug lines are dropped.
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

// splitLevel splits a line of memberlist's, such as "[WARN] memberlist: ...", into level and text.
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
