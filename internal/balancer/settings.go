package balancer

// Idempotency specifies whether a request of a class may execute more than once.
type Idempotency string

// The values of Idempotency.
const (
	Idempotent      Idempotency = "free"        // may execute any number of times
	IdempotentByKey Idempotency = "guarded"     // duplicates are dropped within DedupScope and DedupWindowMs
	NonIdempotent   Idempotency = "single_shot" // must not execute twice
)

// DedupScope specifies which servers drop duplicates of a request that is idempotent by key.
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
	// LatencyObjectiveMs is the response time above which a response counts as late.
	LatencyObjectiveMs float64 `json:"aimMs"`
	// TotalTimeoutMs is the time after which a client gives up, including its retries.
	TotalTimeoutMs float64 `json:"giveUpMs"`
	// Idempotency specifies whether a request may execute more than once.
	Idempotency Idempotency `json:"effect"`
	// DedupScope specifies which servers drop duplicates, for IdempotentByKey.
	DedupScope DedupScope `json:"group"`
	// DedupWindowMs is how long after the first execution duplicates are dropped.
	DedupWindowMs float64 `json:"keyTtlMs"`
	// PriorityWeight is the value of a response that arrives within the latency objective.
	PriorityWeight float64 `json:"credit"`
	// LateFraction is the value of a late response as a fraction of PriorityWeight.
	LateFraction float64 `json:"lateShare"`
	// Streaming specifies that responses are streamed to the client.
	Streaming bool `json:"streamed"`
}

// RequestRules are the rules of one request. They do not change during the request, even if other settings
// are put in force.
type RequestRules struct {
	Class
	MaxAttempts int
}

// Limits specifies what a deployment permits an agent to do.
type Limits struct {
	AttemptCancellation bool    `json:"cancelling"`       // attempts in flight may be cancelled
	ConnectTimeoutMs    float64 `json:"connectTimeoutMs"` // timeout of a connect to a server
	KeepaliveMs         float64 `json:"keepaliveMs"`      // idle time after which a connection is closed
	MaxAttempts         int     `json:"maxAttempts"`      // attempts per request, including the first
	MaxRetryAfterMs     float64 `json:"maxRetryAfterMs"`  // maximum Retry-After of a rejection
	HedgedRequests      bool    `json:"parallelTries"`    // requests may have several attempts in flight
	HealthChecks        bool    `json:"probing"`          // health checks of servers are permitted
	RetryAfter          bool    `json:"retryAfter"`       // clients receive the Retry-After of a rejection
	MaxOpenRequests     int     `json:"openCap"`          // open requests per agent
}

// Contract holds the parameters of the agents' guarantees about responses, the endpoint list, slow start and drains.
type Contract struct {
	// ResponseSlackMs is the time after its deadline within which a request may still be answered.
	ResponseSlackMs float64 `json:"answerSlackMs"`
	// PollWithinMs is the time within which an agent calls discovery after a start or a failed call.
	PollWithinMs float64 `json:"askWithinMs"`
	// SlowStartFrom is the slow-start fraction of a server at its start.
	SlowStartFrom float64 `json:"coldFrom"`
	// SlowStartMs is the duration of slow start, after which a server has its full capacity.
	SlowStartMs float64 `json:"coldMs"`
	// DrainGraceMs is the time after the notification of its drain during which a server may still be
	// sent attempts.
	DrainGraceMs float64 `json:"drainGraceMs"`
	// OverloadMultiple is the maximum load of a server in OverloadWindowMs, as a multiple of its present
	// capacity.
	OverloadMultiple float64 `json:"fallMultiple"`
	// OverloadWindowMs is the time window in which the load of a server is measured.
	OverloadWindowMs float64 `json:"tipAfterMs"`
}

// Costs holds the cost factors of the result. Each cost is deducted from the result, in proportion to a fraction of the
// requests or to a rate.
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
	Total       float64 `json:"whole"`       // value of all requests
	WorstWindow float64 `json:"worstWindow"` // value of the requests in the worst time window
	WorstClass  float64 `json:"worstClass"`  // value of the requests of the worst class
}

// DiscoveryMode specifies how changes of the endpoint list reach an agent.
type DiscoveryMode string

// The values of DiscoveryMode.
const (
	DiscoveryPushed    DiscoveryMode = "pushed"     // without a call by the policy
	DiscoveryOnRequest DiscoveryMode = "on_request" // when the policy polls or opens a watch
)

// WeightAccuracy specifies how the weights in the endpoint list relate to the capacity of the servers.
type WeightAccuracy string

// The values of WeightAccuracy.
const (
	WeightsOff     WeightAccuracy = "off"     // not at all
	WeightsNominal WeightAccuracy = "nominal" // planned capacity
	WeightsRough   WeightAccuracy = "rough"   // approximate present capacity
	WeightsLive    WeightAccuracy = "live"    // present capacity
)

// WeightBasis specifies how served requests are weighted in the result.
type WeightBasis string

// The values of WeightBasis.
const (
	WeightByRequest WeightBasis = "request" // all requests equally
	WeightByWork    WeightBasis = "work"    // by the work of the request
)

// Settings is the configuration of the policy. It is set when the agent starts and can be changed later with the
// policy's UpdateSettings method.
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
		WarmKeys bool `json:"warmKeys"` // servers need less work for keys that they have served before
	} `json:"familyInfo"`
	// Zones and Kinds are the names of the zones and of the machine kinds. The policy itself uses numbers.
	Zones       []string       `json:"failureDomains"`
	Kinds       []string       `json:"shapes"`
	Index       int            `json:"index"`        // of this agent
	FleetSize   int            `json:"replicasOfMe"` // number of agents; 0: unknown
	RoundTripMs float64        `json:"roundMs"`      // between agent and client, and between agent and server
	Weights     WeightAccuracy `json:"weights"`
	WeightBy    WeightBasis    `json:"worthBy"`
	Zone        int            `json:"zone"` // of this agent: an index into Zones
}
