package dispatch

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
)

// logViolation counts and logs an action of the policy that violates the rules of a request.
func (l *Loop) logViolation(rule error, args ...any) {
	l.metrics.Violations++
	l.logger.logLimited(slog.LevelError, "contract violation: "+rule.Error(), args...)
}

// logRequest logs a request that was not served in time. The line includes all attempts with their times, to show where
// the time was spent.
func (l *Loop) logRequest(r *request, outcome string) {
	if !l.logger.allow() {
		return
	}
	incoming := r.incoming
	var attempts strings.Builder
	for _, a := range r.attempts {
		attempts.WriteString(a.describe(incoming.ArrivedAt))
	}
	l.logger.log(slog.LevelInfo, "request "+outcome, "id", incoming.ID, "class", incoming.Rules.Name,
		"retry", incoming.Retry, "after_ms", time.Since(incoming.ArrivedAt).Milliseconds(),
		"timeout_ms", incoming.Deadline.Sub(incoming.ArrivedAt).Milliseconds(),
		"open", l.requests.openCount, "attempts", attempts.String())
}

// describe returns an attempt's server, start time relative to the request's arrival, status and duration, in ms.
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

// logAborted counts and logs a response that was started but not written to the client completely.
func (l *Loop) logAborted(incoming *message.Request, fromServer, toClient error) {
	l.metrics.Aborted++
	l.logger.logLimited(slog.LevelWarn, "response aborted", "id", incoming.ID,
		"after_ms", time.Since(incoming.ArrivedAt).Milliseconds(), "server_err", fromServer, "client_err", toClient)
}

// Log logs a line without a rate limit. It may be called from any goroutine but the loop's.
func (l *Loop) Log(level slog.Level, text string, args ...any) {
	l.Post(func() { l.logger.log(level, text, args...) })
}
