package policy

import "math"

const (
	// maxPartitionShare is the maximum load of one partition of a key, as a fraction of the even share of
	// one server.
	maxPartitionShare = 0.25
	// keyCountWindow is the number of requests over which the share of a key is measured, as a multiple of
	// the maximum number of its partitions.
	keyCountWindow = 2.0
	// minKeyCount is the number of requests below which the count of a key is deleted.
	minKeyCount = 0.5
)

// keyPartitions counts the requests of each affinity key and splits popular keys into partitions. The
// load cap alone does not spread a popular key, because in a large fleet no agent has enough attempts in
// flight to reach the cap.
type keyPartitions struct {
	env       *environment
	endpoints *endpointList
	counts    map[uint64]float64 // number of requests by key, halved when total reaches the window
	total     float64            // number of requests of all keys, halved with the counts
}

// newKeyPartitions returns a keyPartitions without counts.
func newKeyPartitions(env *environment, endpoints *endpointList) *keyPartitions {
	return &keyPartitions{env: env, endpoints: endpoints, counts: map[uint64]float64{}}
}

// choose counts a request of the key and returns its partition key: the key itself, or that of another
// partition of the key, which has a different order of servers. The partition is chosen at random. While
// few requests are counted, each key has two partitions. Key 0 means that the request has no key.
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

// count counts a request of the key. It halves all counts first if their total has reached the window.
func (k *keyPartitions) count(key uint64, window float64) {
	if k.total >= window {
		k.halve()
	}
	k.total++
	k.counts[key]++
}

// halve halves all counts and deletes those that fall below minKeyCount.
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
