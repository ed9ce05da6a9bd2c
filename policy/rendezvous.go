package policy

import "math"

// position is where a hash falls between 0 and 1, in steps of 1/positionSteps.
type position uint64

const (
	// hashBits is the number of bits of a hash.
	hashBits = 64
	// positionBits is the number of bits of a position: those of a float64's mantissa.
	positionBits = 53
	// positionSteps is the number of positions.
	positionSteps = 1 << positionBits
	// logarithmBits is a number of bits to which a logarithm is surely exact.
	logarithmBits = 40
	// logarithmMargin is below 1 by more than the relative error of a logarithm.
	logarithmMargin = 1 - 1.0/(1<<logarithmBits)
	// minPosition keeps the logarithm of position 0 finite.
	minPosition = 1e-18
)

// newPosition returns the position of a hash, from its upper bits.
func newPosition(hash uint64) position { return position(hash >> (hashBits - positionBits)) }

// score orders servers by weighted rendezvous hashing (Thaler and Ravishankar 1998; the weights by
// the logarithm, as for exponentially distributed variables): the lowest score comes first, and a
// server's share of keys is its share of the weight.
func (p position) score(weight float64) float64 {
	return -math.Log(float64(p)/positionSteps+minPosition) / weight
}

// minScore is at most the score and costs a fraction of it: 1-u is at most -log(u), by
// logarithmMargin also as computed, and division of both by one weight keeps their order.
func (p position) minScore(weight float64) float64 {
	return float64(positionSteps-p) / positionSteps * logarithmMargin / weight
}
