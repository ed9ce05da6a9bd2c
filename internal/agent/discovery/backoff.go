package discovery

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// minWatchBackoff and maxWatchBackoff bound the wait of singleBackoff, which doubles from the one to the other.
	minWatchBackoff, maxWatchBackoff = 100 * time.Millisecond, time.Second
	// maxFailoverDelay bounds the wait before the next address is called: agents that watched one instance
	// must not reach the others in step.
	maxFailoverDelay = 750 * time.Millisecond
	// minRoundBackoff and maxRoundBackoff bound the wait before the next round once all addresses have failed
	// in one. It is drawn evenly from zero up to a bound that doubles from the one to the other.
	minRoundBackoff, maxRoundBackoff = time.Second, 4 * time.Second
)

// watchBackoff says how long a watch that the agent keeps by itself is not called after a failure.
type watchBackoff interface {
	// nextDelay is the time from a failure to the next call, where so many addresses are called in turn.
	nextDelay(addrs int) time.Duration
	// reset starts anew after an answer.
	reset()
}

// singleBackoff is the backoff of a watch without the section "control". Its wait doubles at each failure, and is
// drawn from the upper half. The zero value is ready for use.
type singleBackoff struct {
	wait time.Duration // the bound of the next wait; 0: minWatchBackoff
}

func (b *singleBackoff) nextDelay(int) time.Duration {
	wait := max(b.wait, minWatchBackoff)
	b.wait = min(2*wait, maxWatchBackoff)
	return wait/2 + rand.N(wait/2)
}

func (b *singleBackoff) reset() { b.wait = 0 }

// addressBackoff says how long a watch of several addresses waits after a failure. It belongs to the watch.
//
// With the section "control" the agent keeps its watch by itself, at one of several addresses. A change is known
// 11 s after its acknowledgement at the latest, also where three of four addresses fail:
//   - a call that is open when its instance falls silent, is paused or cut off is given up after
//     watchWait + callGrace = 2.25 s; one whose connection does not come up, after callGrace; one that is
//     refused or reset, at once;
//   - the next address is called maxFailoverDelay = 0.75 s later at the most, and the limit of
//     maxCallsPerSecond adds 0.1 s;
//   - so each silent address costs 3.1 s, and the fourth is called after 3 x 3.1 = 9.3 s and answers at once,
//     1.7 s before the bound. With one silent address among others that answer: 3.1 s.
//
// Where all have failed, the wait before the next round is up to maxRoundBackoff = 4 s: once the addresses are
// back and have a leader, an agent has called one of them 4.1 s later, or 3.1 s more for each silent one.
type addressBackoff struct {
	backoff  backoff.ExponentialBackOff
	failures int // in this round
}

func newAddressBackoff() *addressBackoff {
	// With a randomization factor of 1 the wait is drawn from zero to twice the interval.
	b := &addressBackoff{backoff: backoff.ExponentialBackOff{
		InitialInterval:     minRoundBackoff / 2,
		MaxInterval:         maxRoundBackoff / 2,
		RandomizationFactor: 1,
		Multiplier:          2,
	}}
	b.backoff.Reset()
	return b
}

func (b *addressBackoff) nextDelay(addrs int) time.Duration {
	b.failures++
	if b.failures < addrs {
		return rand.N(maxFailoverDelay)
	}
	b.failures = 0
	return b.backoff.NextBackOff()
}

func (b *addressBackoff) reset() {
	b.failures = 0
	b.backoff.Reset()
}
