package agent

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// queueLook is how often the accept queue is looked at while slots are lacking: the time
// that a request has waited there is known that well.
const queuePollInterval = 25 * time.Millisecond

// clientListener accepts as many connections as there are slots: clients beyond them wait
// in the accept queue, not as descriptors.
type clientListener struct {
	net.Listener
	slots     quota
	open      context.Context
	stop      context.CancelFunc
	finishing atomic.Bool // Accept ends once no connection waits
	// queuedAt is since when connections have waited to be accepted, where slots were
	// lacking: those that wait now came after it. Zero: none has waited. It is Accept's.
	queuedAt time.Time
}

func newClientListener(ln net.Listener, slots quota) *clientListener {
	open, stop := context.WithCancel(context.Background())
	return &clientListener{Listener: ln, slots: slots, open: open, stop: stop}
}

func (l *clientListener) Accept() (net.Conn, error) {
	if l.finishing.Load() && !l.queued() {
		return nil, net.ErrClosed
	}
	if !l.slots.TryAcquire(1) {
		if err := l.awaitSlot(); err != nil {
			return nil, net.ErrClosed
		}
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	c := &clientConn{Conn: nc, release: func() { l.slots.Release(1) }}
	if !l.queuedAt.IsZero() {
		l.setQueuedAt(c)
	}
	return c, nil
}

// awaitSlot waits for a slot, and notes since when connections wait for it too.
func (l *clientListener) awaitSlot() error {
	for {
		looked := time.Now()
		if l.queuedAt.IsZero() && l.queued() {
			l.queuedAt = looked.Add(-queuePollInterval)
		}
		ctx, cancel := context.WithTimeout(l.open, queuePollInterval)
		err := l.slots.Acquire(ctx, 1)
		cancel()
		if err == nil || l.open.Err() != nil {
			return err
		}
	}
}

// noteQueued tells a connection since when it may have waited with a request on it.
func (l *clientListener) setQueuedAt(c *clientConn) {
	if !isIdleConnAlive(c.Conn) { // its bytes were there before it was accepted
		c.queuedAt = l.queuedAt
	}
	if !l.queued() {
		l.queuedAt = time.Time{}
	}
}

// finish has Accept end once it has taken the connections that wait, and tells whether any do.
func (l *clientListener) finishQueue() bool {
	l.finishing.Store(true)
	return l.queued()
}

// queued tells whether connections wait to be accepted.
func (l *clientListener) queued() bool {
	return pollSocket(l.Listener, unix.POLLIN, unix.POLLIN)
}

func (l *clientListener) Close() error {
	l.stop()
	return l.Listener.Close()
}
