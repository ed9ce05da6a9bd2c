package discovery

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// minWatchBackoff and maxWatchBackoff bound the wait, doubled at each failure and jittered, before a watch that
// the agent keeps by itself is reopened.
const minWatchBackoff, maxWatchBackoff = 100 * time.Millisecond, time.Second

// KeepWatch keeps a watch until ctx ends.
func (c *Client) KeepWatch(ctx context.Context) {
	for wait := minWatchBackoff; ctx.Err() == nil; wait = min(2*wait, maxWatchBackoff) {
		answered := c.Watch(ctx)
		if answered {
			wait = minWatchBackoff
		}
		select {
		case <-time.After(c.reopenDelay(wait, answered)):
		case <-ctx.Done():
		}
	}
}

// reopenDelay is the wait before the watch is reopened: by the backoff over all addresses, or where there is
// only one, the given wait with jitter.
func (c *Client) reopenDelay(wait time.Duration, answered bool) time.Duration {
	if c.backoff == nil {
		return wait/2 + rand.N(wait/2)
	}
	if answered {
		c.backoff.reset()
	}
	return c.backoff.nextDelay(len(c.CurrentSource().addrs))
}

// Watch follows the changes until a call fails or ctx ends, and tells whether any call was answered. The next
// call goes out before the last response is handed on: discovery drops a watch after 200 ms without a call, and
// a new watch is a load on it.
func (c *Client) Watch(ctx context.Context) (answered bool) {
	next := c.startWatchCall(ctx)
	for {
		response := <-next
		if errors.Is(response.Err, errMoved) {
			next = c.startWatchCall(ctx)
			continue
		}
		if ctx.Err() != nil {
			return answered
		}
		if response.Err != nil {
			if errors.Is(response.Err, errOlderVersion) {
				response.Source.countOlderAnswer()
			}
			c.onResponse(response)
			return answered
		}
		response.Source.version = response.List.Version
		response.Source.olderAnswers = 0
		settings := response.List.Settings
		if settings == nil {
			next = c.startWatchCall(ctx)
		}
		// An empty response brings nothing, but the first one shows that the watch is open.
		if !answered || response.Complete || response.List.Full || len(response.List.Servers) > 0 {
			c.onResponse(response)
		}
		answered = true
		if settings != nil {
			// The next call reports whether these settings are in force.
			c.settingsWatch.receive(ctx, settings)
			next = c.startWatchCall(ctx)
		}
	}
}

// startWatchCall starts the next call of the watch in a goroutine, which ends with the call.
func (c *Client) startWatchCall(ctx context.Context) <-chan Response {
	source := c.CurrentSource()
	done := make(chan Response, 1)
	version := source.version
	response := Response{Source: source, Watch: true, Complete: version == 0, LastAnswer: source.lastAnswer()}
	go func() {
		query := fmt.Sprintf("?index=%d&wait=%d%s", version, watchWait.Milliseconds(), c.settingsWatch.query())
		response.List, response.Err = c.get(ctx, source, query, watchWait+callGrace, version)
		done <- response
	}()
	return done
}
