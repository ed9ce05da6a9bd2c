package dispatch

import (
	"log/slog"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/membership"
)

// Loop implements the Dispatcher interface of the downstream server. Each of its methods posts its work to the loop.

// Dispatch passes a client's request to the policy.
func (l *Loop) Dispatch(incoming *message.Request) { l.Post(func() { l.startRequest(incoming) }) }

// Abandon ends a request whose client no longer waits for the response.
func (l *Loop) Abandon(incoming *message.Request) { l.Post(func() { l.abandonRequest(incoming) }) }

// CancelStreaming cancels the attempts of requests whose streamed body is still being sent to a server.
func (l *Loop) CancelStreaming() { l.Post(l.cancelStreaming) }

// EndAll sends the final response to every open request.
func (l *Loop) EndAll() { l.Post(l.endAllRequests) }

// AcceptFailed counts and logs a temporary accept error.
func (l *Loop) AcceptFailed(err error) {
	l.Post(func() {
		l.metrics.AcceptFailures++
		l.logger.logLimited(slog.LevelWarn, "accept failed", "err", err)
	})
}

// InvalidRequest counts and logs input from a client that does not conform to the protocol.
func (l *Loop) InvalidRequest(id, from string, invalid *message.RequestError) {
	l.Post(func() {
		l.metrics.Invalid++
		l.logger.logLimited(slog.LevelWarn, "invalid request", "id", id, "from", from,
			"status", invalid.Status, "err", invalid)
	})
}

// ResponseAborted counts and logs a response that was started but not written to the client completely.
func (l *Loop) ResponseAborted(incoming *message.Request, fromServer, toClient error) {
	l.Post(func() { l.logAborted(incoming, fromServer, toClient) })
}

// MembershipChanged logs a new membership view. No decision depends on it.
func (l *Loop) MembershipChanged(view *membership.Snapshot) {
	l.Post(func() {
		l.logger.logLimited(slog.LevelInfo, "membership view", "number", view.Number,
			"present", view.Present, "of", view.Size, "digest", view.Digest)
	})
}
