package message

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// bodyBudgetDivisor is the part of the memory, as a divisor, that buffered bodies may use. What streams and the rest
// of the process need grows with the connections, which the descriptors bound.
const bodyBudgetDivisor = 6

// Quota bounds how much of something the process may have.
type Quota struct {
	*semaphore.Weighted
	Size int64
}

// BufferedPart is the part of a body that has been buffered.
type BufferedPart struct {
	Bytes    []byte
	Complete bool  // it is all of the body
	Reserved int64 // bytes of the budget, which the caller releases
}

// NewQuota makes a quota of a size.
func NewQuota(size int64) Quota {
	return Quota{Weighted: semaphore.NewWeighted(size), Size: size}
}

// NewBodyBudget bounds the bytes of buffered bodies, where the process may have so many bytes of memory.
func NewBodyBudget(memoryBytes int64) Quota {
	return NewQuota(memoryBytes / bodyBudgetDivisor)
}

// ReadBody buffers a body of a length (-1: not given) as far as the budget and MaxBufferedBody allow. What it has
// read and reserved it returns also with an error.
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
