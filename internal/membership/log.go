package membership

import (
	"bytes"
	"context"
	"log"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// logger bounds the fleet's log lines, 2 a second with 20 saved up, and counts what that
// leaves out. memberlist's own lines come through std.
type logger struct {
	*slog.Logger
	limit   *rate.Limiter
	dropped atomic.Uint64
}

func newLogger(to *slog.Logger) *logger {
	l := &logger{limit: rate.NewLimiter(2, 20)}
	l.Logger = to
	return l
}

// Info and Warn write a line if the bound allows it.
func (l *logger) Info(text string, args ...any) { l.write(slog.LevelInfo, text, args...) }
func (l *logger) Warn(text string, args ...any) { l.write(slog.LevelWarn, text, args...) }

func (l *logger) write(level slog.Level, text string, args ...any) {
	if !l.limit.Allow() {
		l.dropped.Add(1)
		return
	}
	l.Logger.Log(context.Background(), level, text, args...)
}

// std is the logger for memberlist, which writes its level in brackets before the text.
func (l *logger) std() *log.Logger { return log.New(l, "", 0) }

// Write takes one line of memberlist's. Its debug lines are left out.
func (l *logger) Write(line []byte) (int, error) {
	text := bytes.TrimSpace(line)
	level := slog.LevelInfo
	if end := bytes.IndexByte(text, ']'); len(text) > 0 && text[0] == '[' && end > 0 {
		switch string(text[1:end]) {
		case "DEBUG":
			return len(line), nil
		case "WARN", "ERR", "ERROR":
			level = slog.LevelWarn
		}
		text = bytes.TrimSpace(text[end+1:])
	}
	l.write(level, "fleet", "text", string(text[:min(len(text), 200)]))
	return len(line), nil
}
