package membership

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// The list is read every minSnapshotInterval at the most, and so seldom that reading takes a
	// maxSnapshotTimeFraction of the time, but at least every maxSnapshotInterval: what a change costs is bounded
	// whatever the number of members, and less is done when the machine is short of time.
	minSnapshotInterval     = 100 * time.Millisecond
	maxSnapshotInterval     = time.Second
	maxSnapshotTimeFraction = 0.02
	// stallThreshold is how late the reader of the list may be before this process counts as stalled. What it
	// then reads first is stale: its timers have expired, and the answers to its probes wait in its sockets. So
	// nothing is published for stallQuietTime.
	stallThreshold = time.Second
	stallQuietTime = 500 * time.Millisecond
	// maxLocalNodes bounds the members in memberlist's own list, which needs no other bound.
	maxLocalNodes = 1 << 20
)

// memberStates are the states of members by those of memberlist.
var memberStates = [...]State{
	memberlist.StateAlive:   Alive,
	memberlist.StateSuspect: Suspect,
	memberlist.StateDead:    Dead,
	memberlist.StateLeft:    Left,
}

// publishSnapshots reads the list when it may have changed, and publishes a snapshot where it did change.
func (m *Membership) publishSnapshots(ctx context.Context) {
	ticker := time.NewTicker(minSnapshotInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	var quietUntil, nextRead time.Time
	announced := false
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		now := time.Now()
		if late := now.Sub(lastTick); late > stallThreshold {
			m.counters.stalls.Add(1)
			m.log.Warn("membership: process stalled", "for", late.Round(time.Millisecond))
			quietUntil = now.Add(stallQuietTime)
		}
		lastTick = now
		if now.Before(quietUntil) || now.Before(nextRead) || !m.takeListChanged() {
			continue
		}
		snapshot := m.readSnapshot(now)
		nextRead = now.Add(snapshotPause(time.Since(now)))
		if snapshot != nil {
			if !announced && m.isAboveBase(snapshot) {
				announced = true
				m.announce()
			}
			m.publish(snapshot)
		}
		lastTick = time.Now() // the time that publishing took is no stall
	}
}

// takeListChanged tells whether the list may have changed since it was last called.
func (m *Membership) takeListChanged() bool {
	select {
	case <-m.listChanged:
		return true
	default:
		return false
	}
}

// snapshotPause is the time between the starts of two readings, by how long the first took.
func snapshotPause(took time.Duration) time.Duration {
	return min(maxSnapshotInterval, time.Duration(float64(took)/maxSnapshotTimeFraction))
}

// isAboveBase tells whether a snapshot has this process above the incarnations of earlier ones.
func (m *Membership) isAboveBase(snapshot *Snapshot) bool {
	self, _ := snapshot.Member(m.cfg.Name)
	return self.Incarnation > m.baseIncarnation
}

// publish makes a snapshot the current one.
func (m *Membership) publish(snapshot *Snapshot) {
	m.snapshot.Store(snapshot)
	if m.cfg.OnSnapshot != nil {
		m.cfg.OnSnapshot(snapshot)
	}
}

// readSnapshot reads memberlist's list and returns the new snapshot, or nil if it did not change.
func (m *Membership) readSnapshot(now time.Time) *Snapshot {
	m.transport.recordedList = nil
	// A push/pull with the local stream always fails; it has recorded the list by then.
	_, _ = m.list.Load().Join([]string{peerAddress{listPeer, m.cfg.Advertise}.String()})
	if m.transport.recordedList == nil {
		return nil
	}
	nodes, err := readPushPull(bodyOf(m.transport.recordedList), maxLocalNodes)
	if err != nil {
		m.log.Warn("membership: list can't be read", "err", err)
		return nil
	}
	members := make([]Member, 0, len(nodes))
	names := make(map[string]bool, len(nodes))
	for i := range nodes {
		member, err := m.newMember(&nodes[i])
		if err != nil {
			continue // NotifyAlive admits no such member
		}
		names[member.Name] = true
		members = append(members, member)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.admitted = names
	if !m.table.update(members, now) {
		return nil
	}
	return m.table.snapshot
}

// newMember is the member that an entry of memberlist's list describes.
func (m *Membership) newMember(node *pushNode) (Member, error) {
	parsed, err := m.metas.parse(node.Meta)
	if err != nil {
		return Member{}, err
	}
	return Member{
		Name:        node.Name,
		Process:     parsed.Process,
		Zone:        parsed.Zone,
		Version:     parsed.Version,
		Draining:    parsed.Draining,
		State:       memberStates[int(node.State)%len(memberStates)],
		Incarnation: node.Incarnation,
		Addr:        net.JoinHostPort(net.IP(node.Addr).String(), strconv.Itoa(int(node.Port))),
	}, nil
}
