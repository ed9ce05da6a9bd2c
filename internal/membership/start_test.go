package membership

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"fernbeam.example/fernbeam/internal/testaddr"
)

// testConfig returns a configuration with short times.
func testConfig(name, bind string, seeds ...string) Config {
	return Config{Name: name, Size: 2, Bind: bind, Seeds: seeds, Site: "test", Version: "1",
		ProbeIntervalMs: 50, SuspectTimeoutMs: 1000, SettleMs: 50, ReconnectMs: 200, LeaveMs: 200}
}

// startAlone starts member a without seeds. It leaves when the test ends.
func startAlone(t *testing.T) *Membership {
	t.Helper()
	m, err := Start(testConfig("a", testaddr.Reserve(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Leave)
	return m
}

// awaitInterval is the time between two checks of await.
const awaitInterval = 5 * time.Millisecond

// await waits until a condition is met, and fails the test after the given time.
func await(t *testing.T, within time.Duration, what string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !met(); time.Sleep(awaitInterval) {
		if time.Now().After(end) {
			t.Fatalf("not met within %v: %s", within, what)
		}
	}
}

// delayedTransport delays the packets that the process injects: each is delivered to memberlist only once a change of
// the list was notified and the list has been read after the notification.
type delayedTransport struct {
	*transport
	packets                chan *memberlist.Packet
	notified               chan struct{} // closed once onStateMessage was called
	noNotification         func() bool   // whether no notification is pending
	readsBegan, readsEnded atomic.Int64  // counts of reads of the list
	readDone               chan struct{} // capacity one; has an element if a read has ended since the last receive
}

func (d *delayedTransport) PacketCh() <-chan *memberlist.Packet { return d.packets }

func (d *delayedTransport) DialAddressTimeout(address memberlist.Address, within time.Duration) (net.Conn, error) {
	conn, err := d.transport.DialAddressTimeout(address, within)
	if err != nil || address.Name != listPeer {
		return conn, err
	}
	d.readsBegan.Add(1)
	return readConn{conn, d}, nil
}

// readConn is a local stream over which the list is read. The read ends when it is closed.
type readConn struct {
	net.Conn
	transport *delayedTransport
}

func (c readConn) Close() error {
	c.transport.readsEnded.Add(1)
	select {
	case c.transport.readDone <- struct{}{}:
	default: // awaitRead has an element to receive already
	}
	return c.Conn.Close()
}

// deliverPackets delivers the packets in order until the transport is shut down.
func (d *delayedTransport) deliverPackets() {
	for {
		select {
		case packet := <-d.transport.packets:
			if from, ok := packet.From.(*net.UDPAddr); ok && from.Port == 0 { // not from a socket: injected
				d.awaitRead()
			}
			select {
			case d.packets <- packet:
			case <-d.ctx.Done():
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// awaitRead waits until the list has been read after the first notification.
func (d *delayedTransport) awaitRead() {
	select {
	case <-d.notified:
	case <-d.ctx.Done():
	}
	before := d.readsBegan.Load()
	for !d.wasReadSince(before) {
		select {
		case <-d.readDone:
		case <-d.ctx.Done():
			return
		}
	}
}

// wasReadSince reports whether no notification is pending, no read is running, and a read has ended that began after
// the given number of others.
func (d *delayedTransport) wasReadSince(reads int64) bool {
	return d.noNotification() && d.readsEnded.Load() > reads && d.readsEnded.Load() == d.readsBegan.Load()
}

// TestStartIsAnnouncedWhenListIsReadEarly checks that a starting process is announced and sees others even if its list
// is read between the injection of a packet and memberlist's handling of it. This fails if a change is only notified
// before it is made.
func TestStartIsAnnouncedWhenListIsReadEarly(t *testing.T) {
	first := startAlone(t)
	m, err := newMembership(testConfig("b", testaddr.Reserve(t), first.cfg.Bind))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	m.stop = stop
	delayed := &delayedTransport{
		packets:        make(chan *memberlist.Packet),
		notified:       make(chan struct{}),
		readDone:       make(chan struct{}, 1),
		noNotification: func() bool { return len(m.listChanged) == 0 },
	}
	closeNotified := sync.OnceFunc(func() { close(delayed.notified) })
	handlers := m.messageHandlers()
	handlers.onStateMessage = func() {
		m.notifyListChanged()
		closeNotified()
	}
	sockets, err := newTransport(&m.cfg, m.log.std(), &m.counters, handlers)
	if err != nil {
		t.Fatal(err)
	}
	delayed.transport = sockets
	go delayed.deliverPackets()
	if err := m.run(ctx, sockets, delayed); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Leave)
	await(t, 10*time.Second, "a and b see each other", func() bool {
		return m.Snapshot().Present == 2 && first.Snapshot().Present == 2 && m.Snapshot().Digest == first.Snapshot().Digest
	})
	if self, _ := m.Snapshot().Member("b"); self.Incarnation <= m.baseIncarnation {
		t.Errorf("b has incarnation %d, want above %d", self.Incarnation, m.baseIncarnation)
	}
}

// TestSnapshotHasOwnIncarnationWhenAlone checks that the snapshot of a process that is alone has its current
// incarnation, even if that has grown since the process was announced.
func TestSnapshotHasOwnIncarnationWhenAlone(t *testing.T) {
	m := startAlone(t)
	await(t, 5*time.Second, "a is above its base incarnation and has announced that by an update", func() bool {
		self, _ := m.Snapshot().Member("a")
		return self.Incarnation == m.baseIncarnation+2
	})
}
