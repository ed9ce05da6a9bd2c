// Package keyhash hashes keys, ids and addresses in the same way at every agent.
package keyhash

import "hash/fnv"

// Sum is the hash of a text by FNV-1a (64 bits), with 1 in place of 0. It is the same at every agent, which the hash of
// maphash is not.
func Sum(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // a hash.Hash never returns an error
	if sum := h.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// The constants of MurmurHash3's finalizer.
const (
	mixShift   = 33
	mixFactor1 = 0xff51afd7ed558ccd
	mixFactor2 = 0xc4ceb9fe1a85ec53
)

// Mix spreads what differs in a hash's low bits over all of it (the finalizer of MurmurHash3).
func Mix(h uint64) uint64 {
	h = (h ^ h>>mixShift) * mixFactor1
	h = (h ^ h>>mixShift) * mixFactor2
	return h ^ h>>mixShift
}
