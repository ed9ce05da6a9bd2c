package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/keyhash"
)

// Source is where discovery is: at one address, or at several that return the same list.
type Source struct {
	addressRing
	//nolint:containedctx // a move ends the calls to the source, whoever made them
	moved     context.Context // done once discovery is elsewhere
	markMoved context.CancelFunc
	// version is what the watch has reached, by the source's own count; 0: the full list is still to be asked
	// for. It belongs to the watch, of which there is one at a time.
	version uint64
	// answered is when the source last responded to a call, on the monotonic clock in ns; 0: never.
	answered atomic.Int64
	// olderAnswers counts consecutive responses to the watch with an older version.
	olderAnswers int
}

func newSource(version uint64, addrs ...string) *Source {
	moved, markMoved := context.WithCancel(context.Background())
	return &Source{
		addressRing: addressRing{addrs: addrs},
		moved:       moved,
		markMoved:   markMoved,
		version:     version,
	}
}

// lastAnswer is when the source last responded to a call, on the monotonic clock; 0: never.
func (s *Source) lastAnswer() time.Duration { return time.Duration(s.answered.Load()) }

// countOlderAnswer counts a response with an older version. Once all addresses have given one, discovery has
// perhaps been restored from less, and the next watch asks for the full list; one of several addresses may lag
// behind for a time.
func (s *Source) countOlderAnswer() {
	s.olderAnswers++
	if s.olderAnswers >= len(s.addrs) {
		s.version = 0
		s.olderAnswers = 0
	}
}

// addressRing is the addresses of a source, of which one is called until a call to it fails.
type addressRing struct {
	addrs   []string
	current atomic.Uint32
}

// address is the address to call, and its index for advance.
func (r *addressRing) address() (addr string, index uint32) {
	index = r.current.Load()
	return r.addrs[int(index)%len(r.addrs)], index
}

// advance moves on to the next address after a failure, unless another call has done so already.
func (r *addressRing) advance(index uint32) { r.current.CompareAndSwap(index, index+1) }

// orderAddresses returns all addresses in an agent's own order, by rendezvous hashing with its name: the agents
// begin spread over the addresses, and those of an address that fails move on to different ones. An address
// that is added or removed moves few agents.
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
