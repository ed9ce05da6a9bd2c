package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

// The messages of memberlist's protocol (v0.5.4, version 2) as far as the guard reads
// them: their first byte, and msgpack behind it.
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

type pushPullHeader struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

type pushNode struct {
	Name        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Incarnation uint32
	State       memberlist.NodeStateType
	Vsn         []uint8
}

type deadMessage struct {
	Incarnation uint32
	Node        string
	From        string
}

type errorMessage struct{ Error string }

var errNested = errors.New("nested too deep")

// encodeMessage is a message as memberlist writes it.
func encodeMessage(kind byte, body any) []byte {
	out := []byte{kind}
	var b []byte
	if err := codec.NewEncoderBytes(&b, &codec.MsgpackHandle{}).Encode(body); err != nil {
		panic(err) // a struct of plain fields
	}
	return append(out, b...)
}

// checkPacket tells why a packet, its label taken off, is none that a member sends; nil:
// it may go to memberlist. tells is whether it says something of a member's state.
// Compressed and encrypted messages are refused: ours never are, and a small one can
// unpack to any size.
func checkPacket(b []byte, depth int) (tells bool, err error) {
	if len(b) == 0 {
		return false, errors.New("empty message")
	}
	switch b[0] {
	case msgPing, msgIndirectPing, msgAck, msgNack, msgUser:
		return false, nil
	case msgSuspect, msgAlive, msgDead:
		return true, nil
	case msgCRC:
		if len(b) <= 5 || depth > 0 {
			return false, errors.New("checksum of nothing")
		}
		return checkPacket(b[5:], depth+1)
	case msgCompound:
		if depth > 1 {
			return false, errNested
		}
		return checkCompound(b[1:], depth)
	}
	return false, fmt.Errorf("message of type %d", b[0])
}

// checkCompound checks the parts of a compound message: their number in a byte, the length
// of each in two, then the parts.
func checkCompound(b []byte, depth int) (tells bool, err error) {
	if len(b) < 1 || len(b) < 1+2*int(b[0]) {
		return false, errors.New("compound message cut off")
	}
	lengths, rest := b[1:1+2*int(b[0])], b[1+2*int(b[0]):]
	for ; len(lengths) > 0; lengths = lengths[2:] {
		n := int(binary.BigEndian.Uint16(lengths))
		if n > len(rest) {
			return tells, errors.New("compound message cut off")
		}
		says, err := checkPacket(rest[:n], depth+1)
		if err != nil {
			return tells, err
		}
		tells, rest = tells || says, rest[n:]
	}
	return tells, nil
}

// readPushPull reads a push/pull message behind its first byte: every length in it is
// checked against what is there, so that memberlist, which trusts them, can be given it.
func readPushPull(b []byte, maxNodes int) ([]pushNode, error) {
	dec := codec.NewDecoderBytes(b, &codec.MsgpackHandle{})
	var h pushPullHeader
	if err := dec.Decode(&h); err != nil {
		return nil, fmt.Errorf("push/pull header: %w", err)
	}
	if h.Nodes < 0 || h.Nodes > maxNodes || h.UserStateLen < 0 || h.UserStateLen > len(b) {
		return nil, fmt.Errorf("push/pull of %d members and %d bytes", h.Nodes, h.UserStateLen)
	}
	nodes := make([]pushNode, h.Nodes)
	for i := range nodes {
		n := &nodes[i]
		if err := dec.Decode(n); err != nil {
			return nil, fmt.Errorf("push/pull member %d: %w", i, err)
		}
		if len(n.Vsn) != 6 || len(n.Name) > maxName || len(n.Meta) > memberlist.MetaMaxSize || len(n.Addr) != 4 && len(n.Addr) != 16 {
			return nil, fmt.Errorf("push/pull member %d: a field of a length that none has", i)
		}
	}
	if rest := len(b) - dec.NumBytesRead(); rest != h.UserStateLen {
		return nil, fmt.Errorf("push/pull with %d bytes of state where %d are told", rest, h.UserStateLen)
	}
	return nodes, nil
}

// maxName bounds a member's name, in bytes.
const maxName = 64

// checkStream tells why a message of a stream is none that a member sends.
func checkStream(b []byte, maxNodes int) (err error) {
	defer func() {
		// The decoder panics at some input that is no msgpack at all.
		if r := recover(); r != nil {
			err = fmt.Errorf("message of no form: %v", r)
		}
	}()
	if len(b) == 0 {
		return errors.New("empty message")
	}
	switch b[0] {
	case msgPushPull:
		_, err = readPushPull(b[1:], maxNodes)
		return err
	case msgPing, msgAck, msgError, msgWatch:
		return nil
	}
	return fmt.Errorf("stream message of type %d", b[0])
}
