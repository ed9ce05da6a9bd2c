package downstream

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/agent/socket"
)

// queuePollInterval is how often the accept queue is polled while no slot is free: the time that a request has
// waited there is known that exactly.
const queuePollInterval = 25 * time.Millisecond

// clientListener accepts as many connections as there are slots: clients beyond them wait in the accept queue,
// without a descriptor.
type clientListener struct {
	net.Listener
	slots message.Quota
	//nolint:containedctx // Close ends an Accept that waits for a slot
	open      context.Context
	stop      context.CancelFunc
	finishing atomic.Bool // Accept ends once no connection waits
	// queuedAt is since when connections have waited to be accepted because no slot was free: those that wait
	// now came after it. Zero: none has waited. It belongs to Accept.
	queuedAt time.Time
}

func newClientListener(ln net.Listener, slots message.Quota) *clientListener {
	open, stop := context.WithCancel(context.Background())
	return &clientListener{Listener: ln, slots: slots, open: open, stop: stop}
}

// Accept accepts a connection once a slot is free.
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

// awaitSlot waits for a slot, and notes since when connections wait for it too.
func (l *clientListener) awaitSlot() error {
	for {
		polledAt := time.Now()
		if l.queuedAt.IsZero() && l.queued() {
			l.queuedAt = polledAt.Add(-queuePollInterval)
		}
		ctx, cancel := context.WithTimeout(l.open, queuePollInterval)
		err := l.slots.Acquire(ctx, 1)
		cancel()
		if err == nil || l.open.Err() != nil {
			return err
		}
	}
}

// setQueuedAt tells a connection since when it may have waited with a request on it.
func (l *clientListener) setQueuedAt(conn *clientConn) {
	if !socket.IsIdleAlive(conn.Conn) { // its bytes were there before it was accepted
		conn.queuedAt = l.queuedAt
	}
	if !l.queued() {
		l.queuedAt = time.Time{}
	}
}

// finishQueue has Accept end once it has accepted the connections that wait, and reports whether any do.
func (l *clientListener) finishQueue() bool {
	l.finishing.Store(true)
	return l.queued()
}

// queued reports whether connections wait to be accepted.
func (l *clientListener) queued() bool { return socket.IsReadable(l.Listener) }

// Close closes the listener, also for an Accept that waits for a slot.
func (l *clientListener) Close() error {
	l.stop()
	return l.Listener.Close()
}
