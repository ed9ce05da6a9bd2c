package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"fernbeam.example/fernbeam/internal/testaddr"
)

// benchSizes are the numbers of members for which the benchmarks measure the growth of costs.
var benchSizes = []int{100, 200, 400, 800, 1500}

// newPopulatedMembership returns a Membership with the given number of members, all alive in its list and its snapshot.
// It does nothing on its own: memberlist neither probes nor gossips.
func newPopulatedMembership(b *testing.B, members int) *Membership {
	b.Helper()
	cfg := testConfig(memberName(0), testaddr.Reserve(b))
	cfg.Size = members
	cfg.Zone = "zone-0"
	m, err := newMembership(cfg)
	if err != nil {
		b.Fatal(err)
	}
	m.transport, err = newTransport(&m.cfg, m.log.std(), &m.counters, m.messageHandlers())
	if err != nil {
		b.Fatal(err)
	}
	listConfig := m.listConfig(m.transport)
	listConfig.ProbeInterval = time.Hour
	listConfig.GossipInterval = time.Hour
	listConfig.PushPullInterval = time.Hour
	list, err := memberlist.Create(listConfig)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := list.Shutdown(); err != nil {
			b.Error(err)
		}
	})
	m.list.Store(list)
	m.transport.suspicionOfSelf = pushPullOf(members)
	if _, err := list.Join([]string{peerAddress{suspicionPeer, m.cfg.Advertise}.String()}); err != nil {
		b.Fatal(err)
	}
	snapshot := m.readSnapshot(time.Now())
	if snapshot == nil || snapshot.Present != members {
		b.Fatalf("snapshot of %d members: %+v", members, snapshot)
	}
	m.snapshot.Store(snapshot)
	return m
}

// pushPullOf returns a push/pull with all members except the first.
func pushPullOf(members int) []byte {
	message := encodeMessage(msgPushPull, pushPullHeader{Nodes: members - 1})
	for i := 1; i < members; i++ {
		metadata := meta{Process: fmt.Sprintf("%016x", i), Zone: fmt.Sprintf("zone-%d", i%3), Version: "1"}
		node := pushNode{
			Name:        memberName(i),
			Addr:        []byte{127, 2, byte(i >> 8), byte(i)},
			Port:        7946,
			Meta:        metadata.bytes(),
			Incarnation: uint32(1000 + i),
			Vsn:         []uint8{1, 5, 2, 0, 0, 0},
		}
		message = append(message, encodeBody(node)...)
	}
	return message
}

func memberName(i int) string { return fmt.Sprintf("agent-%04d", i) }

// BenchmarkSnapshot measures one read of the list: without a change, with one changed member, and with one changed
// member when the table already holds maxChanges changes.
func BenchmarkSnapshot(b *testing.B) {
	for _, bench := range []struct {
		name    string
		changed bool
		changes int
	}{{"same", false, 0}, {"changed", true, 0}, {"changed-kept", true, maxChanges}} {
		for _, size := range benchSizes {
			b.Run(fmt.Sprintf("%s/%d", bench.name, size), func(b *testing.B) {
				m := newPopulatedMembership(b, size)
				before := *m.table.snapshot
				if bench.changed {
					before.Members = append([]Member(nil), before.Members...)
					before.Members[size/2].Incarnation--
				}
				m.table.changes = make([]Change, bench.changes)
				now := time.Now()
				b.ReportAllocs()
				for b.Loop() {
					m.table.snapshot = &before
					if !bench.changed || bench.changes == 0 {
						m.table.changes = m.table.changes[:0]
					}
					if snapshot := m.readSnapshot(now); (snapshot != nil) != bench.changed {
						b.Fatalf("snapshot changed: %v", snapshot != nil)
					}
				}
			})
		}
	}
}

// BenchmarkSuccessors measures what each round of watchSuccessors, of which a probe interval has four, computes.
func BenchmarkSuccessors(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			m := newPopulatedMembership(b, size)
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
