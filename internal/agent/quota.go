package agent

import (
	"io"

	"golang.org/x/sync/semaphore"
)

// bodyBudgetPart is the part of the memory, as a divisor, that buffered bodies may use. What streams and the rest
// of the process need grows with the connections, which the descriptors bound.
const bodyBudgetPart = 6

// quota bounds how much of something the process may have.
type quota struct {
	*semaphore.Weighted
	size int64
}

func newQuota(size int64) quota { return quota{semaphore.NewWeighted(size), size} }

// newBodyBudget bounds the bytes of buffered bodies, where the process may have so many MiB of memory.
func newBodyBudget(memoryMB int) quota { return newQuota(int64(memoryMB) << 20 / bodyBudgetPart) }

// readBody buffers a body of a length (-1: not given) as far as the budget and maxBufferedBody allow. It tells
// whether that is all of the body, and how many bytes of the budget are reserved, also after an error.
func (q quota) readBody(from io.Reader, length int64) (buffered []byte, complete bool, reserved int64, err error) {
	limit := int64(maxBufferedBody)
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
