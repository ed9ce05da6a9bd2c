package membership

import (
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"
)

// incarnationStep is the time in which the first incarnation of a starting process grows by one: a uint32 of
// quarters of a second lasts for 34 years.
const incarnationStep = 250 * time.Millisecond

// incarnationEpoch is when the incarnations start from zero.
var incarnationEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// startIncarnation is where a process that starts now begins to count. The clock is that of one machine, an
// agent's own, over its restarts. Where it went back, this process begins below earlier ones and refutes what it
// receives about them, and liftRetirements corrects those who took it for the earlier one.
func startIncarnation(wall time.Time) uint32 {
	return uint32(max(0, wall.Sub(incarnationEpoch)/incarnationStep))
}

// raiseIncarnation brings this process's incarnation above baseIncarnation, before it returns: memberlist counts
// from one, and messages about an earlier process of this name would be taken for messages about this one.
//
// A suspicion of itself makes memberlist refute with a higher incarnation. It comes as a push/pull, which is
// merged at once; a packet would only be queued, and memberlist has no event for the refutation of a member that
// is alone.
func (m *Membership) raiseIncarnation(list *memberlist.Memberlist) error {
	node := list.LocalNode()
	suspicion := pushNode{
		Name:        node.Name,
		Addr:        node.Addr,
		Port:        node.Port,
		Meta:        node.Meta,
		Incarnation: m.baseIncarnation,
		State:       memberlist.StateSuspect,
		Vsn:         []uint8{node.PMin, node.PMax, node.PCur, node.DMin, node.DMax, node.DCur},
	}
	m.transport.suspicionOfSelf = encodePushPull(suspicion)
	if _, err := list.Join([]string{peerAddress{suspicionPeer, m.cfg.Advertise}.String()}); err != nil {
		return fmt.Errorf("starting above the incarnations of earlier processes: %w", err)
	}
	return nil
}

// announce lets this process send and receive messages about members, as it is above all earlier ones.
//
// Memberlist still has its message of the first incarnation, one, to broadcast beside the refutation. An update
// replaces it: a member that has just started itself would believe it, and then take a message of an earlier process
// for one of a later process.
func (m *Membership) announce() {
	if err := m.list.Load().UpdateNode(updateTimeout); err != nil {
		m.log.Warn("membership: announcing the start failed", "err", err)
	}
	m.notifyListChanged() // memberlist has no event for its own update, and alone it gossips nothing
	close(m.announced)
	close(m.transport.announced)
}
