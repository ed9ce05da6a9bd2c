package server

import (
	"sync"
	"time"
)

// storeHealth is the state of a store: whether it fails, whether a write hangs, and since when the
// list may lack entries because of that. The zero value is a store that works. It is safe for
// concurrent use.
type storeHealth struct {
	mu      sync.Mutex
	outage  *storeOutage // nil while the store works
	outages int          // that have started so far, slow writes included
	// laggingSince is since when the list may lack entries because of an outage; zero: it does not.
	laggingSince time.Time
	// writeOperation is the write that is running since writeStarted; zero: none is.
	writeOperation StoreOperation
	writeStarted   time.Time
}

// storeOutage is a time in which the store fails.
type storeOutage struct {
	cause *StoreError
	ended chan struct{} // closed at its end
}

// closedChannel is a channel that is closed.
var closedChannel = newClosedChannel()

// newClosedChannel returns a channel that is closed.
func newClosedChannel() <-chan struct{} {
	channel := make(chan struct{})
	close(channel)
	return channel
}

// check returns a StoreError in an outage, or while a write has lasted longer than limit.
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

// writeHangs reports whether a write has lasted longer than limit. The caller holds mu.
func (h *storeHealth) writeHangs(now time.Time, limit time.Duration) bool {
	return !h.writeStarted.IsZero() && now.Sub(h.writeStarted) > limit
}

// failure returns the cause of the present outage, or nil.
func (h *storeHealth) failure() *StoreError {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage == nil {
		return nil
	}
	return h.outage.cause
}

// working returns a channel that is closed while there is no outage.
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

// beginOutage starts an outage, or returns false if there is one already.
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

// endOutage ends the outage and returns the number of outages so far, for caughtUp.
func (h *storeHealth) endOutage() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.outage.ended)
	h.outage = nil
	return h.outages
}

// recordLag records a time in which the store was slow, which has ended, as an outage. It returns
// the number of outages so far, for caughtUp.
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

// markLagging counts an outage. The caller holds mu.
func (h *storeHealth) markLagging(since time.Time) {
	h.outages++
	if h.laggingSince.IsZero() {
		h.laggingSince = since
	}
}

// caughtUp records that the list has all that was committed by the end of the numbered outage. It
// does nothing if another outage has started since.
func (h *storeHealth) caughtUp(outages int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outages == outages {
		h.laggingSince = time.Time{}
	}
}

// behindSince returns since when the list may lack entries because of the store, or zero if it does
// not.
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
