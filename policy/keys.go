package policy

import "math"

const (
	// maxPartitionShare is the most requests that one partition of a key may have, as a part of a
	// server's even share.
	maxPartitionShare = 0.25
	// keyCountWindow is the number of requests, for each partition that there may be, over which
	// the share of a key is measured.
	keyCountWindow = 2.0
	// minKeyCount is the count, in requests, below which a key is dropped.
	minKeyCount = 0.5
)

// keyPartitions counts the requests of each affinity key and splits popular keys into partitions.
// The load cap alone does not spread a popular key: of many agents none has enough attempts in
// flight to reach it.
type keyPartitions struct {
	env       *environment
	endpoints *endpointList
	counts    map[uint64]float64 // requests of each key, halved from time to time
	total     float64            // requests of all keys
}

// newKeyPartitions returns the partitions of an agent that has seen no keys.
func newKeyPartitions(env *environment, endpoints *endpointList) *keyPartitions {
	return &keyPartitions{env: env, endpoints: endpoints, counts: map[uint64]float64{}}
}

// choose counts a request of the key and returns the key by which it is placed: the key itself, or
// one of its partitions, drawn at random, which has its own order of servers. While few requests are
// counted each key has two partitions. Key 0 means that the request has none.
func (k *keyPartitions) choose(key uint64) uint64 {
	if key == 0 {
		return 0
	}
	maxPartitions := float64(len(k.endpoints.servers)) / maxPartitionShare
	k.count(key, keyCountWindow*maxPartitions)
	partitions := k.counts[key] * maxPartitions / (k.total + maxPartitions/2)
	index := uint64(k.env.random.Float64() * math.Ceil(partitions))
	if index == 0 {
		return key
	}
	return splitmix64(key + index)
}

// count counts a request of the key. All counts are halved once their total has reached the window.
func (k *keyPartitions) count(key uint64, window float64) {
	if k.total >= window {
		k.halve()
	}
	k.total++
	k.counts[key]++
}

// halve halves all counts and drops the keys that have become rare.
func (k *keyPartitions) halve() {
	k.total /= 2
	for key, count := range k.counts {
		count /= 2
		if count < minKeyCount {
			delete(k.counts, key)
			continue
		}
		k.counts[key] = count
	}
}
