package balancer

// ActionKind tells what an Action asks for, and so which of its fields are set.
type ActionKind uint8

// The kinds of actions, each with the fields that are set.
const (
	// ActionForward starts an attempt. Request, Server, Ms: its timeout.
	ActionForward ActionKind = iota + 1
	// ActionCancelAttempt cancels an attempt. Request, Attempt.
	ActionCancelAttempt
	// ActionReject answers that a retry is harmless. Request, Ms: the Retry-After.
	ActionReject
	// ActionFail answers with an error. Request.
	ActionFail
	// ActionHealthCheck starts a health check. Server.
	ActionHealthCheck
	// ActionSetTimer sets a timer. Ms, Token.
	ActionSetTimer
	// ActionWatchList calls discovery for changes of the endpoint list.
	ActionWatchList
	// ActionFetchList calls discovery for the complete endpoint list.
	ActionFetchList
	// ActionLog logs a text. Text.
	ActionLog
	// ActionCloseIdle closes the idle connections to a server. Server.
	ActionCloseIdle
)

// Action is something that the agent is to do. Actions are carried out in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  Addr
	Attempt int     // index of the attempt among those of its request
	Ms      float64 // a timeout, a Retry-After or the time until a timer fires
	Token   uint32  // of the timer; it comes back with EventTimer
	Text    string  // for the log
}
