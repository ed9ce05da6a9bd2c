package agent

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/membership"
)

// The event loop is the dispatcher of the downstream server: each method posts its work to the loop.

func (l *eventLoop) dispatch(c *clientRequest) { l.post(func() { l.startRequest(c) }) }

func (l *eventLoop) abandon(c *clientRequest) { l.post(func() { l.discardResponse(c) }) }

func (l *eventLoop) cancelStreaming() { l.post(l.cancelSending) }

func (l *eventLoop) endAll() { l.post(l.endRequests) }

func (l *eventLoop) acceptFailed(err error) {
	l.post(func() {
		l.metrics.acceptFailures++
		l.lines.limited(slog.LevelWarn, "accept failed", "err", err)
	})
}

func (l *eventLoop) invalidRequest(id, from string, invalid *requestError) {
	l.post(func() {
		l.metrics.invalid++
		l.lines.limited(slog.LevelWarn, "invalid request", "id", id, "from", from, "status", invalid.status, "err", invalid)
	})
}

func (l *eventLoop) responseAborted(c *clientRequest, fromServer, toClient error) {
	l.post(func() { l.logAborted(c, fromServer, toClient) })
}

// membershipChanged logs a new membership view. No decision rests on it.
func (l *eventLoop) membershipChanged(view *membership.Snapshot) {
	l.post(func() {
		l.lines.limited(slog.LevelInfo, "membership view", "number", view.Number, "present", view.Present, "of", view.Size,
			"digest", view.Digest)
	})
}
