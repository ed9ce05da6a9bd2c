package balancer

// ActionKind specifies what an Action requests. It determines which fields of the Action are set.
type ActionKind uint8

// The kinds of actions. The fields that each kind sets are listed in parentheses.
const (
	// ActionForward starts an attempt of a request (Request, Server, Ms: timeout of the attempt).
	ActionForward ActionKind = iota + 1
	// ActionCancelAttempt cancels an attempt (Request, Attempt).
	ActionCancelAttempt
	// ActionReject rejects a request; a retry of it is harmless (Request, Ms: value of Retry-After).
	ActionReject
	// ActionFail answers a request with an error (Request).
	ActionFail
	// ActionHealthCheck starts a health check (Server).
	ActionHealthCheck
	// ActionSetTimer sets a timer (Ms, Token).
	ActionSetTimer
	// ActionWatchList calls discovery for changes of the endpoint list.
	ActionWatchList
	// ActionFetchList calls discovery for the full endpoint list.
	ActionFetchList
	// ActionLog writes a message to the log (Text).
	ActionLog
	// ActionCloseIdle closes the idle connections to a server (Server).
	ActionCloseIdle
)

// Action is an instruction to the agent. Actions are executed in the order in which they are returned.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  Addr
	Attempt int     // index of the attempt within its request
	Ms      float64 // a timeout, the value of Retry-After or the duration of a timer, in milliseconds
	Token   uint32  // identifies the timer; EventTimer returns it
	Text    string  // log message
}
