package message

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// bodyBudgetDivisor determines the budget for buffered bodies: 1/bodyBudgetDivisor of the memory limit. The memory for
// streams and the rest of the process grows with the number of connections, which is bounded by the descriptor limit.
const bodyBudgetDivisor = 6

// Quota limits the process's use of a resource.
type Quota struct {
	*semaphore.Weighted
	Size int64
}

// BufferedPart is the buffered part of a body.
type BufferedPart struct {
	Bytes    []byte
	Complete bool  // Bytes is the whole body
	Reserved int64 // bytes of the budget, to be released by the caller
}

// NewQuota returns a quota of the given size.
func NewQuota(size int64) Quota {
	return Quota{Weighted: semaphore.NewWeighted(size), Size: size}
}

// NewBodyBudget returns the quota for the bytes of buffered bodies in a process with the given memory limit.
func NewBodyBudget(memoryBytes int64) Quota {
	return NewQuota(memoryBytes / bodyBudgetDivisor)
}

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
		buffered, err := io.ReadAll(io.LimitReader(from, limit))
		complete := int64(len(buffered)) < limit
		return BufferedPart{Bytes: buffered, Complete: complete, Reserved: limit}, err
	}
	buffered := make([]byte, limit)
	n, err := io.ReadFull(from, buffered)
	complete := limit == length && err == nil
	return BufferedPart{Bytes: buffered[:n], Complete: complete, Reserved: limit}, err
}
