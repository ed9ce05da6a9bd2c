// Package balancer is the interface of the balancing policy (package policy): the settings that it
// reads and their validation, the events that it takes, and the actions that it returns. It makes no
// decisions itself. The JSON keys and the numbers of statuses are those of the simulator's protocol
// (WIRE-fernbeam) and of the agent's configuration (PROTOCOL). All times are in milliseconds.
package balancer

import (
	"math"
)

// RequestID identifies one request of a client; an id is never used twice.
type RequestID uint32

// Status tells how an attempt or a health check ended.
type Status uint16

// The values of Status.
const (
	StatusOK            Status = 100 // a successful response
	StatusError         Status = 301 // a response that says that the server failed
	StatusOverloaded    Status = 302 // the server rejected it at its own limit, or this machine lacked a resource
	StatusTimeout       Status = 303 // no response by its timeout
	StatusConnectFailed Status = 304 // no connection was made
	StatusReset         Status = 305 // the connection was lost
	StatusCancelled     Status = 306 // the agent cancelled it
	StatusUnsent        Status = 307 // the agent did not send it
	StatusBadRequest    Status = 400 // the request itself is wrong; only real servers answer so
)

// NotExecuted tells whether the status proves that the attempt was not executed.
func (s Status) NotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusUnsent
}

// EventKind tells what an Event is about, and so which of its fields are set.
type EventKind uint8

// The kinds of events, each with the fields that are set.
const (
	// EventRequest: a client sent a request. Request, Rules or Class, Key, RemainingMs, Retry,
	// StreamedBody.
	EventRequest EventKind = iota + 1
	// EventAttemptDone: an attempt ended. Request, Attempt, Server, Status, LatencyMs, RequestDone,
	// BodyConsumed.
	EventAttemptDone
	// EventRequestSent: the last byte of a streamed body is with the server. Request, Attempt,
	// RemainingMs.
	EventRequestSent
	// EventResponseStarted: a streamed response began. Request, Attempt, Server, LatencyMs.
	EventResponseStarted
	// EventClientGone: the client closed its connection. Request.
	EventClientGone
	// EventList: the endpoint list changed, or a call for it failed. ListUpdate, Endpoints.
	EventList
	// EventHealthCheckDone: a health check ended. Server, Status, LatencyMs.
	EventHealthCheckDone
	// EventTimer: a timer that ActionSetTimer set has fired. Token.
	EventTimer
	// EventPeerMessage: a message of another agent; the policy does not use it.
	EventPeerMessage
)

// Event is something that happened to one agent.
type Event struct {
	Kind         EventKind
	Request      RequestID
	Class        int           // index in the classes of the settings in force
	Rules        *RequestRules // nil: those of Class
	Key          uint64        // affinity key; 0: none
	RemainingMs  float64       // time left until the client gives up
	Retry        bool          // the client marked the request as a retry
	StreamedBody bool          // the body goes to a server as it comes; its time counts from EventRequestSent
	BodyConsumed bool          // a part of the body was read, so it cannot be sent to another server
	Attempt      int           // index of the attempt among those of its request
	Server       Addr
	Status       Status
	LatencyMs    float64
	RequestDone  bool // the request has its final answer
	ListUpdate   ListUpdate
	Endpoints    []Endpoint // neither changed nor retained by the policy
	Token        uint32
}

// Finite returns x, or 0 where x is negative, infinite or not a number.
func Finite(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// Finite returns a copy of the event with its times made Finite.
func (ev *Event) Finite() *Event {
	e := *ev
	e.RemainingMs = Finite(e.RemainingMs)
	e.LatencyMs = Finite(e.LatencyMs)
	return &e
}
