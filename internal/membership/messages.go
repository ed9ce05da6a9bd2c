package membership

import (
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// messageType is the first byte of a message of memberlist's protocol (v0.5.4, version 2); the body follows, mostly as
// msgpack.
type messageType byte

// The types of messages.
const (
	msgPing messageType = iota
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

	msgLabel messageType = 244
)

// typeOf is the type of a message, which is not empty.
func typeOf(message []byte) messageType { return messageType(message[0]) }

// bodyOf is what follows a message's type.
func bodyOf(message []byte) []byte { return message[1:] }

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
func encodeMessage(kind messageType, body any) []byte {
	return append([]byte{byte(kind)}, encodeBody(body)...)
}

// encodeBody is a struct of plain fields as msgpack.
func encodeBody(body any) []byte {
	var encoded []byte
	if err := codec.NewEncoderBytes(&encoded, &codec.MsgpackHandle{}).Encode(body); err != nil {
		panic(err) // a struct of plain fields can be encoded
	}
	return encoded
}

// encodePushPull is a push/pull with one member.
func encodePushPull(node pushNode) []byte {
	message := encodeMessage(msgPushPull, pushPullHeader{Nodes: 1})
	return append(message, encodeBody(node)...)
}

// changesState tells whether a message is about a member's state.
func changesState(message []byte) bool {
	switch typeOf(message) {
	case msgSuspect, msgAlive, msgDead:
		return true
	default:
		return false
	}
}

// demoteDeathReport turns a report that a member is dead into a suspicion, unless it is the member's own (it leaves)
// or comes from a member that is trusted; the two messages differ in their first byte only.
func demoteDeathReport(message []byte, trusts func(reporter, accused string) bool) (demoted bool) {
	if typeOf(message) != msgDead {
		return false
	}
	defer func() {
		_ = recover() // the decoder panics at some input that is not msgpack: memberlist drops such a message
	}()
	var report deadMessage
	if err := codec.NewDecoderBytes(bodyOf(message), &codec.MsgpackHandle{}).Decode(&report); err != nil {
		return false
	}
	if report.From == report.Node || trusts(report.From, report.Node) {
		return false
	}
	message[0] = byte(msgSuspect)
	return true
}
