package policy

const (
	// serverSmoothing is the weight of one value in a moving mean of a server.
	serverSmoothing = 0.2
	// fleetSmoothing is the weight of one value in a moving mean of all servers.
	fleetSmoothing = 0.005
)

// The constants of SplitMix64.
const (
	splitmixIncrement        = 0x9e3779b97f4a7c15
	splitmixFirstMultiplier  = 0xbf58476d1ce4e5b9
	splitmixSecondMultiplier = 0x94d049bb133111eb
)

// movingMean moves an exponentially weighted mean towards value by weight (0 to 1). A mean of 0 has
// no value yet and becomes the value.
func movingMean(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// splitmix64 is one step of the generator SplitMix64 (Steele, Lea and Flood 2014), used as a hash:
// its increment and its finalizer.
func splitmix64(x uint64) uint64 {
	x += splitmixIncrement
	x = (x ^ x>>30) * splitmixFirstMultiplier
	x = (x ^ x>>27) * splitmixSecondMultiplier
	return x ^ x>>31
}

// tokenBucket limits one kind of action to a part of another: each of the other adds a fraction of a
// token, up to the capacity, and each action takes one token.
type tokenBucket struct {
	tokens   float64 // actions that may be taken at once
	refill   float64 // tokens that one deposit adds
	capacity float64 // the most tokens that it holds
}

// newTokenBucket returns a full bucket.
func newTokenBucket(refill, capacity float64) *tokenBucket {
	return &tokenBucket{tokens: capacity, refill: refill, capacity: capacity}
}

// deposit adds the tokens of one refill.
func (t *tokenBucket) deposit() { t.tokens = min(t.tokens+t.refill, t.capacity) }

// hasToken reports whether an action may be taken.
func (t *tokenBucket) hasToken() bool { return t.tokens >= 1 }

// withdraw takes the token of one action.
func (t *tokenBucket) withdraw() { t.tokens-- }

// forwardTimes is when this agent forwarded attempts, to one server or to all. Times are in milliseconds.
type forwardTimes struct {
	lastAt         float64 // when the last attempt was forwarded; 0: none was
	meanIntervalMs float64 // moving mean of the time between two attempts; 0: not known
}

// record counts an attempt that is forwarded now; smoothing is the weight of one interval in the mean.
func (f *forwardTimes) record(now, smoothing float64) {
	if f.lastAt > 0 {
		f.meanIntervalMs = movingMean(f.meanIntervalMs, now-f.lastAt, smoothing)
	}
	f.lastAt = now
}
