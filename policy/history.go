package policy

import (
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// fullTimeoutFraction is a fraction of the total timeout of a class. If a request arrives with more than that
// remaining, clients are assumed to give first requests the whole total timeout.
const fullTimeoutFraction = 0.95

// unservedRequest is the record of a request that ended without a response, by which a retry of it is
// recognized. Times are in milliseconds.
type unservedRequest struct {
	className      string
	key            uint64
	firstArrivedAt float64
	expiresAt      float64 // when the client gives up
}

// requestHistory records unserved requests, so that the latency objective of a client's retry counts from
// the time at which the client first sent the request.
type requestHistory struct {
	env      *environment
	unserved []unservedRequest // oldest first, at most maxQueued
}

// add records a request that ends without a response.
func (h *requestHistory) add(r *request) {
	h.unserved = slices.DeleteFunc(h.unserved, func(u unservedRequest) bool {
		return h.env.now > u.expiresAt
	})
	if !h.env.settings.Clients.MarksRetry || len(h.unserved) >= maxQueued {
		return
	}
	h.unserved = append(h.unserved, unservedRequest{
		className:      r.class.Name,
		key:            r.key,
		firstArrivedAt: r.firstArrivedAt,
		expiresAt:      r.firstArrivedAt + r.class.TotalTimeoutMs,
	})
}

// firstArrival returns the time at which the client first sent the request. For a marked retry that is
// the recorded arrival of the unserved request. If clients do not mark retries, a retry is recognized by
// its shorter remaining time, provided that clients give first requests the whole total timeout.
func (h *requestHistory) firstArrival(c *class, ev *balancer.Event) float64 {
	now := h.env.now
	c.longestTimeoutMs = max(c.longestTimeoutMs, min(ev.RemainingMs, c.TotalTimeoutMs))
	if !h.env.settings.Clients.MarksRetry && c.longestTimeoutMs > fullTimeoutFraction*c.TotalTimeoutMs {
		return now - max(c.longestTimeoutMs-ev.RemainingMs, 0)
	}
	if !ev.Retry {
		return now
	}
	i := slices.IndexFunc(h.unserved, func(u unservedRequest) bool {
		return u.className == c.Name && u.key == ev.Key
	})
	if i < 0 {
		return now
	}
	first := h.unserved[i].firstArrivedAt
	h.unserved = slices.Delete(h.unserved, i, i+1)
	return first
}
