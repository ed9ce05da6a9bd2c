package downstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/memory"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
)

// admission admits requests as far as the memory budget has space for them. Its methods are safe for concurrent use.
type admission struct {
	requests message.Quota // bytes of requests in progress and their heads
	large    message.Quota // the part of requests that those with long bodies may use
	unproven message.Quota // the part of requests that those may use whose client is not proven
	uploads  message.Quota // bytes of streamed request bodies
	streams  message.Quota // connections to servers on which a body is streamed
	// retryAfterMs returns the delay that a rejection advises.
	retryAfterMs func() float64

	refusals Refusals
}

// Refusals counts the requests that were refused before they reached the dispatcher.
type Refusals struct {
	// Memory counts those for which the memory budget had no space, Heads those with too large a head or too many fields,
	// and Uploads those whose body could be neither buffered nor streamed. Queued counts the connections that waited too
	// long to be accepted.
	Memory, Heads, Uploads, Queued atomic.Int64
}

// maxSmallBody is the size of the largest body of a request that does not count as large, in bytes.
const maxSmallBody = 4 << 10

// newAdmission returns an admission with the budgets of limits.
func newAdmission(limits memory.Limits, streams message.Quota, retryAfterMs func() float64) *admission {
	return &admission{
		requests:     message.NewQuota(limits.Requests),
		large:        message.NewQuota(limits.LargeRequests),
		unproven:     message.NewQuota(limits.UnprovenRequests),
		uploads:      message.NewQuota(limits.Uploads),
		streams:      streams,
		retryAfterMs: retryAfterMs,
	}
}

// reservation is what a request has reserved from its head to its final response. The zero value has reserved nothing.
type reservation struct {
	admission *admission
	request   int64 // bytes of requests
	large     int64 // bytes of large
	unproven  int64 // bytes of unproven
	upload    int64 // bytes of uploads; a stream is reserved with them
}

// admit reserves memory for a request with the given head. It returns the reservation, or the status of the response if
// the request is not admitted. A client is proven if its connection's last response was short and it waited for that.
func (a *admission) admit(head requestHead, isProven bool) (reserved reservation, status int) {
	if head.fields > maxRequestFields || head.size > maxRequestHead {
		return reservation{}, http.StatusRequestHeaderFieldsTooLarge
	}
	cost := memory.RequestCost + memory.HeadCost(head.size, head.fields)
	reserved.admission = a
	if head.hasUnknownBody || head.bodySize > maxSmallBody {
		if !a.large.TryAcquire(cost) {
			return reservation{}, http.StatusServiceUnavailable
		}
		reserved.large = cost
	}
	if !isProven {
		if !a.unproven.TryAcquire(cost) {
			reserved.release()
			return reservation{}, http.StatusServiceUnavailable
		}
		reserved.unproven = cost
	}
	if !a.requests.TryAcquire(cost) {
		reserved.release()
		return reservation{}, http.StatusServiceUnavailable
	}
	reserved.request = cost
	return reserved, 0
}

// reserveBuffer reserves bytes for a read buffer that has to grow, as for a long request.
func (a *admission) reserveBuffer(size int64) bool {
	if !a.large.TryAcquire(size) {
		return false
	}
	if !a.requests.TryAcquire(size) {
		a.large.Release(size)
		return false
	}
	return true
}

// releaseBuffer releases what reserveBuffer has reserved.
func (a *admission) releaseBuffer(size int64) {
	a.large.Release(size)
	a.requests.Release(size)
}

// admitUpload reserves what a streamed body needs in addition, and reports whether that succeeded.
func (r *reservation) admitUpload() bool {
	a := r.admission
	if a == nil || !a.uploads.TryAcquire(memory.UploadCost) {
		return false
	}
	if !a.streams.TryAcquire(1) {
		a.uploads.Release(memory.UploadCost)
		return false
	}
	r.upload = memory.UploadCost
	return true
}

// release releases everything that is reserved.
func (r *reservation) release() {
	a := r.admission
	if a == nil {
		return
	}
	a.requests.Release(r.request)
	a.large.Release(r.large)
	a.unproven.Release(r.unproven)
	if r.upload > 0 {
		a.uploads.Release(r.upload)
		a.streams.Release(1)
	}
	*r = reservation{}
}

// refusalWriteTimeout is the time allowed for writing a refusal.
const refusalWriteTimeout = time.Second

// writeRefusal writes the response to a request that is not admitted, with the given status. It announces the end of
// the connection.
func (a *admission) writeRefusal(conn net.Conn, status int) error {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n%s\r\n",
		status, http.StatusText(status), a.retryAfter(status))
	if err := conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(conn, text)
	return err
}

// refuseQueued ends a connection that has waited to be accepted and for which there is no place. A request on it is
// refused, and a silent connection is closed. It does not wait for the client.
func (a *admission) refuseQueued(conn net.Conn) {
	a.refusals.Queued.Add(1)
	defer func() { _ = conn.Close() }() // the connection is given up
	if !socket.IsReadable(conn) {
		return
	}
	if err := a.writeRefusal(conn, http.StatusServiceUnavailable); err != nil {
		return
	}
	// Unread bytes would make the close reset the connection before the client has read the response.
	socket.Discard(conn)
}

// countRefusal counts a request that was refused with the given status.
func (a *admission) countRefusal(status int) {
	if status == http.StatusServiceUnavailable {
		a.refusals.Memory.Add(1)
		return
	}
	a.refusals.Heads.Add(1)
}

// retryAfter returns the header field Retry-After of a response with the given status, if it has one.
func (a *admission) retryAfter(status int) string {
	delay := a.retryAfterMs()
	if status != http.StatusServiceUnavailable || delay <= 0 {
		return ""
	}
	return "Retry-After: " + retryAfterSeconds(delay) + "\r\n"
}
