package processtest

import (
	"slices"
	"sync"
)

// Records are what the goroutines of a test have recorded, in its order. They are safe for concurrent use; the zero
// value is empty.
type Records[T any] struct {
	mu   sync.Mutex
	list []T
}

// Add adds a record.
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
