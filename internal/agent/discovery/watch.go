package discovery

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// KeepWatch maintains a watch until ctx is done, and starts it again after failures.
func (c *Client) KeepWatch(ctx context.Context) {
	var backoff watchBackoff = new(singleAddressBackoff)
	if c.backoff != nil {
		backoff = c.backoff
	}
	for ctx.Err() == nil {
		if answered := c.Watch(ctx); answered {
			backoff.reset()
		}
		select {
		case <-time.After(backoff.nextDelay(len(c.CurrentSource().addrs))):
		case <-ctx.Done():
		}
	}
}

// Watch follows the changes until a call fails or ctx is done, and reports whether any call was answered. The next call
// is made before a response is passed on: discovery drops a watch after 200 ms without a call, and a new watch puts
// load on it.
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
			c.watchFailed(response)
			return answered
		}
		response.Source.version = response.List.Version
		response.Source.wantsFull = false
		response.Source.olderAnswers = 0
		settings := response.List.Settings
		if settings == nil {
			next = c.startWatchCall(ctx)
		}
		// A response without changes is passed on only if it is the first one, which shows that the watch is open.
		if !answered || response.Complete || response.List.Full || len(response.List.Servers) > 0 {
			c.onResponse(response)
		}
		answered = true
		if settings != nil {
			// The next call reports whether these settings are in force, so they are applied first.
			c.settingsWatch.receive(ctx, settings)
			next = c.startWatchCall(ctx)
		}
	}
}

// watchFailed passes on the failure of a watch call.
func (c *Client) watchFailed(response Response) {
	if errors.Is(response.Err, errOlderVersion) {
		response.Source.countOlderAnswer()
	}
	c.onResponse(response)
}

// watchQuery returns the query of a watch call for the full list or for the changes since a version.
func (c *Client) watchQuery(version uint64, full bool) string {
	settings := c.settingsWatch.query()
	if full && settings == "" {
		return ""
	}
	if full {
		return "?" + strings.TrimPrefix(settings, "&")
	}
	return fmt.Sprintf("?%s=%d&%s=%d%s",
		endpoint.QueryIndex, version, endpoint.QueryWait, watchWait.Milliseconds(), settings)
}

// startWatchCall starts the next watch call in a goroutine, which ends with the call.
func (c *Client) startWatchCall(ctx context.Context) <-chan Response {
	source := c.CurrentSource()
	done := make(chan Response, 1)
	version := source.version
	full := source.wantsFull
	response := Response{Source: source, Watch: true, Complete: full, LastAnswer: source.LastAnswer()}
	go func() {
		call := listCall{
			query:      c.watchQuery(version, full),
			timeout:    watchWait + callGrace,
			minVersion: version,
			full:       full,
		}
		response.List, response.Err = c.get(ctx, source, call)
		done <- response
	}()
	return done
}
