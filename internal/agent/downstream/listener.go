package downstream

import (
	"context"
	"net"
	"regexp"
	"strconv"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
)

// queuePollInterval is the interval at which the accept queue is polled while no slot is free. It limits the error in
// the time that a request is assumed to have waited in the queue.
const queuePollInterval = 25 * time.Millisecond

// maxQueueTime is how long a connection may wait in the accept queue for a slot. A request on it is then refused, while
// its client still waits.
const maxQueueTime = 250 * time.Millisecond

// firstBytesTime is how long a connection that has just been accepted without a slot may take to send its request.
const firstBytesTime = 5 * time.Millisecond

// clientListener accepts as many connections as there are slots. Further clients wait in the accept queue, where they
// take no descriptor.
type clientListener struct {
	net.Listener
	slots message.Quota
	//nolint:containedctx // Close ends an Accept that waits for a slot
	ctx       context.Context
	cancel    context.CancelFunc
	finishing atomic.Bool // Accept ends once the accept queue is empty
	// queuedAt is when connections began to wait in the accept queue because no slot was free; those in the queue now
	// arrived after it. It is zero if none has had to wait. It is owned by Accept.
	queuedAt time.Time
	// hasSlot is set while a slot is acquired for the next connection. It is owned by Accept.
	hasSlot bool
	// refuse ends a connection for which no slot has become free in time. If it is nil, connections wait.
	refuse func(net.Conn)
	// makeRoom closes connections that have sent nothing, and reports whether there were any. It is set along with refuse.
	makeRoom func() bool
}

// framingListener accepts connections that an admission admits the requests of.
type framingListener struct {
	*clientListener
	admission *admission
}

// Accept waits for a free slot and accepts a connection.
func (l framingListener) Accept() (net.Conn, error) {
	conn, err := l.clientListener.Accept()
	if err != nil {
		return nil, err
	}
	return &framedConn{clientConn: conn.(*clientConn), admission: l.admission}, nil
}

func newClientListener(ln net.Listener, slots message.Quota) *clientListener {
	ctx, cancel := context.WithCancel(context.Background())
	return &clientListener{Listener: ln, slots: slots, ctx: ctx, cancel: cancel}
}

// Accept waits for a free slot and accepts a connection. Connections for which there is none in time are refused.
func (l *clientListener) Accept() (net.Conn, error) {
	for {
		if l.finishing.Load() && !l.queued() {
			return nil, net.ErrClosed
		}
		if err := l.awaitSlot(); err != nil {
			return nil, err
		}
		accepted, err := l.Listener.Accept()
		if err != nil {
			l.releaseSlot()
			return nil, err
		}
		if !l.hasSlot && !l.awaitSlotFor(accepted) {
			l.refuse(accepted)
			continue
		}
		l.hasSlot = false // it is the connection's now
		conn := &clientConn{Conn: accepted, release: func() { l.slots.Release(1) }}
		if !l.queuedAt.IsZero() {
			l.setQueuedAt(conn)
		}
		return conn, nil
	}
}

// awaitSlot acquires a slot for the next connection. While none is free, it records in queuedAt when connections began
// to wait in the accept queue. It gives up if that is maxQueueTime ago; hasSlot tells whether it has acquired a slot.
func (l *clientListener) awaitSlot() error {
	if l.slots.TryAcquire(1) {
		l.hasSlot = true
		return nil
	}
	for {
		polledAt := time.Now()
		if l.queuedAt.IsZero() && l.queued() {
			l.queuedAt = polledAt.Add(-queuePollInterval)
		}
		if l.refuse != nil && !l.queuedAt.IsZero() && time.Since(l.queuedAt) > maxQueueTime && l.queued() {
			return nil
		}
		if l.pollSlot(queuePollInterval) {
			return nil
		}
		if l.ctx.Err() != nil {
			return net.ErrClosed
		}
	}
}

// awaitSlotFor waits for a slot for a connection that has been accepted without one. If a request has arrived on it, it
// closes silent connections in its favor. It gives up, so that the connection is refused, when half of the request's
// time has passed, or when others wait in the accept queue and no slot is about to become free.
func (l *clientListener) awaitSlotFor(conn net.Conn) bool {
	if l.pollSlot(firstBytesTime) {
		return true
	}
	for {
		timeout := peekRequestTimeout(conn)
		isClosing := timeout > 0 && l.makeRoom()
		isLate := timeout > 0 && time.Since(l.queuedAt) > timeout/2
		if isLate || l.ctx.Err() != nil || l.queued() && !isClosing {
			return false
		}
		if l.pollSlot(queuePollInterval) {
			return true
		}
	}
}

// pollSlot waits for a slot for up to the given time and reports whether it has acquired one.
func (l *clientListener) pollSlot(wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(l.ctx, wait)
	defer cancel()
	l.hasSlot = l.slots.Acquire(ctx, 1) == nil
	return l.hasSlot
}

// requestTimeoutField matches the timeout in the head of a request.
var requestTimeoutField = regexp.MustCompile(`(?i)\nrequest-timeout-ms:[ \t]*([0-9]{1,5})[ \t]*\r?\n`)

// peekRequestTimeout returns the timeout of the request that has arrived on a connection, without reading it. It is 0
// if there is none.
func peekRequestTimeout(conn net.Conn) time.Duration {
	var head [initialReadBuffer]byte
	found := requestTimeoutField.FindSubmatch(head[:socket.Peek(conn, head[:])])
	if found == nil {
		return 0
	}
	timeoutMs, _ := strconv.Atoi(string(found[1])) // the expression matches numbers only
	return time.Duration(timeoutMs) * time.Millisecond
}

// releaseSlot releases the slot that awaitSlot has acquired, if any.
func (l *clientListener) releaseSlot() {
	if l.hasSlot {
		l.hasSlot = false
		l.slots.Release(1)
	}
}

// setQueuedAt sets the queuedAt of a new connection that may have waited in the accept queue with a request on it.
func (l *clientListener) setQueuedAt(conn *clientConn) {
	if !socket.IsOpenAndIdle(conn.Conn) { // its bytes arrived before it was accepted
		conn.queuedAt = l.queuedAt
	}
	if !l.queued() {
		l.queuedAt = time.Time{}
	}
}

// finishQueue makes Accept end once it has accepted the queued connections, and reports whether there are any.
func (l *clientListener) finishQueue() bool {
	l.finishing.Store(true)
	return l.queued()
}

// queued reports whether connections wait in the accept queue.
func (l *clientListener) queued() bool { return socket.IsReadable(l.Listener) }

// Close closes the listener and ends an Accept that waits for a slot.
func (l *clientListener) Close() error {
	l.cancel()
	return l.Listener.Close()
}
