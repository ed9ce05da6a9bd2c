package policy

import (
	"slices"

	"fernbeam.example/fernbeam/internal/balancer"
)

// fullTimeoutFraction is the part of the class's total timeout from which a request is taken to have
// been given all of it.
const fullTimeoutFraction = 0.95

// unservedRequest is what is remembered of a request without a response, to recognize its retry. Times are
// in milliseconds.
type unservedRequest struct {
	className      string
	key            uint64
	firstArrivedAt float64
	expiresAt      float64 // the client has given up by then
}

// requestHistory remembers unserved requests, so that a client's retry is judged by the time that
// has passed for the client since it first sent the request.
type requestHistory struct {
	env      *environment
	unserved []unservedRequest // oldest first, at most maxQueued
}

// add remembers a request that ends without a response.
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

// firstArrival is when the client first sent the request. For a marked retry that is remembered.
// Where retries are not marked, a retry has less time left than a first request, by the time that
// has passed; this holds only if clients give a first request all of the timeout.
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
