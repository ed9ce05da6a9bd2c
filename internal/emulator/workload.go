package emulator

import (
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"
)

// workloadStream is the random number stream for the calls of the first client. The streams of the other clients follow
// it.
const workloadStream = 3000

// mostPopularKey is the key of rank 1 in Zipf's distribution, which a TrafficChange's HotKeyShare refers to.
const mostPopularKey = 1

// call is a call of a client application, drawn from the seed. The client sends a request for it and possibly retries.
type call struct {
	due            time.Duration
	class          int
	key            uint64
	work           time.Duration // on a standard core
	dependencyWait time.Duration
}

// workload draws the calls of one client from the seed alone.
type workload struct {
	emulator    *Emulator
	clientShare float64 // fraction of all calls
	source      rand.Source
	random      *rand.Rand
	keys        distuv.Categorical // Zipf distribution over the ranks of the keys
	classShares []float64
	due         time.Duration // due time of the last call, from the start of the traffic
}

// newWorkload returns the workload of a client that makes the given fraction of all calls.
func newWorkload(e *Emulator, clientIndex int, clientShare float64) *workload {
	config := &e.config
	source := rand.NewPCG(config.Seed, workloadStream+uint64(clientIndex))
	weights := make([]float64, config.Keys)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -config.Zipf)
	}
	classShares := make([]float64, len(config.Classes))
	for i := range config.Classes {
		classShares[i] = config.Classes[i].Share
	}
	return &workload{
		emulator:    e,
		clientShare: clientShare,
		source:      source,
		random:      rand.New(source),
		keys:        distuv.NewCategorical(weights, source),
		classShares: classShares,
	}
}

// next draws the next call of a Poisson process. The time at which a call is due counts from the start of the traffic.
// next returns false if the call would not be due within the given length of the traffic. The order of the draws must
// not change, because it determines the calls of a seed.
func (w *workload) next(length time.Duration) (call, bool) {
	config := &w.emulator.config
	rateFactor, hotKeyShare := w.emulator.trafficAt(w.due)
	w.due += secondsToDuration(w.random.ExpFloat64() / (config.Rate * w.clientShare * rateFactor))
	if w.due >= length {
		return call{}, false
	}
	class := pickShare(w.random.Float64(), w.classShares)
	key := 1 + uint64(w.keys.Rand())
	work := sampleWork(&config.Classes[class], w.source)
	if w.random.Float64() < hotKeyShare {
		key = mostPopularKey
	}
	return call{
		due:            w.due,
		class:          class,
		key:            key,
		work:           work,
		dependencyWait: config.Classes[class].DependencyWait,
	}, true
}

// sampleWork draws a call's work: fixed, or from a log-normal distribution with the class's mean.
func sampleWork(class *Class, source rand.Source) time.Duration {
	if class.WorkCV == 0 {
		return class.Work
	}
	variance := math.Log(1 + class.WorkCV*class.WorkCV) // of the logarithm of the work
	distribution := distuv.LogNormal{
		Mu:    math.Log(class.Work.Seconds()) - variance/2,
		Sigma: math.Sqrt(variance),
		Src:   source,
	}
	return secondsToDuration(distribution.Rand())
}

// pickShare returns the index of the share into which x falls. x is a number from 0 to below 1. The shares are relative
// to their sum.
func pickShare(x float64, shares []float64) int {
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	for i, share := range shares {
		x -= share / sum
		if x < 0 {
			return i
		}
	}
	return len(shares) - 1
}
