package server

import (
	"sync"
	"time"
)

// storeHealth is what is known of a store: whether it fails, whether a write hangs, and since
// when the instance may lag for it. The zero value is a store that works.
type storeHealth struct {
	mu          sync.Mutex
	outage      *storeOutage // nil while the store works
	outages     int          // begun so far
	lagging     time.Time    // since when the list may lack entries for an outage; zero: it does not
	operation   string       // the write under way
	writingFrom time.Time    // its begin; zero: none is
}

// storeOutage is one span in which the store fails.
type storeOutage struct {
	cause *StoreError
	over  chan struct{}
}

var alwaysOver = func() chan struct{} {
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
	if !h.writingFrom.IsZero() && now.Sub(h.writingFrom) > limit {
		return &StoreError{Operation: h.operation, Err: errSlowStore}
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
		return alwaysOver
	}
	return h.outage.over
}

func (h *storeHealth) beginWrite(operation string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operation, h.writingFrom = operation, now
}

func (h *storeHealth) endWrite() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writingFrom = time.Time{}
}

// beginOutage tells whether it began one: false if one is under way.
func (h *storeHealth) beginOutage(cause *StoreError, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage != nil {
		return false
	}
	h.outage = &storeOutage{cause: cause, over: make(chan struct{})}
	h.lag(now)
	return true
}

// endOutage gives the number of outages so far, for caughtUp.
func (h *storeHealth) endOutage() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.outage.over)
	h.outage = nil
	return h.outages
}

// lagsSince notes a write that lasted too long, as an outage that is over.
func (h *storeHealth) lagsSince(begun time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag(begun)
	return h.outages
}

// begun is the number of outages so far.
func (h *storeHealth) begun() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outages
}

// lag is called with mu held.
func (h *storeHealth) lag(since time.Time) {
	h.outages++
	if h.lagging.IsZero() {
		h.lagging = since
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
	h.lagging = time.Time{}
	return true
}

// behindSince is the time from which on the list may lack entries, zero where it does not for
// the store.
func (h *storeHealth) behindSince(now time.Time, limit time.Duration) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lagging.IsZero() {
		return h.lagging
	}
	if !h.writingFrom.IsZero() && now.Sub(h.writingFrom) > limit {
		return h.writingFrom
	}
	return time.Time{}
}
