package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"
)

// benchSizes are the fleets, in members, by which the growth of what each look costs is measured.
var benchSizes = []int{100, 200, 400, 800, 1500}

// peopled is one process's part in a fleet of so many members, all alive in its list and its view.
// Nothing of it runs by itself: memberlist neither probes nor gossips.
func peopled(b *testing.B, members int) *Membership {
	b.Helper()
	cfg := quick(memberName(0), freeAddr(b))
	cfg.Size, cfg.Zone = members, "zone-0"
	m, err := newMembership(cfg)
	if err != nil {
		b.Fatal(err)
	}
	if m.transport, err = newTransport(&m.cfg, m.log.std(), &m.traffic, m.notifyListChanged, m.trustsDeathReport); err != nil {
		b.Fatal(err)
	}
	c := m.listConfig(m.transport)
	c.ProbeInterval, c.GossipInterval, c.PushPullInterval = time.Hour, time.Hour, time.Hour
	list, err := memberlist.Create(c)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { m.cancel(); list.Shutdown() })
	m.list.Store(list)
	m.transport.suspicionOfSelf = encodeMessage(msgPushPull, pushPullHeader{Nodes: members - 1})
	for i := 1; i < members; i++ {
		parsed := meta{Process: fmt.Sprintf("%016x", i), Zone: fmt.Sprintf("zone-%d", i%3), Version: "1"}
		m.transport.suspicionOfSelf = append(m.transport.suspicionOfSelf, encodeMessage(0, pushNode{Name: memberName(i), Addr: []byte{127, 2, byte(i >> 8), byte(i)},
			Port: 7946, Meta: parsed.bytes(), Incarnation: uint32(1000 + i), Vsn: []uint8{1, 5, 2, 0, 0, 0}})[1:]...)
	}
	if _, err := list.Join([]string{suspicionPeer + "/" + m.cfg.Advertise}); err != nil {
		b.Fatal(err)
	}
	snapshot := m.readSnapshot(time.Now())
	if snapshot == nil || snapshot.Present != members {
		b.Fatalf("the list of %d members was read as %+v", members, snapshot)
	}
	m.snapshot.Store(snapshot)
	return m
}

func memberName(i int) string { return fmt.Sprintf("agent-%04d", i) }

// BenchmarkSnapshot is one reading of the list: where nothing changed, where one member did, and where one
// did and all the changes are there that are kept.
func BenchmarkSnapshot(b *testing.B) {
	for _, kept := range []struct {
		name    string
		changed bool
		changes int
	}{{"same", false, 0}, {"changed", true, 0}, {"changed-kept", true, maxChanges}} {
		for _, n := range benchSizes {
			b.Run(fmt.Sprintf("%s/%d", kept.name, n), func(b *testing.B) {
				m := peopled(b, n)
				was := *m.table.snapshot
				if kept.changed {
					was.Members = append([]Member(nil), was.Members...)
					was.Members[n/2].Incarnation--
				}
				m.table.changes = make([]Change, kept.changes)
				now := time.Now()
				b.ReportAllocs()
				for b.Loop() {
					m.table.snapshot = &was
					if !kept.changed || kept.changes == 0 {
						m.table.changes = m.table.changes[:0]
					}
					if snapshot := m.readSnapshot(now); (snapshot != nil) != kept.changed {
						b.Fatalf("changed: %v", snapshot != nil)
					}
				}
			})
		}
	}
}

// BenchmarkSuccessors is what each look of watch, four in a probe interval, has to find.
func BenchmarkSuccessors(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			m := peopled(b, n)
			var got []Member
			b.ReportAllocs()
			for b.Loop() {
				if got = m.successors(got[:0]); len(got) != watchedSuccessors {
					b.Fatalf("%d successors", len(got))
				}
			}
		})
	}
}
