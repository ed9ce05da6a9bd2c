package membership

import (
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// retiredProcess is a process that another process of the same name replaced. Late messages about it are ignored for
// ForgetMs, unless one has a higher incarnation than the process that replaced it; see liftRetirement.
type retiredProcess struct {
	process   string
	retiredAt time.Time
}

const (
	// maxRetiredPerName is the maximum number of retired processes that are kept per name.
	maxRetiredPerName = 4
	// retiredNamesFactor is the maximum number of names with retired processes, as a multiple of maxMembers.
	retiredNamesFactor = 4
)

var errInvalidAlive = errors.New("invalid alive message")

// retire records a process that was replaced.
func (t *memberTable) retire(name string, old retiredProcess) {
	if len(t.retired) > retiredNamesFactor*t.cfg.maxMembers() {
		clear(t.retired) // bounds memory if new names keep coming; members refute late messages about themselves
	}
	processes := append([]retiredProcess{old}, t.retired[name]...)
	t.retired[name] = processes[:min(len(processes), maxRetiredPerName)]
}

// isRetired reports whether messages about a process are ignored because it was replaced less than ForgetMs ago.
func (t *memberTable) isRetired(name, process string, now time.Time) bool {
	return slices.ContainsFunc(t.retired[name], func(old retiredProcess) bool {
		return old.process == process && now.Sub(old.retiredAt) < milliseconds(t.cfg.ForgetMs)
	})
}

// liftRetirement ends the retirement of a process that has a higher incarnation than the one that replaced it.
//
// First incarnations are derived from the wall clock, so that all messages about an earlier process have lower
// incarnations than its successor. If the clock was set back between the two starts, the successor starts with a lower
// incarnation than its predecessor. A member that learns first of the successor and then of the predecessor takes the
// successor for the earlier process. The successor refutes this with a higher incarnation, which shows that it is the
// running process.
func (t *memberTable) liftRetirement(name, process string, incarnation uint32) {
	current, ok := t.snapshot.Member(name)
	if !ok || incarnation <= current.Incarnation {
		return
	}
	t.retired[name] = slices.DeleteFunc(t.retired[name], func(old retiredProcess) bool {
		return old.process == process
	})
}

// aliveMessage has the fields of memberlist's alive message that this package reads.
type aliveMessage struct {
	Incarnation uint32
	Node        string
	Meta        []byte
}

// liftRetirements ends the retirements that an alive message or a push/pull refutes. It is called with messages that
// have been checked, before memberlist receives them.
func (m *Membership) liftRetirements(message []byte) {
	if !m.hasRetired() {
		return
	}
	claims, err := readAlive(message, m.cfg.maxMembers())
	if err != nil {
		return // memberlist drops the message too
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range claims {
		claim := &claims[i]
		if len(m.table.retired[claim.Node]) == 0 {
			continue
		}
		if parsed, err := m.metas.parse(claim.Meta); err == nil {
			m.table.liftRetirement(claim.Node, parsed.Process, claim.Incarnation)
		}
	}
}

func (m *Membership) hasRetired() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.table.retired) > 0
}

// readAlive returns the members that are alive according to an alive message or a push/pull.
func readAlive(message []byte, maxNodes int) (claims []aliveMessage, err error) {
	defer func() {
		if recover() != nil { // the decoder panics on some input that is not msgpack
			claims = nil
			err = errInvalidAlive
		}
	}()
	if typeOf(message) == msgPushPull {
		return readAliveNodes(message, maxNodes)
	}
	var claim aliveMessage
	err = codec.NewDecoderBytes(bodyOf(message), &codec.MsgpackHandle{}).Decode(&claim)
	return []aliveMessage{claim}, err
}

// readAliveNodes returns the alive members in a push/pull.
func readAliveNodes(message []byte, maxNodes int) ([]aliveMessage, error) {
	nodes, err := readPushPull(bodyOf(message), maxNodes)
	if err != nil {
		return nil, err
	}
	var claims []aliveMessage
	for i := range nodes {
		node := &nodes[i]
		if node.State == memberlist.StateAlive {
			claims = append(claims, aliveMessage{node.Incarnation, node.Name, node.Meta})
		}
	}
	return claims, nil
}
