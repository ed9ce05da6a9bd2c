// Package balancer is the interface of the balancing policy (package policy): the settings that it
// reads and their validation, the events that it takes, and the actions that it returns. It makes no
// decisions itself. The JSON keys and the numbers of statuses are those of the simulator's protocol
// (WIRE-fernbeam) and of the agent's configuration (PROTOCOL). All times are in milliseconds.
package balancer

import (
	"encoding/binary"
	"math"
)

// Addr is the address of a server: four bytes of IPv4 address and two of port, big-endian. The policy
// only compares and hashes it, and returns it unchanged.
type Addr [6]byte

// Uint64 returns the address as one number: its four bytes, then the port.
func (a Addr) Uint64() uint64 {
	return uint64(binary.BigEndian.Uint32(a[:]))<<16 | uint64(binary.BigEndian.Uint16(a[4:]))
}

// RequestID identifies one request of a client; an id is never used twice.
type RequestID uint32

// HealthState is the health of a listed server as this agent knows it.
type HealthState uint8

// The health states, best first.
const (
	Connected        HealthState = iota // its last response was good
	Unknown                             // nothing is known of it yet
	UnhealthyPending                    // its ejection time has passed; it waits for a check
	Unhealthy                           // ejected
)

// Idempotency tells whether a request of a class may execute more than once.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent      Idempotency = "free"        // may execute any number of times
	IdempotentByKey Idempotency = "guarded"     // duplicates are dropped within DedupScope and DedupWindowMs
	NonIdempotent   Idempotency = "single_shot" // must not execute twice
)

// DedupScope tells which servers drop duplicates of a request that is idempotent by key.
type DedupScope string

// The values of DedupScope.
const (
	DedupFleet DedupScope = "all"  // all servers
	DedupZone  DedupScope = "zone" // the servers of the zone of the first execution
	DedupCell  DedupScope = "cell" // the servers of the cell of the first execution
)

// Class holds the rules of one class of requests.
type Class struct {
	// Name is another one for each class.
	Name string `json:"name"`
	// LatencyObjectiveMs is the response time from which a response earns only LateFraction.
	LatencyObjectiveMs float64 `json:"aimMs"`
	// TotalTimeoutMs is the time after which a client gives up, its retries included.
	TotalTimeoutMs float64 `json:"giveUpMs"`
	// Idempotency tells whether a request may execute more than once.
	Idempotency Idempotency `json:"effect"`
	// DedupScope tells which servers drop duplicates, for IdempotentByKey.
	DedupScope DedupScope `json:"group"`
	// DedupWindowMs is how long after the first execution duplicates are dropped.
	DedupWindowMs float64 `json:"keyTtlMs"`
	// PriorityWeight is what a response in time earns.
	PriorityWeight float64 `json:"credit"`
	// LateFraction is the part of PriorityWeight that a late response earns.
	LateFraction float64 `json:"lateShare"`
	// Streaming tells that the client receives the response as it comes.
	Streaming bool `json:"streamed"`
}

// RequestRules are the rules of one request. They stay the same from its start to its end, whatever
// settings are put in force meanwhile.
type RequestRules struct {
	Class
	MaxAttempts int
}

// Limits is what a deployment permits an agent to do.
type Limits struct {
	AttemptCancellation bool    `json:"cancelling"`       // attempts in flight may be cancelled
	ConnectTimeoutMs    float64 `json:"connectTimeoutMs"` // of a connect to a server
	KeepaliveMs         float64 `json:"keepaliveMs"`      // idle time after which a connection closes
	MaxAttempts         int     `json:"maxAttempts"`      // for each request, the first included
	MaxRetryAfterMs     float64 `json:"maxRetryAfterMs"`  // of the advice in a rejection
	HedgedRequests      bool    `json:"parallelTries"`    // an attempt may start beside one in flight
	HealthChecks        bool    `json:"probing"`          // servers may be checked
	RetryAfter          bool    `json:"retryAfter"`       // clients get the Retry-After of a rejection
	MaxOpenRequests     int     `json:"openCap"`          // of one agent
}

// Contract holds what the agents promise about responses, the endpoint list, slow start and draining.
type Contract struct {
	// ResponseSlackMs is how long after its deadline a request may still be answered.
	ResponseSlackMs float64 `json:"answerSlackMs"`
	// PollWithinMs is the time in which an agent calls discovery after a start or a failed call.
	PollWithinMs float64 `json:"askWithinMs"`
	// SlowStartFrom is the part of its capacity that a server has at its start.
	SlowStartFrom float64 `json:"coldFrom"`
	// SlowStartMs is the time after which a server has all of its capacity.
	SlowStartMs float64 `json:"coldMs"`
	// DrainGraceMs is how long after the notification of its drain a server may still be sent attempts.
	DrainGraceMs float64 `json:"drainGraceMs"`
	// OverloadMultiple is how many times its present capacity a server bears in OverloadWindowMs.
	OverloadMultiple float64 `json:"fallMultiple"`
	// OverloadWindowMs is the window in which that load is counted.
	OverloadWindowMs float64 `json:"tipAfterMs"`
}

// Costs are points that are taken off the result, each for its part of the requests or its rate.
type Costs struct {
	CrossZone    float64 `json:"crossZone"`
	Handshake    float64 `json:"handshake"`
	Connection   float64 `json:"connection"`
	LateFailure  float64 `json:"lateFail"`
	HealthCheck  float64 `json:"probe"`
	WastedWork   float64 `json:"waste"`
	EndpointList float64 `json:"membershipMode"`
}

// Objective holds the weights of the parts of the result.
type Objective struct {
	Total       float64 `json:"whole"`       // what all requests earn
	WorstWindow float64 `json:"worstWindow"` // what those of the worst time window earn
	WorstClass  float64 `json:"worstClass"`  // what those of the worst class earn
}

// DiscoveryMode says how changes of the endpoint list reach an agent.
type DiscoveryMode string

// The values of DiscoveryMode.
const (
	DiscoveryPushed    DiscoveryMode = "pushed"     // without the policy asking for them
	DiscoveryOnRequest DiscoveryMode = "on_request" // when the policy polls or opens a watch
)

// WeightAccuracy says what the weights of the endpoint list tell of the servers' capacity.
type WeightAccuracy string

// The values of WeightAccuracy.
const (
	WeightsOff     WeightAccuracy = "off"     // nothing
	WeightsNominal WeightAccuracy = "nominal" // the capacity that is planned for
	WeightsRough   WeightAccuracy = "rough"   // about the present capacity
	WeightsLive    WeightAccuracy = "live"    // the present capacity
)

// WeightBasis says what a served request counts by.
type WeightBasis string

// The values of WeightBasis.
const (
	WeightByRequest WeightBasis = "request" // each request alike
	WeightByWork    WeightBasis = "work"    // by the work that it took
)

// Settings is the configuration of the policy, given at an agent's start and changed by Retune.
type Settings struct {
	Classes       []Class       `json:"classes"`
	Limits        Limits        `json:"limits"`
	Contract      Contract      `json:"contract"`
	Costs         Costs         `json:"prices"`
	Objective     Objective     `json:"objectiveMix"`
	DiscoveryMode DiscoveryMode `json:"membershipMode"`
	Clients       struct {
		MarksRetry bool `json:"marksRetry"` // clients mark their retries as such
	} `json:"clients"`
	FamilyInfo struct {
		WarmKeys bool `json:"warmKeys"` // servers do less work for keys that they have served before
	} `json:"familyInfo"`
	Index       int            `json:"index"`        // of this agent
	FleetSize   int            `json:"replicasOfMe"` // number of agents; 0: not known
	RoundTripMs float64        `json:"roundMs"`      // between agent and client, and between agent and server
	Weights     WeightAccuracy `json:"weights"`
	WeightBy    WeightBasis    `json:"worthBy"`
	Zone        int            `json:"zone"` // of this agent
}

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The values of EndpointState.
const (
	Draining EndpointState = iota // takes no new attempts; those in flight finish
	Ready                         // takes attempts
	Removed                       // is not listed any more
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Server    Addr
	Zone      int
	Cell      int
	Kind      int     // of its machine; the policy does not use it
	StartedMs float64 // wall-clock time of the latest start; 0: not known or long past
	State     EndpointState
	Weight    float64
}

// ListUpdate tells how an EventList changes the endpoint list.
type ListUpdate uint8

// The values of ListUpdate.
const (
	ListDelta  ListUpdate = iota // some entries have changed
	ListFull                     // the complete list
	ListCached                   // the complete list as it was last known, perhaps long ago
	ListFailed                   // the call for the list failed
)

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

// Stats sums up the state of the policy for metrics and the log: why requests wait or are rejected.
type Stats struct {
	States             [4]int  // number of listed servers by HealthState
	Queued             int     // requests that wait for capacity
	InFlight           int     // attempts
	ServerLimits       float64 // sum of the servers' concurrency limits, in attempts
	Shed               float64 // part of arriving requests that is rejected at once
	ConcurrencyLimit   float64 // attempts that may be in flight at all servers
	OverloadedFraction float64 // part of the responses of late that came from overloaded servers
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
