package agent

import (
	"context"
	"sync/atomic"
	"time"
)

// place is where discovery is, at one address or at several that tell one list; left is done once
// it is elsewhere.
type discoverySource struct {
	addressRing
	moved     context.Context
	markMoved context.CancelFunc
	// version is what its watch has reached, by its own count; 0: all is still to be asked for.
	// It belongs to the watch, of which there is one at a time.
	version uint64
	// answered is when it last answered a call, on the monotonic clock in ns; 0: never.
	answered atomic.Int64
	// past counts answers from the past, one after the other, of the watch.
	olderAnswers int
}

func newDiscoverySource(version uint64, addrs ...string) *discoverySource {
	left, leave := context.WithCancel(context.Background())
	return &discoverySource{addressRing: addressRing{addrs: addrs}, moved: left, markMoved: leave, version: version}
}

// lastAnswer is when it last answered a call; 0: never.
func (p *discoverySource) lastAnswer() time.Duration { return time.Duration(p.answered.Load()) }

// ring is the addresses of a place, of which one is asked until a call there fails.
type addressRing struct {
	addrs   []string
	current atomic.Uint32
}

// now is the address to ask, and which that is.
func (r *addressRing) address() (addr string, at uint32) {
	at = r.current.Load()
	return r.addrs[int(at)%len(r.addrs)], at
}

// failed goes on to the next address, unless another call has done so already.
func (r *addressRing) advance(at uint32) { r.current.CompareAndSwap(at, at+1) }

// order is all addresses in an agent's own order, by a hash of its name: the agents begin spread over
// the addresses, and those of one that fails go on to different ones. An address is in the place that
// its own hash with the name gives it, so that another that comes or goes moves few agents.
func orderAddresses(addrs []string, name string) []string {
	out := make([]string, 0, len(addrs))
	for _, addr := range addrs {
		at := len(out)
		for i, o := range out {
			if mixHash(hashString(name+"\x00"+addr)) < mixHash(hashString(name+"\x00"+o)) {
				at = i
				break
			}
		}
		out = append(out[:at:at], append([]string{addr}, out[at:]...)...)
	}
	return out
}
