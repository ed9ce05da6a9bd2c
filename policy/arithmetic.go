package policy

const (
	// serverSmoothing is the weight of one value in a moving mean for a single server.
	serverSmoothing = 0.2
	// fleetSmoothing is the weight of one value in a moving mean for all servers.
	fleetSmoothing = 0.005
)

// Constants of SplitMix64.
const (
	splitmixIncrement        = 0x9e3779b97f4a7c15
	splitmixFirstMultiplier  = 0xbf58476d1ce4e5b9
	splitmixSecondMultiplier = 0x94d049bb133111eb
)

// movingMean returns an exponentially weighted moving mean after a new value with the given weight (0 to
// 1). A mean of 0 means that there was no value before.
func movingMean(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// splitmix64 returns a hash of x: one step of the generator SplitMix64 (Steele, Lea and Flood 2014), which
// adds the increment and applies the finalizer.
func splitmix64(x uint64) uint64 {
	x += splitmixIncrement
	x = (x ^ x>>30) * splitmixFirstMultiplier
	x = (x ^ x>>27) * splitmixSecondMultiplier
	return x ^ x>>31
}

// tokenBucket limits the number of actions to a fraction of the number of other events: each event deposits
// a fraction of a token, up to the capacity, and each action withdraws one token.
type tokenBucket struct {
	tokens   float64 // tokens available
	refill   float64 // tokens that one deposit adds
	capacity float64 // maximum number of tokens
}

// newTokenBucket returns a full bucket.
func newTokenBucket(refill, capacity float64) *tokenBucket {
	return &tokenBucket{tokens: capacity, refill: refill, capacity: capacity}
}

// deposit adds the tokens for one event that refills the bucket, up to its capacity.
func (t *tokenBucket) deposit() { t.tokens = min(t.tokens+t.refill, t.capacity) }

// hasToken reports whether there is a token for an action.
func (t *tokenBucket) hasToken() bool { return t.tokens >= 1 }

// withdraw takes the token of one action.
func (t *tokenBucket) withdraw() { t.tokens-- }

// forwardTimes records the times at which this agent forwarded attempts, either to a single server or to all
// servers. Times are in milliseconds.
type forwardTimes struct {
	lastAt         float64 // when the last attempt was forwarded; 0: none yet
	meanIntervalMs float64 // moving mean of the interval between two attempts; 0: unknown
}

// record adds an attempt that is forwarded now; smoothing is the weight of one interval in the mean.
func (f *forwardTimes) record(now, smoothing float64) {
	if f.lastAt > 0 {
		f.meanIntervalMs = movingMean(f.meanIntervalMs, now-f.lastAt, smoothing)
	}
	f.lastAt = now
}
