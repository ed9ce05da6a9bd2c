package message

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Quota limits the process's use of a resource.
type Quota struct {
	Size     int64
	weighted *semaphore.Weighted
	used     *atomic.Int64
}

// BufferedPart is the buffered part of a body.
type BufferedPart struct {
	Bytes    []byte
	Complete bool  // Bytes is the whole body
	Reserved int64 // bytes of the budget, to be released by the caller
}

// NewQuota returns a quota of the given size.
func NewQuota(size int64) Quota {
	return Quota{Size: size, weighted: semaphore.NewWeighted(size), used: &atomic.Int64{}}
}

// TryAcquire acquires n units without waiting, and reports whether there were as many.
func (q Quota) TryAcquire(n int64) bool {
	acquired := q.weighted.TryAcquire(n)
	if acquired {
		q.used.Add(n)
	}
	return acquired
}

// Acquire waits until n units are free and acquires them. It returns the error of ctx if that is done before.
func (q Quota) Acquire(ctx context.Context, n int64) error {
	if err := q.weighted.Acquire(ctx, n); err != nil {
		return err
	}
	q.used.Add(n)
	return nil
}

// Release releases n units.
func (q Quota) Release(n int64) {
	q.used.Add(-n)
	q.weighted.Release(n)
}

// String returns the units in use and the size.
func (q Quota) String() string { return fmt.Sprintf("%d/%d", q.used.Load(), q.Size) }

// ReadBody buffers a body of the given length (-1 if unknown) as far as the budget and MaxBufferedBody allow. The bytes
// read and the reservation are returned even with a non-nil error.
func (q Quota) ReadBody(from io.Reader, length int64) (BufferedPart, error) {
	limit := int64(MaxBufferedBody)
	if length >= 0 {
		limit = min(limit, length)
	}
	if !q.TryAcquire(limit) {
		return BufferedPart{Complete: length == 0}, nil
	}
	if length < 0 {
		return readUnknownLength(from, limit)
	}
	buffered := make([]byte, limit)
	n, err := io.ReadFull(from, buffered)
	complete := limit == length && err == nil
	return BufferedPart{Bytes: buffered[:n], Complete: complete, Reserved: limit}, err
}

// readUnknownLength buffers up to limit bytes, which are reserved. The buffer has that size from the begin, as one that
// grows takes several times as much.
func readUnknownLength(from io.Reader, limit int64) (BufferedPart, error) {
	buffered := make([]byte, limit)
	size := 0
	for size < len(buffered) {
		n, err := from.Read(buffered[size:])
		size += n
		if err == io.EOF {
			return BufferedPart{Bytes: buffered[:size], Complete: true, Reserved: limit}, nil
		}
		if err != nil {
			return BufferedPart{Bytes: buffered[:size], Reserved: limit}, err
		}
	}
	return BufferedPart{Bytes: buffered, Reserved: limit}, nil
}
