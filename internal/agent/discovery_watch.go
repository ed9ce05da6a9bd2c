package agent

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// followFirst and followMost bound the wait, doubled at each failure and jittered,
// before a watch that the agent keeps by itself is opened anew.
const minWatchBackoff, maxWatchBackoff = 100 * time.Millisecond, time.Second

// follow keeps a watch until ctx ends.
func (d *discoveryClient) keepWatch(ctx context.Context) {
	for wait := minWatchBackoff; ctx.Err() == nil; wait = min(2*wait, maxWatchBackoff) {
		answered := d.watch(ctx)
		if answered {
			wait = minWatchBackoff
		}
		pause := wait/2 + rand.N(wait/2)
		if d.backoff != nil {
			if answered {
				d.backoff.reset()
			}
			pause = d.backoff.nextDelay(len(d.currentSource().addrs))
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// watch follows the changes, until a call fails or ctx ends, and tells whether any call
// was answered. The next call goes out before the last answer is even handed on: a
// watch lives for 200 ms without one, and a new watch loads discovery.
func (d *discoveryClient) watch(ctx context.Context) (answered bool) {
	call := func() chan listResponse {
		at, done := d.currentSource(), make(chan listResponse, 1)
		from, after := at.version, at.lastAnswer()
		go func() {
			l, err := d.get(ctx, at, fmt.Sprintf("?index=%d&wait=%d%s", from, watchWait.Milliseconds(), d.settingsWatch.query()),
				watchWait+callGrace, from)
			done <- listResponse{source: at, list: l, watch: true, complete: from == 0, lastAnswer: after, err: err}
		}()
		return done
	}
	for next := call(); ; {
		n := <-next
		switch {
		case errors.Is(n.err, errDiscoveryMoved):
			next = call()
			continue
		case ctx.Err() != nil:
			return answered
		case errors.Is(n.err, errOlderVersion):
			// Started again from less, perhaps: the next watch asks for all it has. Of several
			// addresses one may have less for a time.
			if n.source.olderAnswers++; n.source.olderAnswers >= len(n.source.addrs) {
				n.source.version, n.source.olderAnswers = 0, 0
			}
		}
		if n.err != nil {
			d.onResponse(n)
			return answered
		}
		n.source.version, n.source.olderAnswers = n.list.Version, 0
		settings := n.list.Settings
		if settings == nil {
			next = call()
		}
		// An empty answer says nothing, but the first is the answer to the call.
		if !answered || n.complete || n.list.Full || len(n.list.Servers) > 0 {
			d.onResponse(n)
		}
		answered = true
		if settings != nil { // the next call tells what has become of them
			d.settingsWatch.receive(ctx, settings)
			next = call()
		}
	}
}
