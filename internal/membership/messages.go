package membership

import (
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// The messages of memberlist's protocol (v0.5.4, version 2) as far as they are read here: the first byte is the
// type, msgpack follows.
const (
	msgPing = iota
	msgIndirectPing
	msgAck
	msgSuspect
	msgAlive
	msgDead
	msgPushPull
	msgCompound
	msgUser
	msgCompress
	msgEncrypt
	msgNack
	msgCRC
	msgError

	msgLabel = 244
)

// maxNameBytes bounds a member's name.
const maxNameBytes = 64

// pushPullHeader begins a push/pull; Nodes entries of pushNode and UserStateLen bytes follow.
type pushPullHeader struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

// pushNode is one member in a push/pull.
type pushNode struct {
	Name        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Incarnation uint32
	State       memberlist.NodeStateType
	Vsn         []uint8
}

// deadMessage reports that a member is dead or, if it is From itself, that it leaves. A suspicion has the same form.
type deadMessage struct {
	Incarnation uint32
	Node        string
	From        string
}

// errorMessage answers a stream with an error.
type errorMessage struct{ Error string }

// encodeMessage is a message as memberlist writes it.
func encodeMessage(kind byte, body any) []byte {
	var encoded []byte
	if err := codec.NewEncoderBytes(&encoded, &codec.MsgpackHandle{}).Encode(body); err != nil {
		panic(err) // a struct of plain fields can be encoded
	}
	return append([]byte{kind}, encoded...)
}

// encodePushPull is a push/pull with one member.
func encodePushPull(node pushNode) []byte {
	message := encodeMessage(msgPushPull, pushPullHeader{Nodes: 1})
	return append(message, encodeMessage(0, node)[1:]...)
}

// changesState tells whether a message is about a member's state.
func changesState(message []byte) bool {
	switch message[0] {
	case msgSuspect, msgAlive, msgDead:
		return true
	default:
		return false
	}
}

// demoteDeathReport turns a report that a member is dead into a suspicion, unless it is the member's own (it leaves)
// or comes from a member that is trusted; the two messages differ in their first byte only.
func demoteDeathReport(message []byte, trusts func(reporter, accused string) bool) (demoted bool) {
	if message[0] != msgDead {
		return false
	}
	defer func() {
		_ = recover() // the decoder panics at some input that is not msgpack: memberlist drops such a message
	}()
	var report deadMessage
	if err := codec.NewDecoderBytes(message[1:], &codec.MsgpackHandle{}).Decode(&report); err != nil {
		return false
	}
	if report.From == report.Node || trusts(report.From, report.Node) {
		return false
	}
	message[0] = msgSuspect
	return true
}
