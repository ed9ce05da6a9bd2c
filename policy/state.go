package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// What a Balancer remembers, and plain arithmetic on it.

// server is what the agent knows of one listed server. What each walk over all servers reads
// stands first, within a line of the processor's cache or two.
type server struct {
	hash   uint64
	zone   int
	weight float64
	// as listed on the agent's clock, or later where a restart is assumed
	startedAt      float64
	listedStart    float64 // start of its process by the list
	restartAssumed bool    // startedAt is of a restart that the list has not told
	restingUntil   float64 // passed over in its tier
	ready          bool    // listed as ready
	health         balancer.HealthState
	unresponsive   bool       // demoted for silence, not for an answer
	checking       bool       // a probe is under way
	limit          float64    // attempts it may hold of this agent
	inFlight       []*attempt // attempts out, oldest first
	address        balancer.Addr
	cell           int
	// how far the clock that its start is told by is known to be behind
	clockLag         float64
	healthSince      float64 // when the state was entered
	unreachableSince float64 // first failed connect since it last answered; 0: none
	ejectionLevel    int     // how often it failed of late; sets the hold
	successes        int     // served since the last change of strikes
	lastResponseAt   float64 // when it last answered anything
	// mean answer time as a part of the aim, and the least it has been
	latency, baseline              float64
	latencySamples                 int
	limitCutAt                     float64 // when its window was last cut
	lastForwardAt, forwardInterval float64 // last attempt, and mean time between attempts
	responseMs                     float64 // mean answer time
	slowStartCredit                float64 // work a cold server may still be sent
	score                          float64 // place in a request's order; lower is nearer
}

// class is what is known of one class of requests. Those that came under other rules than
// are in force now have one of their own.
type class struct {
	balancer.Class
	expectedMs       float64 // mean answer time
	requestShare     float64 // its share of requests
	inTimeShare      float64 // and of those served in time
	longestTimeoutMs float64 // the longest that a client gave a try
}

// attempt is one send of a request.
type attempt struct {
	request   *request
	server    *server
	index     int
	startedAt float64
	counted   bool // its server has all of it
	alone     bool // no other of this agent was out on its server
	ended     bool
}

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id                      balancer.RequestID
	class                   *class
	maxAttempts             int  // attempts that it may have
	streamedBody            bool // goes to its server as it comes
	key                     uint64
	partitionKey            uint64  // the key, or one of its parts
	firstArrivedAt          float64 // when the client's first try came, as far as known
	arrivedAt, objectiveAt  float64
	deadline                float64 // margin already taken off
	attempts                []*attempt
	inFlight                int // attempts out
	maybeExecuted           int // attempts that may have run
	executedAt              float64
	executedOn              *server
	nearest                 [preferredServers]*server // nearest its key, as of epoch
	nearestEpoch            uint64
	tierWeight              float64 // of the tier at its last pick
	priority                float64
	closed, responseStarted bool // started: a streamed answer belongs to the client now
}

// past is what is remembered of an unserved request, to know its retry.
type unservedRequest struct {
	class          string
	key            uint64
	firstArrivedAt float64
	expiresAt      float64 // the client has given up by then
}

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	settings  balancer.Settings
	rng       *rand.Rand
	now       float64
	actions   []balancer.Action
	servers   []*server // by address
	byAddress map[balancer.Addr]*server
	requests  map[balancer.RequestID]*request
	queued    []*request
	// requests of each key, of keyed in all, halved now and then
	keyCounts                      map[uint64]float64
	keyTotal                       float64
	tier                           []*server // scratch of pick
	busy                           []*server // the listed ones with attempts out, by address
	demoted                        []*server // see demotedServers, as of demotedEpoch
	demotedEpoch                   uint64
	warming                        []*server // see coldServers, as of coldAt, coldEpoch and coldStarts
	warmingAt                      float64
	warmingEpoch                   uint64
	warmingRestarts                uint64
	restarts                       uint64 // counts changes of what counts as cold that the epoch does not
	unserved                       []unservedRequest
	warm, warmAt                   float64 // weight of warm servers, at warmAt and warmEpoch
	warmEpoch                      uint64
	warmStarts                     uint64
	warmWarming                    int     // number of cold servers when it was summed up
	warmGoneAt                     float64 // when the last warm server was gone
	epoch                          uint64  // counts changes of tiers and list
	zonePreference                 float64 // how much more a server of the own zone weighs
	inFlight                       int
	limit, limitCutAt              float64 // attempts that it may have out at all servers; last cut
	unloadedLatency                float64 // the least that fleetLat has been of late
	overloadedFraction             float64 // part of the answers of late that met a crowded server
	lastForwardAt, forwardInterval float64 // last attempt, and mean time between attempts
	finished, earned               float64 // ended tries, fading, and what they gained
	retryTokens                    float64 // further attempts that may be made
	checksUnderWay                 int
	checkTokens                    float64 // probes that may be sent
	classes                        []*class
	responses                      float64 // served so far
	fleetLatency                   float64 // mean answer time as a part of the aim, all servers
	baselineLatency                float64 // the same when nothing is crowded
	worst                          *class  // the class served worst
	meanWeight                     float64 // mean worth of a request
	minObjectiveMs                 float64
	lastFetchAt                    float64 // last fetch of the list
	failedPolls                    int     // failed calls in a row
	pollScheduled                  bool    // the time of the next call for the list is set
	// work sent to a warm server of weight one, fading over the cold time
	warmRate, warmRateAt float64
	ticking              bool
	saturated            bool // requests that would take any server find no room
}

// classOf is the class with these rules. Where the rules have changed what was learned of
// the class is taken along.
func (b *Balancer) classOf(rules balancer.Class) *class {
	k := &class{Class: rules, expectedMs: rules.LatencyObjectiveMs * maxMeanLatency / 2,
		requestShare: 1, inTimeShare: 1}
	for _, c := range b.classes {
		if c.Class == rules {
			return c
		}
		if c.Name == rules.Name {
			k.expectedMs, k.requestShare, k.inTimeShare = c.expectedMs, c.requestShare, c.inTimeShare
		}
	}
	return k
}

// tally keeps the classes' shares of requests, and which is served worst.
func (b *Balancer) countRequest(of *class) {
	b.meanWeight = 0
	for _, c := range b.classes {
		c.requestShare, c.inTimeShare = c.requestShare*shareDecay, c.inTimeShare*shareDecay
		if c == of {
			c.requestShare += 1 - shareDecay
		}
		b.meanWeight += c.requestShare * c.PriorityWeight
		if c.inTimeShare*b.worst.requestShare < b.worst.inTimeShare*c.requestShare {
			b.worst = c
		}
	}
}

// countKey counts a request of the key; counts are halved when there are too many.
func (b *Balancer) countKey(key uint64, most float64) {
	if b.keyTotal >= most {
		b.keyTotal /= 2
		for k := range b.keyCounts {
			if b.keyCounts[k] /= 2; b.keyCounts[k] < 0.5 {
				delete(b.keyCounts, k)
			}
		}
	}
	b.keyTotal++
	b.keyCounts[key]++
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) rememberUnserved(r *request) {
	b.unserved = slices.DeleteFunc(b.unserved, func(p unservedRequest) bool { return b.now > p.expiresAt })
	if b.settings.Clients.MarksRetry && len(b.unserved) < maxQueued {
		b.unserved = append(b.unserved, unservedRequest{r.class.Name, r.key, r.firstArrivedAt,
			r.firstArrivedAt + r.class.TotalTimeoutMs})
	}
}

// firstTry is when the client's first try came. That of a marked retry is remembered. Where
// retries bear no mark they lack what has passed of the time for all tries, if a try may have it all.
func (b *Balancer) firstArrival(c *class, ev *balancer.Event) float64 {
	c.longestTimeoutMs = max(c.longestTimeoutMs, min(ev.RemainingMs, c.TotalTimeoutMs))
	if !b.settings.Clients.MarksRetry && c.longestTimeoutMs > fullTimeoutFraction*c.TotalTimeoutMs {
		return b.now - max(c.longestTimeoutMs-ev.RemainingMs, 0)
	}
	i := slices.IndexFunc(b.unserved, func(p unservedRequest) bool {
		return p.class == c.Name &&
			p.key == ev.Key
	})
	if !ev.Retry || i < 0 {
		return b.now
	}
	first := b.unserved[i].firstArrivedAt
	b.unserved = slices.Delete(b.unserved, i, i+1)
	return first
}

// gain counts an ended try and the part of its worth that it earned.
func (b *Balancer) recordFinished(part float64) {
	b.finished += 1 - b.finished/shedWindow
	b.earned += part - b.earned/shedWindow
}

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) slowStartFraction(s *server) float64 {
	c := &b.settings.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.SlowStartMs || s.restartAssumed && age > c.PollWithinMs {
		return 1 // long past, or assumed and not borne out by the list in its time
	}
	return c.SlowStartFrom + (1-c.SlowStartFrom)*max(age, 0)/c.SlowStartMs
}

// warmWeight is the weight of the servers of the top tier that are not cold, counted once for all
// decisions of a moment, and again only where a server's state, listing or warmth has changed.
func (b *Balancer) warmWeight() float64 {
	if b.warmAt == b.now && b.warmEpoch == b.epoch {
		return b.warm
	}
	cold := len(b.slowStartServers())
	same := b.warmEpoch == b.epoch && b.warmStarts == b.restarts && b.warmWarming == cold
	b.warmAt, b.warmEpoch, b.warmStarts, b.warmWarming = b.now, b.epoch, b.restarts, cold
	if same {
		return b.warm
	}
	before := b.warm
	b.warm = 0
	for _, s := range b.servers {
		if b.isWarm(s) {
			b.warm += s.weight
		}
	}
	if before > 0 && b.warm == 0 {
		b.warmGoneAt = b.now
	}
	return b.warm
}

// isWarm tells whether a server counts in warmWeight.
func (b *Balancer) isWarm(s *server) bool {
	return s.ready && s.health <= balancer.Unknown && b.slowStartFraction(s) == 1
}

// coldServers returns the listed servers that are not warm, by address. Between changes of the list
// and of starts time can only make them fewer.
func (b *Balancer) slowStartServers() []*server {
	rampEnded := func(s *server) bool { return b.slowStartFraction(s) == 1 }
	if b.warmingEpoch != b.epoch || b.warmingRestarts != b.restarts || b.now < b.warmingAt {
		b.warming = append(b.warming[:0], b.servers...)
		b.warmingEpoch, b.warmingRestarts = b.epoch, b.restarts
	}
	b.warming = slices.DeleteFunc(b.warming, rampEnded)
	b.warmingAt = b.now
	return b.warming
}

// demotedServers returns the listed servers that are Unhealthy or wait for validation, by address.
// The slice is valid until the next call.
func (b *Balancer) demotedServers() []*server {
	if b.demotedEpoch == b.epoch {
		return b.demoted
	}
	b.demoted, b.demotedEpoch = b.demoted[:0], b.epoch
	for _, s := range b.servers {
		if s.health >= balancer.UnhealthyPending {
			b.demoted = append(b.demoted, s)
		}
	}
	return b.demoted
}

// markBusy notes that a server has its first attempt out. One that the list has dropped since its
// request was sent is not watched any more.
func (b *Balancer) markBusy(s *server) {
	if b.byAddress[s.address] != s {
		return
	}
	i, _ := slices.BinarySearchFunc(b.busy, s, compareAddress)
	b.busy = slices.Insert(b.busy, i, s)
}

// byAddress compares servers by address.
func compareAddress(x, y *server) int { return cmp.Compare(x.address.Uint64(), y.address.Uint64()) }

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) setHealth(s *server, to balancer.HealthState) {
	if s.health > balancer.Unknown || to > balancer.Unknown {
		b.epoch++
	}
	s.health, s.healthSince = to, b.now
}

// mean moves a running mean towards x; the first value is taken whole.
func movingMean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// mix is the finalizer of splitmix64.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// View sums up the moment, for the log.
func (b *Balancer) Stats() balancer.Stats {
	v := balancer.Stats{Queued: len(b.queued), InFlight: b.inFlight, Shed: b.shedFraction(),
		ConcurrencyLimit: b.limit, OverloadedFraction: b.overloadedFraction}
	for _, s := range b.servers {
		v.States[s.health]++
		v.ServerLimits += s.limit
	}
	return v
}
