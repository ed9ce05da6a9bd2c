package policy

import "math"

// position is a hash mapped to the range from 0 to 1, in units of 1/positionSteps.
type position uint64

const (
	// hashBits is the number of bits of a hash.
	hashBits = 64
	// positionBits is the number of bits of a position: the precision of a float64.
	positionBits = 53
	// positionSteps is the number of positions.
	positionSteps = 1 << positionBits
	// logarithmBits is a number of bits to which computed logarithms are certainly exact.
	logarithmBits = 40
	// logarithmMargin is less than 1 by more than the relative error of a computed logarithm.
	logarithmMargin = 1 - 1.0/(1<<logarithmBits)
	// positionOffset is added to a position to keep the logarithm of position 0 finite.
	positionOffset = 1e-18
)

// newPosition returns the position of a hash, from its upper bits.
func newPosition(hash uint64) position { return position(hash >> (hashBits - positionBits)) }

// score returns the score of a server with the given weight in weighted rendezvous hashing (Thaler and
// Ravishankar 1998; the weight divides the logarithm, as for exponentially distributed variables). The
// server with the lowest score comes first, and a server's share of the keys is its share of the weight.
func (p position) score(weight float64) float64 {
	return -math.Log(float64(p)/positionSteps+positionOffset) / weight
}

// minScore returns a lower bound of the score that is much cheaper to compute: 1-u is at most -log(u).
// logarithmMargin makes this hold for computed values too, and dividing both by the same weight keeps
// their order.
func (p position) minScore(weight float64) float64 {
	return float64(positionSteps-p) / positionSteps * logarithmMargin / weight
}
