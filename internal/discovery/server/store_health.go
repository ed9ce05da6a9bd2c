package server

import (
	"sync"
	"time"
)

// storeHealth is what is known of a store: whether it fails, whether a write hangs, and since
// when the instance may lag for it. The zero value is a store that works.
type storeHealth struct {
	mu             sync.Mutex
	outage         *storeOutage // nil while the store works
	outages        int          // begun so far
	laggingSince   time.Time    // since when the list may lack entries for an outage; zero: it does not
	writeOperation string       // the write under way
	writeStarted   time.Time    // its begin; zero: none is
}

// storeOutage is one span in which the store fails.
type storeOutage struct {
	cause *StoreError
	ended chan struct{}
}

var closedChannel = func() chan struct{} {
	over := make(chan struct{})
	close(over)
	return over
}()

// check returns a StoreError during an outage, or once a write has lasted longer than limit.
func (h *storeHealth) check(now time.Time, limit time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage != nil {
		return h.outage.cause
	}
	if !h.writeStarted.IsZero() && now.Sub(h.writeStarted) > limit {
		return &StoreError{Operation: h.writeOperation, Err: errStoreTimeout}
	}
	return nil
}

// failure is the cause of the present outage, or nil.
func (h *storeHealth) failure() *StoreError {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage == nil {
		return nil
	}
	return h.outage.cause
}

// working is a channel that is closed while no outage is under way.
func (h *storeHealth) working() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage == nil {
		return closedChannel
	}
	return h.outage.ended
}

func (h *storeHealth) beginWrite(operation string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeOperation, h.writeStarted = operation, now
}

func (h *storeHealth) endWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeStarted = time.Time{}
}

// beginOutage tells whether it began one: false if one is under way.
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

// endOutage gives the number of outages so far, for caughtUp.
func (h *storeHealth) endOutage() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.outage.ended)
	h.outage = nil
	return h.outages
}

// lagsSince notes a write that lasted too long, as an outage that is over.
func (h *storeHealth) recordLag(begun time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.markLagging(begun)
	return h.outages
}

// begun is the number of outages so far.
func (h *storeHealth) outageCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outages
}

// lag is called with mu held.
func (h *storeHealth) markLagging(since time.Time) {
	h.outages++
	if h.laggingSince.IsZero() {
		h.laggingSince = since
	}
}

// caughtUp says that the list has all that was committed by the end of that many outages; it
// tells whether no other has begun since.
func (h *storeHealth) caughtUp(outages int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outages != outages {
		return false
	}
	h.laggingSince = time.Time{}
	return true
}

// behindSince is the time from which on the list may lack entries, zero where it does not for
// the store.
func (h *storeHealth) behindSince(now time.Time, limit time.Duration) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.laggingSince.IsZero() {
		return h.laggingSince
	}
	if !h.writeStarted.IsZero() && now.Sub(h.writeStarted) > limit {
		return h.writeStarted
	}
	return time.Time{}
}
