package downstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
)

// queuePollInterval is the interval at which the accept queue is polled while no slot is free. It limits the error in
// the time that a request is assumed to have waited in the queue.
const queuePollInterval = 25 * time.Millisecond

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

// Accept waits for a free slot and accepts a connection.
func (l *clientListener) Accept() (net.Conn, error) {
	if l.finishing.Load() && !l.queued() {
		return nil, net.ErrClosed
	}
	if !l.slots.TryAcquire(1) {
		if err := l.awaitSlot(); err != nil {
			return nil, net.ErrClosed
		}
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	conn := &clientConn{Conn: accepted, release: func() { l.slots.Release(1) }}
	if !l.queuedAt.IsZero() {
		l.setQueuedAt(conn)
	}
	return conn, nil
}

// awaitSlot waits for a free slot. It records in queuedAt when connections began to wait in the accept queue.
func (l *clientListener) awaitSlot() error {
	for {
		polledAt := time.Now()
		if l.queuedAt.IsZero() && l.queued() {
			l.queuedAt = polledAt.Add(-queuePollInterval)
		}
		ctx, cancel := context.WithTimeout(l.ctx, queuePollInterval)
		err := l.slots.Acquire(ctx, 1)
		cancel()
		if err == nil || l.ctx.Err() != nil {
			return err
		}
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
