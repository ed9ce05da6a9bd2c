// Package balancer defines the interface of the load balancing policy (package policy): its settings and
// their validation, the events that it takes, and the actions that it returns. The package makes no
// decisions itself. The JSON keys and the status numbers are those of the simulator's protocol
// (WIRE-fernbeam) and of the agent's configuration (PROTOCOL). All times are in milliseconds.
package balancer

import (
	"math"
)

// RequestID identifies a request of a client. IDs are never reused.
type RequestID uint32

// Status is the result of an attempt or a health check.
type Status uint16

// The values of Status.
const (
	StatusOK            Status = 100 // successful response
	StatusError         Status = 301 // response that reports a server failure
	StatusOverloaded    Status = 302 // rejected by the server at its limit, or this machine lacked a resource
	StatusTimeout       Status = 303 // no response within the timeout
	StatusConnectFailed Status = 304 // no connection was established
	StatusReset         Status = 305 // the connection was lost
	StatusCancelled     Status = 306 // cancelled by the agent
	StatusUnsent        Status = 307 // not sent by the agent
	StatusBadRequest    Status = 400 // the request is invalid; only real servers return this status
)

// NotExecuted reports whether the status proves that the attempt was not executed.
func (s Status) NotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusUnsent
}

// EventKind specifies what an Event reports. It determines which fields of the Event are set.
type EventKind uint8

// The kinds of events. The fields that each kind sets are listed in parentheses.
const (
	// EventRequest reports that a client sent a request (Request, Rules or Class, Key, RemainingMs, Retry,
	// StreamedBody).
	EventRequest EventKind = iota + 1
	// EventAttemptDone reports that an attempt ended (Request, Attempt, Server, Status, LatencyMs,
	// RequestDone, BodyConsumed).
	EventAttemptDone
	// EventRequestSent reports that the last byte of a streamed body was sent to the server (Request,
	// Attempt, RemainingMs).
	EventRequestSent
	// EventResponseStarted reports that a streamed response started (Request, Attempt, Server, LatencyMs).
	EventResponseStarted
	// EventClientGone reports that the client closed its connection (Request).
	EventClientGone
	// EventList reports a change of the endpoint list or a failed call for it (ListUpdate, Endpoints).
	EventList
	// EventHealthCheckDone reports that a health check ended (Server, Status, LatencyMs).
	EventHealthCheckDone
	// EventTimer reports that a timer set by ActionSetTimer has fired (Token).
	EventTimer
	// EventPeerMessage is a message from another agent. The policy ignores it.
	EventPeerMessage
)

// Event is an input of the policy of one agent.
type Event struct {
	Kind         EventKind
	Request      RequestID
	Class        int           // index in the classes of the settings in force
	Rules        *RequestRules // nil: the rules of Class
	Key          uint64        // affinity key; 0: none
	RemainingMs  float64       // time until the client gives up
	Retry        bool          // the client marked the request as a retry
	StreamedBody bool          // the body is streamed to a server; times are measured from EventRequestSent
	BodyConsumed bool          // part of the body was read, so it cannot be sent to another server
	Attempt      int           // index of the attempt within its request
	Server       Addr
	Status       Status
	LatencyMs    float64
	RequestDone  bool // the request has its final response
	ListUpdate   ListUpdate
	Endpoints    []Endpoint // neither modified nor retained by the policy
	Token        uint32     // identifies the timer
}

// FiniteOrZero returns x, or 0 if x is negative, infinite or not a number.
func FiniteOrZero(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// Sanitized returns a copy of the event with FiniteOrZero applied to its times.
func (ev *Event) Sanitized() *Event {
	e := *ev
	e.RemainingMs = FiniteOrZero(e.RemainingMs)
	e.LatencyMs = FiniteOrZero(e.LatencyMs)
	return &e
}
