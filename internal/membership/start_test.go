package membership

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// freeAddr is an address of this machine on which nothing listens.
func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// quick is a configuration with short times.
func quick(name, bind string, seeds ...string) Config {
	return Config{Name: name, Size: 2, Bind: bind, Seeds: seeds, Site: "test", Version: "1",
		ProbeIntervalMs: 50, SuspectTimeoutMs: 1000, SettleMs: 50, ReconnectMs: 200, LeaveMs: 200}
}

// await waits until something holds, for some time at the most.
func await(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// late is a transport under memberlist on which what the process itself hands in as a packet is taken
// only once it has been announced and that announcement is spent on a reading of the list.
type late struct {
	*transport
	packets      chan *memberlist.Packet
	announced    chan struct{} // closed once told was called
	spent        func() bool   // no announcement waits
	began, ended atomic.Int64  // readings of the list
}

func (l *late) PacketCh() <-chan *memberlist.Packet { return l.packets }

func (l *late) DialAddressTimeout(address memberlist.Address, within time.Duration) (net.Conn, error) {
	c, err := l.transport.DialAddressTimeout(address, within)
	if err != nil || address.Name != listPeer {
		return c, err
	}
	l.began.Add(1)
	return readingConn{c, l}, nil
}

type readingConn struct {
	net.Conn
	l *late
}

func (c readingConn) Close() error {
	c.l.ended.Add(1)
	return c.Conn.Close()
}

// pass gives memberlist the packets in their order, until the transport ends.
func (l *late) pass() {
	for {
		select {
		case p := <-l.transport.packets:
			if from, ok := p.From.(*net.UDPAddr); ok && from.Port == 0 { // of no socket: the process's own
				l.hold()
			}
			select {
			case l.packets <- p:
			case <-l.ctx.Done():
			}
		case <-l.ctx.Done():
			return
		}
	}
}

func (l *late) hold() {
	select {
	case <-l.announced:
	case <-l.ctx.Done():
	}
	before := l.began.Load()
	for l.ctx.Err() == nil && !(l.spent() && l.ended.Load() > before && l.ended.Load() == l.began.Load()) {
		time.Sleep(time.Millisecond)
	}
}

// A process that starts is heard of, and hears, also where its list is read between the handing in of a
// packet and memberlist's taking it: what announces a change is given once the change is made.
func TestStartIsHeardOfWhenTheListIsReadEarly(t *testing.T) {
	first, err := Start(quick("a", freeAddr(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(first.Leave)
	m, err := newMembership(quick("b", freeAddr(t), first.cfg.Bind))
	if err != nil {
		t.Fatal(err)
	}
	l := &late{packets: make(chan *memberlist.Packet), announced: make(chan struct{}), spent: func() bool { return len(m.listChanged) == 0 }}
	announce := sync.OnceFunc(func() { close(l.announced) })
	sockets, err := newTransport(&m.cfg, m.log.std(), &m.traffic, func() { m.notifyListChanged(); announce() }, m.trustsDeathReport)
	if err != nil {
		t.Fatal(err)
	}
	l.transport = sockets
	go l.pass()
	if err := m.run(sockets, l); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Leave)
	await(t, 10*time.Second, "a and b see each other", func() bool {
		return m.Snapshot().Present == 2 && first.Snapshot().Present == 2 && m.Snapshot().Digest == first.Snapshot().Digest
	})
	if self, _ := m.Snapshot().Member("b"); self.Incarnation <= m.baseIncarnation {
		t.Errorf("b is at incarnation %d, not above %d", self.Incarnation, m.baseIncarnation)
	}
}

// A process that is alone shows the incarnation that it tells, also where that grew after it rose.
func TestOneAloneShowsItsOwnIncarnation(t *testing.T) {
	m, err := Start(quick("a", freeAddr(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Leave)
	await(t, 5*time.Second, "a is above its base, and told so once more", func() bool {
		self, _ := m.Snapshot().Member("a")
		return self.Incarnation == m.baseIncarnation+2
	})
}
