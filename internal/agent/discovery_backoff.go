package agent

import (
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
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
	// moveMost bounds the wait before the next address is asked: agents that hung on one instance
	// must not come to the others in step.
	maxFailoverDelay = 750 * time.Millisecond
	// turnFirst and turnMost bound the wait, drawn evenly from nothing up to a bound that doubles, before
	// the next turn once all addresses have failed in one.
	minRoundBackoff, maxRoundBackoff = time.Second, 4 * time.Second
)

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
