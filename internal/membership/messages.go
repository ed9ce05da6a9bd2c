package membership

import (
	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// messageType is the first byte of a message of memberlist's protocol (v0.5.4, version 2). The body follows, in most
// messages as msgpack.
type messageType byte

// The message types of memberlist.
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

// typeOf returns the type of a message, which must not be empty.
func typeOf(message []byte) messageType { return messageType(message[0]) }

// bodyOf returns the body of a message.
func bodyOf(message []byte) []byte { return message[1:] }

// maxNameBytes is the maximum length of a member's name.
const maxNameBytes = 64

// pushPullHeader is the header of a push/pull, followed by Nodes pushNode entries and UserStateLen bytes of user state.
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

// deadMessage reports that a member is dead or, if Node and From are equal, that it leaves. A suspicion has the same
// fields.
type deadMessage struct {
	Incarnation uint32
	Node        string
	From        string
}

// errorMessage is an error response on a stream.
type errorMessage struct{ Error string }

// encodeMessage returns a message in memberlist's encoding.
func encodeMessage(kind messageType, body any) []byte {
	return append([]byte{byte(kind)}, encodeBody(body)...)
}

// encodeBody encodes a struct of plain fields as msgpack.
func encodeBody(body any) []byte {
	var encoded []byte
	if err := codec.NewEncoderBytes(&encoded, &codec.MsgpackHandle{}).Encode(body); err != nil {
		panic(err) // encoding plain fields never fails
	}
	return encoded
}

// encodePushPull returns a push/pull with one member.
func encodePushPull(node pushNode) []byte {
	message := encodeMessage(msgPushPull, pushPullHeader{Nodes: 1})
	return append(message, encodeBody(node)...)
}

// changesState reports whether a message can change a member's state.
func changesState(message []byte) bool {
	switch typeOf(message) {
	case msgSuspect, msgAlive, msgDead:
		return true
	default:
		return false
	}
}

// demoteDeathReport turns a report that a member is dead into a suspicion in place, and reports whether it did. It does
// not change a member's announcement that it leaves, nor reports from trusted members. Death reports and suspicions
// differ only in the first byte.
func demoteDeathReport(message []byte, trusts func(reporter, accused string) bool) (demoted bool) {
	if typeOf(message) != msgDead {
		return false
	}
	defer func() {
		_ = recover() // the decoder panics on some input that is not msgpack; memberlist drops such a message
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
