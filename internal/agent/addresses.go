package agent

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// With the section "control" the agent keeps its watch by itself, at one of several addresses. A
// change is known 11 s after its acknowledgement at the latest, whatever three of four addresses do
// or one fails of itself:
//   - a call that stands when its instance falls silent, is paused or cut off is given up after
//     watchWait + callGrace = 2.25 s; one whose connection does not come up, after callGrace; one that is
//     refused or reset, at once;
//   - the next address is asked moveMost = 0.75 s later at the most, and the bound of callsPerS adds 0.1 s;
//   - so each silent address costs 3.1 s, and the fourth is asked after 3 x 3.1 = 9.3 s and answers at
//     once, 1.7 s before the bound. With the one that fell silent among others that answer: 3.1 s.
//
// Where all have failed, the wait before the next turn is up to turnMost = 4 s: once they are back and
// have a leader, an agent has asked one of them 4.1 s later, or 3.1 s more for each that stays silent.
const (
	// moveMost bounds the wait before the next address is asked: agents that hung on one instance
	// must not come to the others in step.
	maxFailoverDelay = 750 * time.Millisecond
	// turnFirst and turnMost bound the wait, drawn evenly from nothing up to a bound that doubles, before
	// the next turn once all addresses have failed in one.
	minRoundBackoff, maxRoundBackoff = time.Second, 4 * time.Second
)

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

// mix spreads what differs in a hash's low bits over all of it (the finalizer of MurmurHash3).
func mixHash(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

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

// turn says how long a watch waits after a failure; it belongs to the watch.
type addressBackoff struct {
	backoff  backoff.ExponentialBackOff
	failures int
}

func newAddressBackoff() *addressBackoff {
	t := &addressBackoff{backoff: backoff.ExponentialBackOff{InitialInterval: minRoundBackoff / 2, MaxInterval: maxRoundBackoff / 2,
		RandomizationFactor: 1, Multiplier: 2}} // so the wait is drawn from nothing to twice the interval
	t.backoff.Reset()
	return t
}

// wait is the time from a failure to the next call, where so many addresses are asked in turn.
func (t *addressBackoff) nextDelay(addrs int) time.Duration {
	if t.failures++; t.failures < addrs {
		return rand.N(maxFailoverDelay)
	}
	t.failures = 0
	return t.backoff.NextBackOff()
}

// answered begins anew, as after the start.
func (t *addressBackoff) reset() {
	t.failures = 0
	t.backoff.Reset()
}

// errLost ends a call whose connection was lost.
var errConnectionLost = errors.New("the connection was lost")

// hadConn is the key of whether a call has had a connection.
type hadConnKey struct{}

// onOneConn is the context of a call that is not made again by itself. The client of net/http makes a call
// whose kept connection is lost again at once, on a new one: at an instance's fall all its agents would.
func withSingleConn(ctx context.Context) context.Context {
	had := new(atomic.Bool)
	ctx = context.WithValue(ctx, hadConnKey{}, had)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { had.Store(true) }})
}
