package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

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

// encodePushPull is a push/pull with one member.
func encodePushPull(node pushNode) []byte {
	message := encodeMessage(msgPushPull, pushPullHeader{Nodes: 1})
	return append(message, encodeMessage(0, node)[1:]...)
}

// isValidIP tells whether an address in a message has the length of an IPv4 or IPv6 address.
func isValidIP(addr []byte) bool { return len(addr) == 4 || len(addr) == 16 }

// checkPacket tells why a packet, its label taken off, is none that a member sends; nil:
// it may go to memberlist. Each of its messages is given to each, which may change its bytes
// in their place (not their number); checksums then follow. Compressed and encrypted messages
// are refused: ours never are, and a small one can unpack to any size.
func checkPacket(b []byte, depth int, each func(message []byte)) error {
	if len(b) == 0 {
		return errors.New("empty message")
	}
	switch b[0] {
	case msgPing, msgIndirectPing, msgAck, msgNack, msgUser, msgSuspect, msgAlive, msgDead:
		each(b)
		return nil
	case msgCRC:
		if len(b) <= 5 || depth > 0 {
			return errors.New("checksum of nothing")
		}
		if binary.BigEndian.Uint32(b[1:5]) != crc32.ChecksumIEEE(b[5:]) {
			return errors.New("checksum of something else")
		}
		err := checkPacket(b[5:], depth+1, each)
		binary.BigEndian.PutUint32(b[1:5], crc32.ChecksumIEEE(b[5:]))
		return err
	case msgCompound:
		if depth > 1 {
			return errNested
		}
		return checkCompound(b[1:], depth, each)
	}
	return fmt.Errorf("message of type %d", b[0])
}

// checkCompound checks the parts of a compound message: their number in a byte, the length
// of each in two, then the parts.
func checkCompound(b []byte, depth int, each func([]byte)) error {
	if len(b) < 1 || len(b) < 1+2*int(b[0]) {
		return errors.New("compound message cut off")
	}
	lengths, rest := b[1:1+2*int(b[0])], b[1+2*int(b[0]):]
	for ; len(lengths) > 0; lengths = lengths[2:] {
		n := int(binary.BigEndian.Uint16(lengths))
		if n > len(rest) {
			return errors.New("compound message cut off")
		}
		if err := checkPacket(rest[:n], depth+1, each); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return nil
}

// tellsState tells whether a message says something of a member's state.
func changesState(message []byte) bool {
	return message[0] == msgSuspect || message[0] == msgAlive || message[0] == msgDead
}

// hearsay turns the word that a member is dead into a suspicion, unless it is the member's own
// (it leaves) or comes from one whose word counts; both have one form but their first byte.
func demoteDeathReport(message []byte, counts func(accuser, accused string) bool) (turned bool) {
	if message[0] != msgDead {
		return false
	}
	defer func() {
		_ = recover() // of no form, over which the decoder falls: memberlist passes it over
	}()
	var d deadMessage
	if err := codec.NewDecoderBytes(message[1:], &codec.MsgpackHandle{}).Decode(&d); err != nil || d.From == d.Node || counts(d.From, d.Node) {
		return false
	}
	message[0] = msgSuspect
	return true
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
		if len(n.Vsn) != 6 || len(n.Name) > maxNameBytes || len(n.Meta) > memberlist.MetaMaxSize || !isValidIP(n.Addr) {
			return nil, fmt.Errorf("push/pull member %d: a field of a length that none has", i)
		}
	}
	if rest := len(b) - dec.NumBytesRead(); rest != h.UserStateLen {
		return nil, fmt.Errorf("push/pull with %d bytes of state where %d are told", rest, h.UserStateLen)
	}
	return nodes, nil
}

// maxName bounds a member's name, in bytes.
const maxNameBytes = 64

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
