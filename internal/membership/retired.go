package membership

import (
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// retired is a process that was replaced by another of its name. What comes late of it is not heard
// for ForgetMs, unless it claims a higher incarnation than the process that took its place: see lift.
type retiredProcess struct {
	process   string
	retiredAt time.Time
}

// keptRetired is how many retired processes of a name are remembered.
const maxRetiredPerName = 4

// retire remembers a process that was replaced.
func (t *memberTable) retire(name string, old retiredProcess) {
	if len(t.retired) > 4*t.cfg.maxMembers() {
		clear(t.retired) // names that come and go for ever: what is late of them is refuted
	}
	t.retired[name] = append([]retiredProcess{old}, t.retired[name]...)
	t.retired[name] = t.retired[name][:min(len(t.retired[name]), maxRetiredPerName)]
}

// barred tells whether a process of a name is not heard, as it was replaced of late.
func (t *memberTable) isRetired(name, process string, now time.Time) bool {
	return slices.ContainsFunc(t.retired[name], func(old retiredProcess) bool {
		return old.process == process && now.Sub(old.retiredAt) < milliseconds(t.cfg.ForgetMs)
	})
}

// lift ends the bar of a process that claims a higher incarnation than the one that took its place.
// Incarnations begin with the wall clock, so all that an earlier process told is below its successor.
// Where that clock was set back between the two, a process begins below its predecessor: who hears of
// it first and of the predecessor then takes it for the earlier one. It refutes that with a
// higher incarnation, which shows that it is the one that lives.
func (t *memberTable) liftRetirement(name, process string, incarnation uint32) {
	current, ok := t.snapshot.Member(name)
	if !ok || incarnation <= current.Incarnation {
		return
	}
	t.retired[name] = slices.DeleteFunc(t.retired[name], func(old retiredProcess) bool { return old.process == process })
}

// aliveMessage is the word that a member is alive, as far as it is read here.
type aliveMessage struct {
	Incarnation uint32
	Node        string
	Meta        []byte
}

// liftBar lifts the bars that a message of members alive refutes: an alive message or a push/pull,
// whose form was checked. It is called before memberlist has it.
func (m *Membership) liftRetirements(message []byte) {
	m.mu.Lock()
	none := len(m.table.retired) == 0
	m.mu.Unlock()
	if none {
		return
	}
	claims, err := readAlive(message, m.cfg.maxMembers())
	if err != nil {
		return // memberlist passes it over
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

// readAlive reads what an alive message or a push/pull tells of members.
func readAlive(message []byte, maxNodes int) (claims []aliveMessage, err error) {
	defer func() {
		if recover() != nil { // of no form, over which the decoder falls
			claims, err = nil, errors.New("alive message of no form")
		}
	}()
	if message[0] == msgPushPull {
		nodes, err := readPushPull(message[1:], maxNodes)
		for i := range nodes {
			if n := &nodes[i]; n.State == memberlist.StateAlive {
				claims = append(claims, aliveMessage{n.Incarnation, n.Name, n.Meta})
			}
		}
		return claims, err
	}
	var claim aliveMessage
	err = codec.NewDecoderBytes(message[1:], &codec.MsgpackHandle{}).Decode(&claim)
	return []aliveMessage{claim}, err
}
