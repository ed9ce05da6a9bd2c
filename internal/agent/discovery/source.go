package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/keyhash"
)

// Source is a discovery service, at one address or at several that return the same list.
type Source struct {
	addressRing
	//nolint:containedctx // MoveTo ends the calls to the source, whoever made them
	moved     context.Context // done once another source has replaced this one
	markMoved context.CancelFunc
	// version is the version of this source that the watch has reached. Only the watch uses it, of which there is one at
	// a time.
	version uint64
	// wantsFull means that the next call of the watch requests the full list, as no version of this source is known.
	wantsFull bool
	// answered is when the source last responded to a call, in nanoseconds on the monotonic clock; 0 means never.
	answered atomic.Int64
	// olderAnswers is the number of consecutive responses to the watch that had an older version.
	olderAnswers int
}

// newSource returns a source of whose list a version is known; 0 if none is.
func newSource(version uint64, addrs ...string) *Source {
	moved, markMoved := context.WithCancel(context.Background())
	return &Source{
		addressRing: addressRing{addrs: addrs},
		moved:       moved,
		markMoved:   markMoved,
		version:     version,
		wantsFull:   version == 0,
	}
}

// Addresses returns the addresses of the source.
func (s *Source) Addresses() []string { return s.addrs }

// LastAnswer returns when the source last responded to a call, on the monotonic clock; 0 means never.
func (s *Source) LastAnswer() time.Duration { return time.Duration(s.answered.Load()) }

// countOlderAnswer counts a response with an older version. A single address may lag behind for a time. Once all
// addresses have returned an older version, discovery may have been restored from older data, and the next watch
// requests the full list.
func (s *Source) countOlderAnswer() {
	s.olderAnswers++
	if s.olderAnswers >= len(s.addrs) {
		s.version = 0
		s.wantsFull = true
		s.olderAnswers = 0
	}
}

// addressRing holds the addresses of a source. All calls go to the current address until one of them fails.
type addressRing struct {
	addrs   []string
	current atomic.Uint32
}

// address returns the address to call, and its index for advance.
func (r *addressRing) address() (addr string, index uint32) {
	index = r.current.Load()
	return r.addrs[int(index)%len(r.addrs)], index
}

// advance moves on to the next address after a failure, unless another call has already done so.
func (r *addressRing) advance(index uint32) { r.current.CompareAndSwap(index, index+1) }

// orderAddresses returns all addresses in an order specific to the agent, by rendezvous hashing with its name. The
// agents start spread over the addresses, and when an address fails its agents move on to different ones. Adding or
// removing an address moves few agents.
func orderAddresses(addrs []string, name string) []string {
	rank := func(addr string) uint64 { return keyhash.Mix(keyhash.Sum(name + "\x00" + addr)) }
	ordered := make([]string, 0, len(addrs))
	for _, addr := range addrs {
		position := slices.IndexFunc(ordered, func(other string) bool { return rank(addr) < rank(other) })
		if position < 0 {
			position = len(ordered)
		}
		ordered = slices.Insert(ordered, position, addr)
	}
	return ordered
}
