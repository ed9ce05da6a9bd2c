package membership

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// A changed list is read at most once per minSnapshotInterval and at least once per maxSnapshotInterval. Within these
	// bounds it is read so rarely that reading takes at most maxSnapshotTimeFraction of the time. This bounds the cost of
	// changes with any number of members, and reduces the work when the machine is overloaded.
	minSnapshotInterval     = 100 * time.Millisecond
	maxSnapshotInterval     = time.Second
	maxSnapshotTimeFraction = 0.02
	// stallThreshold is the delay of publishSnapshots above which this process counts as stalled. Nothing is published for
	// stallQuietTime after a stall, because the list is stale then: timers have expired while the responses to probes were
	// waiting in the sockets.
	stallThreshold = time.Second
	stallQuietTime = 500 * time.Millisecond
	// maxLocalNodes bounds the number of members read from memberlist's own list. The list is never that long, because
	// maxMembers bounds its length.
	maxLocalNodes = 1 << 20
)

// memberStates maps memberlist's states to State.
var memberStates = [...]State{
	memberlist.StateAlive:   Alive,
	memberlist.StateSuspect: Suspect,
	memberlist.StateDead:    Dead,
	memberlist.StateLeft:    Left,
}

// publishSnapshots reads the list when it may have changed, and publishes a snapshot if it did.
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
		lastTick = time.Now() // the time spent publishing is not a stall
	}
}

// takeListChanged reports whether the list may have changed since the previous call.
func (m *Membership) takeListChanged() bool {
	select {
	case <-m.listChanged:
		return true
	default:
		return false
	}
}

// snapshotPause returns the minimum time from the start of one read of the list to the next, given how long the first
// read took.
func snapshotPause(took time.Duration) time.Duration {
	return min(maxSnapshotInterval, time.Duration(float64(took)/maxSnapshotTimeFraction))
}

// isAboveBase reports whether a snapshot has this process with an incarnation above baseIncarnation.
func (m *Membership) isAboveBase(snapshot *Snapshot) bool {
	self, _ := snapshot.Member(m.cfg.Name)
	return self.Incarnation > m.baseIncarnation
}

// publish makes a snapshot the current one and calls OnSnapshot.
func (m *Membership) publish(snapshot *Snapshot) {
	m.snapshot.Store(snapshot)
	if m.cfg.OnSnapshot != nil {
		m.cfg.OnSnapshot(snapshot)
	}
}

// readSnapshot reads memberlist's list and returns the new snapshot, or nil if it did not change.
func (m *Membership) readSnapshot(now time.Time) *Snapshot {
	m.transport.recordedList = nil
	// A push/pull over the local stream always fails, but records the list first.
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
			continue // unreachable: NotifyAlive rejects such members
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

// newMember converts an entry of memberlist's list to a Member.
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
