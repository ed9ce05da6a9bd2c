package dispatch

import (
	"log/slog"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
)

// A request that may have executed and that must not execute twice is remembered by its id once its client has left. A
// client that comes again with the same id, over another connection or to another process of this agent, gets a failure
// and not a second execution.

// A request whose id is in flight at another process of this agent waits for noticeTime, but no longer than its timeout
// divided by noticeTimeoutDivisor. By then that process has noticed if the client has left it.
const (
	noticeTime           = 50 * time.Millisecond
	noticeTimeoutDivisor = 4
)

// awaitOtherProcess reports whether a request has to wait because its id is in flight at another process. The request
// is then started later.
func (l *Loop) awaitOtherProcess(incoming *message.Request) bool {
	isHere := l.requests.byClientID[incoming.ID] != nil
	if incoming.AwaitedOther || isHere || safeToRetryAnywhere(incoming.Rules) ||
		!l.clientIDs.IsInFlight(incoming.ID, time.Now()) {
		return false
	}
	incoming.AwaitedOther = true
	wait := min(noticeTime, incoming.Timeout/noticeTimeoutDivisor)
	time.AfterFunc(wait, func() {
		l.Post(func() { l.startRequest(incoming) })
	})
	return true
}

// wasAbandoned reports whether an earlier request with the id of this one may have executed and was abandoned by its
// client.
func (l *Loop) wasAbandoned(incoming *message.Request) bool {
	if safeToRetryAnywhere(incoming.Rules) {
		return false
	}
	if earlier := l.requests.byClientID[incoming.ID]; earlier != nil && hasClientLeft(earlier.incoming) {
		l.handleClientGone(earlier) // the downstream server's notification has not arrived yet
	}
	return l.clientIDs.IsAbandoned(incoming.ID, time.Now())
}

// hasClientLeft reports whether the client of a request has closed its connection.
func hasClientLeft(incoming *message.Request) bool {
	if incoming.Context.Err() != nil {
		return true
	}
	return incoming.ClientGone != nil && incoming.ClientGone()
}

// failRepeated sends a failure for a request for which wasAbandoned is true. A rejection would say that a retry is
// safe.
func (l *Loop) failRepeated(r *request) {
	l.metrics.RepeatedIDs++
	l.logger.logLimited(slog.LevelWarn, "id of an abandoned request came again", "id", r.incoming.ID)
	l.finish(r, message.Response{Kind: message.Failed})
}

// rememberAbandoned remembers the id of a request that its client has abandoned, if it must not be sent again.
func (l *Loop) rememberAbandoned(r *request) {
	if r.mayHaveExecuted > 0 && !safeToRetryAnywhere(r.incoming.Rules) {
		r.abandoned = true
		l.clientIDs.Abandon(r.incoming.ID, time.Now())
	}
}

// forgetUnexecuted forgets the id of an abandoned request that turns out not to have executed.
func (l *Loop) forgetUnexecuted(r *request) {
	if r.abandoned && r.mayHaveExecuted == 0 {
		r.abandoned = false
		l.clientIDs.Forget(r.incoming.ID)
	}
}
