package dispatch

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/agent/downstream"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/membership"
)

// The event loop is the dispatcher of the downstream server: each method posts its work to the loop.

func (l *Loop) Dispatch(c *message.Request) { l.Post(func() { l.startRequest(c) }) }

func (l *Loop) Abandon(c *message.Request) { l.Post(func() { l.discardResponse(c) }) }

func (l *Loop) CancelStreaming() { l.Post(l.cancelSending) }

func (l *Loop) EndAll() { l.Post(l.endRequests) }

func (l *Loop) AcceptFailed(err error) {
	l.Post(func() {
		l.metrics.AcceptFailures++
		l.lines.limited(slog.LevelWarn, "accept failed", "err", err)
	})
}

func (l *Loop) InvalidRequest(id, from string, invalid *downstream.RequestError) {
	l.Post(func() {
		l.metrics.Invalid++
		l.lines.limited(slog.LevelWarn, "invalid request", "id", id, "from", from, "status", invalid.Status, "err", invalid)
	})
}

func (l *Loop) ResponseAborted(c *message.Request, fromServer, toClient error) {
	l.Post(func() { l.logAborted(c, fromServer, toClient) })
}

// MembershipChanged logs a new membership view. No decision rests on it.
func (l *Loop) MembershipChanged(view *membership.Snapshot) {
	l.Post(func() {
		l.lines.limited(slog.LevelInfo, "membership view", "number", view.Number, "present", view.Present, "of", view.Size,
			"digest", view.Digest)
	})
}
