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

// forwardPace is when attempts were forwarded: of this agent to one server, or to all.
type forwardPace struct {
	lastAt     float64 // time of the last attempt; 0: none
	intervalMs float64 // mean time between two attempts; 0: not known
}

// record counts an attempt forwarded now into the mean interval, by the weight smoothing.
func (p *forwardPace) record(now, smoothing float64) {
	if p.lastAt > 0 {
		p.intervalMs = movingMean(p.intervalMs, now-p.lastAt, smoothing)
	}
	p.lastAt = now
}
