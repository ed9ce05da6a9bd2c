package balancer

// Idempotency reports whether a request of a class may execute more than once.
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
	// Name is unique among the classes.
	Name string `json:"name"`
	// LatencyObjectiveMs is the response time from which a response earns only LateFraction.
	LatencyObjectiveMs float64 `json:"aimMs"`
	// TotalTimeoutMs is the time after which a client gives up, its retries included.
	TotalTimeoutMs float64 `json:"giveUpMs"`
	// Idempotency reports whether a request may execute more than once.
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
