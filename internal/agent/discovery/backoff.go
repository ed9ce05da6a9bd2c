package discovery

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// minWatchBackoff and maxWatchBackoff limit the wait of singleAddressBackoff, which doubles from the minimum to
	// the maximum.
	minWatchBackoff, maxWatchBackoff = 100 * time.Millisecond, time.Second
	// maxFailoverDelay limits the random wait before the next address is called. Without the wait, all agents that
	// watched an instance that fails would call the other instances at the same time.
	maxFailoverDelay = 750 * time.Millisecond
	// minRoundBackoff and maxRoundBackoff limit the wait after a round in which all addresses have failed. The wait
	// is drawn uniformly between zero and a bound that doubles from the minimum to the maximum.
	minRoundBackoff, maxRoundBackoff = time.Second, 4 * time.Second
)

// watchBackoff determines how long KeepWatch waits after a failure before the next call.
type watchBackoff interface {
	// nextDelay returns the wait between a failure and the next call, for a watch of the given number of addresses.
	nextDelay(addrs int) time.Duration
	// reset returns to the shortest wait after a call was answered.
	reset()
}

// singleAddressBackoff is the backoff of a watch without the section "control". Its bound doubles with each failure,
// and the wait is drawn from the upper half of the range up to the bound. The zero value is ready to use.
type singleAddressBackoff struct {
	wait time.Duration // bound of the next wait; 0 means minWatchBackoff
}

func (b *singleAddressBackoff) nextDelay(int) time.Duration {
	wait := max(b.wait, minWatchBackoff)
	b.wait = min(2*wait, maxWatchBackoff)
	return wait/2 + rand.N(wait/2)
}

func (b *singleAddressBackoff) reset() { b.wait = 0 }

// failoverBackoff is the backoff of a watch of several addresses. It must be used only by the goroutine of the watch.
//
// With the section "control" the agent keeps its own watch, at one of several addresses. A change is known to the
// agent at most 11 s after it was acknowledged, even if three of four addresses fail:
//   - A call that is open when its instance stops responding, is paused or gets partitioned times out after
//     watchWait + callGrace = 2.25 s. A connect times out after callGrace. A call that is refused or reset fails
//     immediately.
//   - The next address is called after at most maxFailoverDelay = 0.75 s, and the limit of maxCallsPerSecond adds
//     0.1 s.
//   - So each unresponsive address costs up to 3.1 s, and the fourth address is called after 3 x 3.1 = 9.3 s and
//     answers at once, 1.7 s before the bound. If only one address is unresponsive, it takes 3.1 s.
//
// If all addresses have failed, the wait before the next round is up to maxRoundBackoff = 4 s. Once the addresses are
// back and have a leader, an agent calls one of them within 4.1 s, plus 3.1 s for each address that is still
// unresponsive.
type failoverBackoff struct {
	backoff  backoff.ExponentialBackOff
	failures int // failed calls in this round
}

func newFailoverBackoff() *failoverBackoff {
	// With a randomization factor of 1, the wait is drawn between zero and twice the interval.
	b := &failoverBackoff{backoff: backoff.ExponentialBackOff{
		InitialInterval:     minRoundBackoff / 2,
		MaxInterval:         maxRoundBackoff / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
	}}
	b.backoff.Reset()
	return b
}

func (b *failoverBackoff) nextDelay(addrs int) time.Duration {
	b.failures++
	if b.failures < addrs {
		return rand.N(maxFailoverDelay)
	}
	b.failures = 0
	return b.backoff.NextBackOff()
}

func (b *failoverBackoff) reset() {
	b.failures = 0
	b.backoff.Reset()
}
