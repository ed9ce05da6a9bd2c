package message

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// bodyBudgetPart is the part of the memory, as a divisor, that buffered bodies may use. What streams and the rest
// of the process need grows with the connections, which the descriptors bound.
const bodyBudgetPart = 6

const bytesPerMiB = 1 << 20

// Quota bounds how much of something the process may have.
type Quota struct {
	*semaphore.Weighted
	Size int64
}

// NewQuota makes a quota of a size.
func NewQuota(size int64) Quota { return Quota{semaphore.NewWeighted(size), size} }

// NewBodyBudget bounds the bytes of buffered bodies, where the process may have so many MiB of memory.
func NewBodyBudget(memoryMB int) Quota {
	return NewQuota(int64(memoryMB) * bytesPerMiB / bodyBudgetPart)
}

// ReadBody buffers a body of a length (-1: not given) as far as the budget and MaxBufferedBody allow. It tells
// whether that is all of the body, and how many bytes of the budget are reserved, also after an error.
func (q Quota) ReadBody(from io.Reader, length int64) (buffered []byte, complete bool, reserved int64, err error) {
	limit := int64(MaxBufferedBody)
	if length >= 0 {
		limit = min(limit, length)
	}
	if !q.TryAcquire(limit) {
		return nil, length == 0, 0, nil
	}
	if length < 0 {
		buffered, err = io.ReadAll(io.LimitReader(from, limit))
		return buffered, int64(len(buffered)) < limit, limit, err
	}
	buffered = make([]byte, limit)
	n, err := io.ReadFull(from, buffered)
	complete = limit == length && err == nil
	return buffered[:n], complete, limit, err
}
