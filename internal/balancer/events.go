// Package balancer is the surface of the decision module, package policy: the settings it
// reads and their checks, the events with a time that go in and the actions that come
// out, in order. It decides nothing; every decision is policy's. The shapes are those
// of the simulator's wire (WIRE-fernbeam) and of the agent's configuration (PROTOCOL).
package balancer

import (
	"encoding/binary"
	"math"
)

// Addr names a server: four bytes of address and a port. It has no meaning
// beyond equality and is sent back exactly as it came.
type Addr [6]byte

// Uint64 is the address as one number: its four bytes, then the port.
func (a Addr) Uint64() uint64 {
	return uint64(binary.BigEndian.Uint32(a[:]))<<16 | uint64(binary.BigEndian.Uint16(a[4:]))
}

// RequestID names one try of a client; an id is never used twice.
type RequestID uint32

// State is what an agent holds a listed server to be.
type HealthState uint8

// The four states, best first.
const (
	Connected HealthState = iota
	Unknown
	UnhealthyPending
	Unhealthy
)

// Effect tells whether a request of a class may run more than once.
type Idempotency string

// The effects a class may have.
const (
	Idempotent      Idempotency = "free"        // safe to repeat
	IdempotentByKey Idempotency = "guarded"     // repeats are dropped within a group of servers, for a time
	NonIdempotent   Idempotency = "single_shot" // must never run twice
)

// Group tells which servers drop repeats of a guarded request.
type DedupScope string

// The groups a guarded class may have.
const (
	DedupFleet DedupScope = "all"
	DedupZone  DedupScope = "zone"
	DedupCell  DedupScope = "cell"
)

// Class is one class of requests.
type Class struct {
	Name               string      `json:"name"`
	LatencyObjectiveMs float64     `json:"aimMs"`
	TotalTimeoutMs     float64     `json:"giveUpMs"`
	Idempotency        Idempotency `json:"effect"`
	DedupScope         DedupScope  `json:"group"`
	DedupWindowMs      float64     `json:"keyTtlMs"`
	PriorityWeight     float64     `json:"credit"`
	LateFraction       float64     `json:"lateShare"`
	Streaming          bool        `json:"streamed"`
}

// Rules are what a request is held to from its start to its end, whatever is put in force
// meanwhile.
type RequestRules struct {
	Class
	MaxAttempts int
}

// Limits is what a deployment permits an agent.
type Limits struct {
	AttemptCancellation bool    `json:"cancelling"`
	ConnectTimeoutMs    float64 `json:"connectTimeoutMs"`
	KeepaliveMs         float64 `json:"keepaliveMs"`
	MaxAttempts         int     `json:"maxAttempts"`
	MaxRetryAfterMs     float64 `json:"maxRetryAfterMs"`
	HedgedRequests      bool    `json:"parallelTries"`
	HealthChecks        bool    `json:"probing"`
	RetryAfter          bool    `json:"retryAfter"`
	MaxOpenRequests     int     `json:"openCap"`
}

// Contract holds the figures of the four rules.
type Contract struct {
	ResponseSlackMs  float64 `json:"answerSlackMs"`
	PollWithinMs     float64 `json:"askWithinMs"`
	SlowStartFrom    float64 `json:"coldFrom"`
	SlowStartMs      float64 `json:"coldMs"`
	DrainGraceMs     float64 `json:"drainGraceMs"`
	OverloadMultiple float64 `json:"fallMultiple"`
	OverloadWindowMs float64 `json:"tipAfterMs"`
}

// Prices are points taken off the result, each times its share or rate.
type Costs struct {
	CrossZone    float64 `json:"crossZone"`
	Handshake    float64 `json:"handshake"`
	Connection   float64 `json:"connection"`
	LateFailure  float64 `json:"lateFail"`
	HealthCheck  float64 `json:"probe"`
	WastedWork   float64 `json:"waste"`
	EndpointList float64 `json:"membershipMode"`
}

// Objective holds the weights of the result's components.
type Objective struct {
	Total       float64 `json:"whole"`
	WorstWindow float64 `json:"worstWindow"`
	WorstClass  float64 `json:"worstClass"`
}

// Settings is what an agent is told at its start.
type Settings struct {
	Classes       []Class   `json:"classes"`
	Limits        Limits    `json:"limits"`
	Contract      Contract  `json:"contract"`
	Costs         Costs     `json:"prices"`
	Objective     Objective `json:"objectiveMix"`
	DiscoveryMode string    `json:"membershipMode"` // "pushed" or "on_request"
	Clients       struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"`
	} `json:"familyInfo"`
	Index       int     `json:"index"`
	FleetSize   int     `json:"replicasOfMe"`
	RoundTripMs float64 `json:"roundMs"`
	Weights     string  `json:"weights"` // "off", "nominal", "rough" or "live"
	WeightBy    string  `json:"worthBy"` // "request" or "work"
	Zone        int     `json:"zone"`
}

// Health is what the list says of a server.
type EndpointState uint8

// The list's words.
const (
	Draining EndpointState = iota
	Ready
	Removed
)

// Entry is one line of the list of servers.
type Endpoint struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int
	StartedMs float64 // clock time of the latest start; 0: long past
	State     EndpointState
	Weight    float64
}

// ListKind tells how a list event changes the list at hand.
type ListUpdate uint8

// The kinds of list events.
const (
	ListDelta ListUpdate = iota
	ListFull
	ListCached
	ListFailed
)

// Status is how an attempt or a probe ended.
type Status uint16

// The endings.
const (
	StatusOK            Status = 100
	StatusError         Status = 301
	StatusOverloaded    Status = 302
	StatusTimeout       Status = 303
	StatusConnectFailed Status = 304
	StatusReset         Status = 305
	StatusCancelled     Status = 306
	StatusUnsent        Status = 307
	StatusBadRequest    Status = 400 // the server answered that the request itself is wrong; only real servers do
)

// NeverRan tells whether the ending proves that the attempt did not run.
func (s Status) NotExecuted() bool {
	return s == StatusOverloaded || s == StatusConnectFailed || s == StatusUnsent
}

// EventKind tells which fields of an Event count.
type EventKind uint8

// The events.
const (
	EventRequest         EventKind = iota + 1 // Request, Rules or Class, Key, LeftMs, Retry, Long
	EventAttemptDone                          // Request, Attempt, Server, Status, LatencyMs, Final, Spent
	EventRequestSent                          // Request, Attempt, LeftMs: the last byte of a long one is with its server
	EventResponseStarted                      // Request, Attempt, Server, LatencyMs: a streamed answer began
	EventClientGone                           // Request: the client left
	EventList                                 // List, Entries
	EventHealthCheckDone                      // Server, Status, LatencyMs
	EventTimer                                // Token
	EventPeerMessage                          // a message of another agent; carries nothing that is used
)

// Event is something that happened to one agent.
type Event struct {
	Kind         EventKind
	Request      RequestID
	Class        int           // its place in the settings in force
	Rules        *RequestRules // nil: those of Class
	Key          uint64        // 0: none
	RemainingMs  float64
	Retry        bool
	StreamedBody bool // its body goes to a server as it comes; its time counts from EvWritten on
	BodyConsumed bool // bytes of its body are gone: it can't be sent again
	Attempt      int
	Server       Addr
	Status       Status
	LatencyMs    float64
	RequestDone  bool // the request is finished
	ListUpdate   ListUpdate
	Endpoints    []Endpoint // not changed and not kept by the Balancer
	Token        uint32
}

// ActionKind tells which fields of an Action count.
type ActionKind uint8

// The actions.
const (
	ActionForward       ActionKind = iota + 1 // Request, Server, Ms: time-out
	ActionCancelAttempt                       // Request, Attempt
	ActionReject                              // Request, Ms: advice
	ActionFail                                // Request
	ActionHealthCheck                         // Server
	ActionSetTimer                            // Ms, Token
	ActionWatchList                           // subscribe to the list
	ActionFetchList                           // ask for the whole list once
	ActionLog                                 // Text
	ActionCloseIdle                           // Server: close idle connections
)

// Action is something the agent is to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Server  Addr
	Attempt int
	Ms      float64
	Token   uint32
	Text    string
}

// View is what an operator sees of the module (policy.Balancer.View): why requests wait or are refused.
type Stats struct {
	States                               [4]int // listed servers by state
	Queued, InFlight                     int
	ServerLimits, Shed                   float64 // attempts that all may hold; the part refused at once
	ConcurrencyLimit, OverloadedFraction float64 // attempts that may be out; the part of late that met a crowd
}

// Finite is the number, or 0 where it is negative, infinite or not a number.
func Finite(x float64) float64 {
	if !(x > 0) || math.IsInf(x, 1) {
		return 0
	}
	return x
}

// Finite is a copy of the event whose times make sense: see Finite.
func (ev *Event) Finite() *Event {
	e := *ev
	e.RemainingMs, e.LatencyMs = Finite(e.RemainingMs), Finite(e.LatencyMs)
	return &e
}
