package agent

import (
	"fmt"
	"log/slog"
	"strings"
	"time"
)

const (
	// logLinesPerSecond and logBurst bound the lines that log writes.
	logLinesPerSecond, logBurst = 5, 50
	// logBufferSize is the number of lines that may wait for their writer.
	logBufferSize = 64
)

// logViolation counts and logs an action of the policy that the rules of the request forbid.
func (l *eventLoop) logViolation(rule error, args ...any) {
	l.metrics.violations++
	l.log(slog.LevelError, "contract violation: "+rule.Error(), args...)
}

// logRequest logs a request that was not served in time, from its arrival through each attempt, so that one
// line tells where its time went.
func (l *eventLoop) logRequest(r *request, outcome string) {
	if !l.allowLog() {
		return
	}
	c := r.client
	var attempts strings.Builder
	for _, a := range r.attempts {
		attempts.WriteString(a.describe(c.arrivedAt))
	}
	l.logAlways(slog.LevelInfo, "request "+outcome, "id", c.id, "class", c.rules.Name, "retry", c.retry,
		"after_ms", time.Since(c.arrivedAt).Milliseconds(), "timeout_ms", c.deadline.Sub(c.arrivedAt).Milliseconds(),
		"open", l.unanswered, "attempts", attempts.String())
}

// describe tells the log when an attempt began after the request's arrival, and how it ended; all in ms.
func (a *attempt) describe(arrivedAt time.Time) string {
	server := "unlisted"
	if a.server != nil {
		server = a.server.id
	}
	began := fmt.Sprintf("[%s at %d", server, a.startedAt.Sub(arrivedAt).Milliseconds())
	switch {
	case !a.done:
		return began + " in flight]"
	case a.reason == "":
		return began + fmt.Sprintf(" ended %d after %.0f]", a.status, a.latencyMs)
	}
	return began + fmt.Sprintf(" ended %d after %.0f: %s]", a.status, a.latencyMs, a.reason)
}

// logAborted counts and logs a response that was begun and not passed on completely.
func (l *eventLoop) logAborted(c *clientRequest, fromServer, toClient error) {
	l.metrics.aborted++
	l.log(slog.LevelWarn, "response aborted", "id", c.id, "after_ms", time.Since(c.arrivedAt).Milliseconds(),
		"server_err", fromServer, "client_err", toClient)
}

// allowLog bounds the lines per second and counts those that the bound drops.
func (l *eventLoop) allowLog() bool {
	if l.logLimit.Allow() {
		return true
	}
	l.metrics.unlogged++
	return false
}

// log writes a line unless the bound of lines per second drops it.
func (l *eventLoop) log(level slog.Level, text string, args ...any) {
	if l.allowLog() {
		l.logAlways(level, text, args...)
	}
}

// report writes a line from any goroutine, without the bound of log.
func (l *eventLoop) report(level slog.Level, text string, args ...any) {
	l.post(func() { l.logAlways(level, text, args...) })
}

// logAlways hands a line to writeLogLines without the bound of log. The line is dropped where the buffer is full.
func (l *eventLoop) logAlways(level slog.Level, text string, args ...any) {
	logger := l.logger
	select {
	case l.logLines <- func() { logger.Log(l.ctx, level, text, args...) }:
	default:
		l.metrics.unlogged++
	}
}

// writeLogLines writes the loop's log lines until its context ends. The loop does not write them itself: a log
// that nobody reads blocks its writer, and with it every request.
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
