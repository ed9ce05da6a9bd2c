package agent

import (
	"fmt"
	"log/slog"
	"strings"
	"time"
)

func (l *eventLoop) logViolation(what string, args ...any) {
	l.metrics.violations++
	l.log(slog.LevelError, "contract violation: "+what, args...)
}

// course logs what became of a request that did not end well, from its arrival
// through each attempt: one line tells where its time went.
func (l *eventLoop) logRequest(r *request, how string) {
	if !l.allowLog() {
		return
	}
	c := r.client
	sinceMs := func(t time.Time) int64 { return t.Sub(c.arrivedAt).Milliseconds() }
	var steps strings.Builder
	for _, t := range r.attempts {
		id := "unlisted"
		if t.server != nil {
			id = t.server.id
		}
		fmt.Fprintf(&steps, "[%s at %d", id, sinceMs(t.startedAt))
		switch {
		case !t.done:
			steps.WriteString(" in flight]")
		case t.reason == "":
			fmt.Fprintf(&steps, " ended %d after %.0f]", t.status, t.latencyMs)
		default:
			fmt.Fprintf(&steps, " ended %d after %.0f: %s]", t.status, t.latencyMs, t.reason)
		}
	}
	l.logAlways(slog.LevelInfo, "request "+how, "id", c.id, "class", c.rules.Name,
		"retry", c.retry, "after_ms", sinceMs(time.Now()), "timeout_ms", sinceMs(c.deadline),
		"open", l.unanswered, "attempts", steps.String())
}

// brokenOff counts and logs an answer that was begun and not passed on whole.
func (l *eventLoop) responseAborted(c *clientRequest, fromServer, toClient error) {
	l.metrics.aborted++
	l.log(slog.LevelWarn, "response aborted", "id", c.id, "after_ms", time.Since(c.arrivedAt).Milliseconds(),
		"server_err", fromServer, "client_err", toClient)
}

// rejected counts and logs what came in that is no request of the protocol's.
func (l *eventLoop) invalidRequest(id, from string, status int, err error) {
	l.metrics.invalid++
	l.log(slog.LevelWarn, "invalid request", "id", id, "from", from, "status", status, "err", err)
}

// mayLog bounds the lines a second, and counts what the bound left out.
func (l *eventLoop) allowLog() bool {
	if l.logLimit.Allow() {
		return true
	}
	l.metrics.unlogged++
	return false
}

func (l *eventLoop) log(level slog.Level, text string, args ...any) {
	if l.allowLog() {
		l.logAlways(level, text, args...)
	}
}

// write hands a line to writeLog; one too many for its reader is left out.
func (l *eventLoop) logAlways(level slog.Level, text string, args ...any) {
	logger := l.logger
	select {
	case l.logLines <- func() { logger.Log(l.ctx, level, text, args...) }:
	default:
		l.metrics.unlogged++
	}
}

// writeLog writes the loop's log lines. The loop does not write itself: a log that
// nobody reads blocks its writer, and every request with it.
func (l *eventLoop) writeLogLines() {
	for {
		select {
		case line := <-l.logLines:
			line()
		case <-l.ctx.Done():
			return
		}
	}
}
