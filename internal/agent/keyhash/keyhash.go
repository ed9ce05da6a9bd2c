// Package keyhash hashes keys, IDs and addresses identically at every agent.
package keyhash

import "hash/fnv"

// Sum returns the 64-bit FNV-1a hash of text, or 1 if that hash is 0. Unlike hash/maphash, which has a random seed in
// each process, it returns the same hash at every agent.
func Sum(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // never returns an error
	if sum := h.Sum64(); sum != 0 {
		return sum
	}
	return 1
}

// Constants of MurmurHash3's 64-bit finalizer.
const (
	mixShift   = 33
	mixFactor1 = 0xff51afd7ed558ccd
	mixFactor2 = 0xc4ceb9fe1a85ec53
)

// Mix applies the 64-bit finalizer of MurmurHash3, which spreads differences in the low bits of a hash over all of its
// bits.
func Mix(h uint64) uint64 {
	h = (h ^ h>>mixShift) * mixFactor1
	h = (h ^ h>>mixShift) * mixFactor2
	return h ^ h>>mixShift
}
