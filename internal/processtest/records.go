package processtest

import (
	"slices"
	"sync"
)

// Records is a list of records that the goroutines of a test add to, in the order of the additions. Its methods are
// safe for concurrent use. The zero value is an empty list.
type Records[T any] struct {
	mu   sync.Mutex
	list []T
}

// Add appends a record.
func (r *Records[T]) Add(record T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, record)
}

// All returns a copy of the records so far.
func (r *Records[T]) All() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.list)
}
