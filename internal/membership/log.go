package membership

import (
	"bytes"
	"context"
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
func (l *logger) Info(text string, args ...any) { l.write(slog.LevelInfo, text, args...) }

// Warn writes a line if the bound allows it.
func (l *logger) Warn(text string, args ...any) { l.write(slog.LevelWarn, text, args...) }

func (l *logger) write(level slog.Level, text string, args ...any) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	l.out.Log(context.Background(), level, text, args...)
}

// std is the logger for memberlist, which writes its level in brackets before the text.
func (l *logger) std() *log.Logger { return log.New(l, "", 0) }

// Write takes one of memberlist's lines. Its debug lines are dropped.
func (l *logger) Write(line []byte) (int, error) {
	level, text := splitLevel(bytes.TrimSpace(line))
	if level > slog.LevelDebug {
		l.write(level, "membership", "text", string(text[:min(len(text), maxLogTextBytes)]))
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
