package membership

import (
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// retiredProcess is a process that another process of the same name replaced. Late messages about it are ignored
// for ForgetMs, unless one claims a higher incarnation than the process that replaced it: see liftRetirement.
type retiredProcess struct {
	process   string
	retiredAt time.Time
}

const (
	// maxRetiredPerName is how many retired processes of a name are remembered.
	maxRetiredPerName = 4
	// retiredNamesFactor bounds the names with retired processes, as a multiple of maxMembers.
	retiredNamesFactor = 4
)

var errInvalidAlive = errors.New("invalid alive message")

// retire remembers a process that was replaced.
func (t *memberTable) retire(name string, old retiredProcess) {
	if len(t.retired) > retiredNamesFactor*t.cfg.maxMembers() {
		clear(t.retired) // new names keep coming; late messages about the old ones are refuted by their members
	}
	processes := append([]retiredProcess{old}, t.retired[name]...)
	t.retired[name] = processes[:min(len(processes), maxRetiredPerName)]
}

// isRetired tells whether messages about a process are ignored, as it was replaced within ForgetMs.
func (t *memberTable) isRetired(name, process string, now time.Time) bool {
	return slices.ContainsFunc(t.retired[name], func(old retiredProcess) bool {
		return old.process == process && now.Sub(old.retiredAt) < milliseconds(t.cfg.ForgetMs)
	})
}

// liftRetirement ends the retirement of a process that claims a higher incarnation than the one that replaced it.
//
// Incarnations start from the wall clock, so all that an earlier process sent is below its successor. Where that
// clock was set back between the two, a process starts below its predecessor: a member that learns of it first,
// and of the predecessor then, takes it for the earlier one. The process refutes that with a higher incarnation,
// which shows that it is the one that runs.
func (t *memberTable) liftRetirement(name, process string, incarnation uint32) {
	current, ok := t.snapshot.Member(name)
	if !ok || incarnation <= current.Incarnation {
		return
	}
	t.retired[name] = slices.DeleteFunc(t.retired[name], func(old retiredProcess) bool {
		return old.process == process
	})
}

// aliveMessage is memberlist's message that a member is alive, as far as it is read here.
type aliveMessage struct {
	Incarnation uint32
	Node        string
	Meta        []byte
}

// liftRetirements lifts the retirements that an alive message or a push/pull refutes. Its form has been checked,
// and memberlist has not seen it yet.
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

// readAlive reads the members that an alive message or a push/pull claims to be alive.
func readAlive(message []byte, maxNodes int) (claims []aliveMessage, err error) {
	defer func() {
		if recover() != nil { // the decoder panics at some input that is not msgpack
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

// readAliveNodes reads the alive members of a push/pull.
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
