package server

import (
	"sync"
	"time"
)

// storeHealth tracks the state of a store: whether it fails, whether a write hangs, and since when the
// list may lack entries because of that. The zero value is the state of a working store. It is safe for
// concurrent use.
type storeHealth struct {
	mu      sync.Mutex
	outage  *storeOutage // nil while the store works
	outages int          // number of outages started so far, including slow writes
	// laggingSince is the start of the first outage after which this instance has not caught up yet, so
	// that the list may lack entries; zero: the list is up to date.
	laggingSince time.Time
	// writeOperation is the write that has been running since writeStarted. A zero writeStarted means
	// that no write is running.
	writeOperation StoreOperation
	writeStarted   time.Time
}

// storeOutage is a period in which the store fails.
type storeOutage struct {
	cause *StoreError
	ended chan struct{} // closed at its end
}

// closedChannel is always closed.
var closedChannel = newClosedChannel()

// newClosedChannel returns a closed channel.
func newClosedChannel() <-chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}

// check returns a StoreError during an outage, or if the running write has lasted longer than limit.
func (h *storeHealth) check(now time.Time, limit time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage != nil {
		return h.outage.cause
	}
	if h.writeHangs(now, limit) {
		return &StoreError{Operation: h.writeOperation, Err: errStoreTimeout}
	}
	return nil
}

// writeHangs reports whether the running write has lasted longer than limit. The caller holds mu.
func (h *storeHealth) writeHangs(now time.Time, limit time.Duration) bool {
	return !h.writeStarted.IsZero() && now.Sub(h.writeStarted) > limit
}

// failure returns the cause of the current outage, or nil.
func (h *storeHealth) failure() *StoreError {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage == nil {
		return nil
	}
	return h.outage.cause
}

// working returns a channel that is closed at the end of the current outage, or is already closed if
// there is none.
func (h *storeHealth) working() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage == nil {
		return closedChannel
	}
	return h.outage.ended
}

// beginWrite records the start of a write.
func (h *storeHealth) beginWrite(operation StoreOperation, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeOperation = operation
	h.writeStarted = now
}

// endWrite records the end of a write.
func (h *storeHealth) endWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeStarted = time.Time{}
}

// beginOutage starts an outage. It returns false if there already is one.
func (h *storeHealth) beginOutage(cause *StoreError, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage != nil {
		return false
	}
	h.outage = &storeOutage{cause: cause, ended: make(chan struct{})}
	h.markLagging(now)
	return true
}

// endOutage ends the current outage and returns the number of outages so far, for markCaughtUp.
func (h *storeHealth) endOutage() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.outage.ended)
	h.outage = nil
	return h.outages
}

// recordLag counts a slow write as an outage. since is the start of the write, which has ended. It
// returns the number of outages so far, for markCaughtUp.
func (h *storeHealth) recordLag(since time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markLagging(since)
	return h.outages
}

// outageCount returns the number of outages so far.
func (h *storeHealth) outageCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outages
}

// markLagging counts an outage, and sets laggingSince unless it is already set. The caller holds mu.
func (h *storeHealth) markLagging(since time.Time) {
	h.outages++
	if h.laggingSince.IsZero() {
		h.laggingSince = since
	}
}

// markCaughtUp records that the list has everything that was committed by the end of an outage. outages
// is the number of outages at that end. If another outage has started since, markCaughtUp does nothing.
func (h *storeHealth) markCaughtUp(outages int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outages == outages {
		h.laggingSince = time.Time{}
	}
}

// behindSince returns when the list began to fall behind (it may lack entries because of an outage or a
// hanging write), or the zero time if the list is up to date.
func (h *storeHealth) behindSince(now time.Time, limit time.Duration) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.laggingSince.IsZero() {
		return h.laggingSince
	}
	if h.writeHangs(now, limit) {
		return h.writeStarted
	}
	return time.Time{}
}
