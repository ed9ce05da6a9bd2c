package membership

import (
	"fmt"
	"time"

	"github.com/hashicorp/memberlist"
)

// incarnationStep is the wall-clock time in which the first incarnation of new processes grows by one. A uint32 that
// counts quarters of a second overflows after 34 years.
const incarnationStep = 250 * time.Millisecond

// incarnationEpoch is the wall-clock time of incarnation zero.
var incarnationEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// startIncarnation returns the base incarnation of a process that starts at the given wall-clock time. All processes of
// an agent use the clock of the same machine. If that clock was set back, a process starts with a lower incarnation
// than its predecessors. It then refutes the messages that it receives about them, and liftRetirements corrects the
// members that took it for an earlier process.
func startIncarnation(wall time.Time) uint32 {
	return uint32(max(0, wall.Sub(incarnationEpoch)/incarnationStep))
}

// raiseIncarnation raises this process's incarnation above baseIncarnation, and returns when that is done. memberlist
// itself starts at incarnation one, so messages about an earlier process of this name would be taken for messages about
// this one.
//
// It gives memberlist a suspicion of this process, which memberlist refutes with a higher incarnation. The suspicion is
// in a push/pull, which is merged synchronously. A packet would only be queued, and memberlist signals no event when a
// member that is alone refutes a suspicion.
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
		return fmt.Errorf("raising the incarnation above those of earlier processes: %w", err)
	}
	return nil
}

// announce lets this process send and receive messages about members, once its incarnation is above those of earlier
// processes.
//
// Besides the refutation, memberlist's queue still has the alive message with the first incarnation, which is one. The
// update of the metadata replaces that message. Otherwise another member that has just started would accept the
// message, and would later take a message about an earlier process for one about a later process.
func (m *Membership) announce() {
	if err := m.list.Load().UpdateNode(updateTimeout); err != nil {
		m.log.Warn("membership: announcing the start failed", "err", err)
	}
	m.notifyListChanged() // memberlist has no event for its own update, and a member that is alone doesn't gossip
	close(m.announced)
	close(m.transport.announced)
}
