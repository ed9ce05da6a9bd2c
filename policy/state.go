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
	hash        uint64
	zone        int
	weight      float64
	startedAt   float64 // as listed on the agent's clock, or later where a restart is assumed
	listedAt    float64 // start of its process by the list
	assumed     bool    // startedAt is of a restart that the list has not told
	restUntil   float64 // passed over in its tier
	usable      bool    // listed as ready
	state       balancer.HealthState
	silent      bool       // demoted for silence, not for an answer
	probing     bool       // a probe is under way
	window      float64    // attempts it may hold of this agent
	out         []*attempt // attempts out, oldest first
	id          balancer.Addr
	cell        int
	behind      float64 // how far the clock that its start is told by is known to be behind
	since       float64 // when the state was entered
	lostAt      float64 // first failed connect since it last answered; 0: none
	strikes     int     // how often it failed of late; sets the hold
	good        int     // served since the last change of strikes
	heard       float64 // when it last answered anything
	lat, calm   float64 // mean answer time as a part of the aim, and the least it has been
	samples     int
	cutAt       float64 // when its window was last cut
	sentAt, gap float64 // last attempt, and mean time between attempts
	rtt         float64 // mean answer time
	credit      float64 // work a cold server may still be sent
	score       float64 // place in a request's order; lower is nearer
}

// class is what is known of one class of requests. Those that came under other rules than
// are in force now have one of their own.
type class struct {
	balancer.Class
	expect float64 // mean answer time
	asked  float64 // its share of requests
	won    float64 // and of those served in time
	given  float64 // the longest that a client gave a try
}

// attempt is one send of a request.
type attempt struct {
	r      *request
	s      *server
	index  int
	sentAt float64
	begun  bool // its server has all of it
	alone  bool // no other of this agent was out on its server
	done   bool
}

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id              balancer.RequestID
	class           *class
	most            int  // attempts that it may have
	long            bool // goes to its server as it comes
	key             uint64
	spot            uint64  // the key, or one of its parts
	first           float64 // when the client's first try came, as far as known
	arrived, aimAt  float64
	deadline        float64 // margin already taken off
	attempts        []*attempt
	open            int // attempts out
	risky           int // attempts that may have run
	ranAt           float64
	ranOn           *server
	near            [keyServers]*server // nearest its key, as of epoch
	epoch           uint64
	tierWeight      float64 // of the tier at its last pick
	value           float64
	closed, started bool // started: a streamed answer belongs to the client now
}

// past is what is remembered of an unserved request, to know its retry.
type past struct {
	class string
	key   uint64
	first float64
	until float64 // the client has given up by then
}

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set             balancer.Settings
	rng             *rand.Rand
	now             float64
	out             []balancer.Action
	servers         []*server // by address
	byAddr          map[balancer.Addr]*server
	requests        map[balancer.RequestID]*request
	held            []*request
	keys            map[uint64]float64 // requests of each key, of keyed in all, halved now and then
	keyed           float64
	tier            []*server // scratch of pick
	busy            []*server // the listed ones with attempts out, by address
	demoted         []*server // see demotedServers, as of demotedEpoch
	demotedEpoch    uint64
	cold            []*server // see coldServers, as of coldAt, coldEpoch and coldStarts
	coldAt          float64
	coldEpoch       uint64
	coldStarts      uint64
	starts          uint64 // counts changes of what counts as cold that the epoch does not
	pasts           []past
	warm, warmAt    float64 // weight of warm servers, at warmAt and warmEpoch
	warmEpoch       uint64
	warmStarts      uint64
	warmCold        int     // number of cold servers when it was summed up
	warmGoneAt      float64 // when the last warm server was gone
	epoch           uint64  // counts changes of tiers and list
	own             float64 // how much more a server of the own zone weighs
	inflight        int
	room, roomCutAt float64 // attempts that it may have out at all servers; last cut
	ease            float64 // the least that fleetLat has been of late
	over            float64 // part of the answers of late that met a crowded server
	sentAt, gap     float64 // last attempt, and mean time between attempts
	tried, gained   float64 // ended tries, fading, and what they gained
	again           float64 // further attempts that may be made
	probes          int
	mayProbe        float64 // probes that may be sent
	classes         []*class
	answers         float64 // served so far
	fleetLat        float64 // mean answer time as a part of the aim, all servers
	calmLat         float64 // the same when nothing is crowded
	worst           *class  // the class served worst
	credit          float64 // mean worth of a request
	aimMin          float64
	lookedAt        float64 // last fetch of the list
	follows         int     // failed calls in a row
	calling         bool    // the time of the next call for the list is set
	flow, flowAt    float64 // work sent to a warm server of weight one, fading over the cold time
	ticking         bool
	scarce          bool // requests that would take any server find no room
}

// classOf is the class with these rules. Where the rules have changed what was learned of
// the class is taken along.
func (b *Balancer) classOf(rules balancer.Class) *class {
	k := &class{Class: rules, expect: rules.LatencyObjectiveMs * crowdShare / 2, asked: 1, won: 1}
	for _, c := range b.classes {
		if c.Class == rules {
			return c
		}
		if c.Name == rules.Name {
			k.expect, k.asked, k.won = c.expect, c.asked, c.won
		}
	}
	return k
}

// tally keeps the classes' shares of requests, and which is served worst.
func (b *Balancer) tally(of *class) {
	b.credit = 0
	for _, c := range b.classes {
		c.asked, c.won = c.asked*fade, c.won*fade
		if c == of {
			c.asked += 1 - fade
		}
		b.credit += c.asked * c.PriorityWeight
		if c.won*b.worst.asked < b.worst.won*c.asked {
			b.worst = c
		}
	}
}

// countKey counts a request of the key; counts are halved when there are too many.
func (b *Balancer) countKey(key uint64, most float64) {
	if b.keyed >= most {
		b.keyed /= 2
		for k := range b.keys {
			if b.keys[k] /= 2; b.keys[k] < 0.5 {
				delete(b.keys, k)
			}
		}
	}
	b.keyed++
	b.keys[key]++
}

// remember keeps when an unserved request first came, so that its retry is
// judged by the time that has passed for the client.
func (b *Balancer) remember(r *request) {
	b.pasts = slices.DeleteFunc(b.pasts, func(p past) bool { return b.now > p.until })
	if b.set.Clients.MarksRetry && len(b.pasts) < maxHeld {
		b.pasts = append(b.pasts, past{r.class.Name, r.key, r.first, r.first + r.class.TotalTimeoutMs})
	}
}

// firstTry is when the client's first try came. That of a marked retry is remembered. Where
// retries bear no mark they lack what has passed of the time for all tries, if a try may have it all.
func (b *Balancer) firstTry(c *class, ev *balancer.Event) float64 {
	c.given = max(c.given, min(ev.RemainingMs, c.TotalTimeoutMs))
	if !b.set.Clients.MarksRetry && c.given > wholeTime*c.TotalTimeoutMs {
		return b.now - max(c.given-ev.RemainingMs, 0)
	}
	i := slices.IndexFunc(b.pasts, func(p past) bool { return p.class == c.Name && p.key == ev.Key })
	if !ev.Retry || i < 0 {
		return b.now
	}
	first := b.pasts[i].first
	b.pasts = slices.Delete(b.pasts, i, i+1)
	return first
}

// gain counts an ended try and the part of its worth that it earned.
func (b *Balancer) gain(part float64) {
	b.tried += 1 - b.tried/shedMemory
	b.gained += part - b.gained/shedMemory
}

// ramp is the part of its capacity that a started server has by the contract.
func (b *Balancer) ramp(s *server) float64 {
	c := &b.set.Contract
	age := b.now - s.startedAt
	if s.startedAt <= 0 || age >= c.SlowStartMs || s.assumed && age > c.PollWithinMs {
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
	cold := len(b.coldServers())
	same := b.warmEpoch == b.epoch && b.warmStarts == b.starts && b.warmCold == cold
	b.warmAt, b.warmEpoch, b.warmStarts, b.warmCold = b.now, b.epoch, b.starts, cold
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
	return s.usable && s.state <= balancer.Unknown && b.ramp(s) == 1
}

// coldServers returns the listed servers that are not warm, by address. Between changes of the list
// and of starts time can only make them fewer.
func (b *Balancer) coldServers() []*server {
	rampEnded := func(s *server) bool { return b.ramp(s) == 1 }
	if b.coldEpoch != b.epoch || b.coldStarts != b.starts || b.now < b.coldAt {
		b.cold = append(b.cold[:0], b.servers...)
		b.coldEpoch, b.coldStarts = b.epoch, b.starts
	}
	b.cold = slices.DeleteFunc(b.cold, rampEnded)
	b.coldAt = b.now
	return b.cold
}

// demotedServers returns the listed servers that are Unhealthy or wait for validation, by address.
// The slice is valid until the next call.
func (b *Balancer) demotedServers() []*server {
	if b.demotedEpoch == b.epoch {
		return b.demoted
	}
	b.demoted, b.demotedEpoch = b.demoted[:0], b.epoch
	for _, s := range b.servers {
		if s.state >= balancer.UnhealthyPending {
			b.demoted = append(b.demoted, s)
		}
	}
	return b.demoted
}

// markBusy notes that a server has its first attempt out. One that the list has dropped since its
// request was sent is not watched any more.
func (b *Balancer) markBusy(s *server) {
	if b.byAddr[s.id] != s {
		return
	}
	i, _ := slices.BinarySearchFunc(b.busy, s, byAddress)
	b.busy = slices.Insert(b.busy, i, s)
}

// byAddress compares servers by address.
func byAddress(x, y *server) int { return cmp.Compare(x.id.Uint64(), y.id.Uint64()) }

// enter notes a server's new state and its time; tiers have changed.
func (b *Balancer) enter(s *server, to balancer.HealthState) {
	if s.state > balancer.Unknown || to > balancer.Unknown {
		b.epoch++
	}
	s.state, s.since = to, b.now
}

// mean moves a running mean towards x; the first value is taken whole.
func mean(old, x, weight float64) float64 {
	if old == 0 {
		return x
	}
	return old + weight*(x-old)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// View sums up the moment, for the log.
func (b *Balancer) Stats() balancer.Stats {
	v := balancer.Stats{Queued: len(b.held), InFlight: b.inflight, Shed: b.shed(),
		ConcurrencyLimit: b.room, OverloadedFraction: b.over}
	for _, s := range b.servers {
		v.States[s.state]++
		v.ServerLimits += s.window
	}
	return v
}
