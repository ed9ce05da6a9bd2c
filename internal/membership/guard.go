package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"github.com/hashicorp/memberlist"
)

const (
	// maxCompoundDepth is how deep compound messages may be nested.
	maxCompoundDepth = 1
	// checksumBytes is the length of a checksum, and of the message type and the checksum before what it covers.
	checksumBytes       = 4
	checksumHeaderBytes = 1 + checksumBytes
	// partLengthBytes is the length of the length of a part in a compound message.
	partLengthBytes = 2
	// versionBytes is the number of versions in a pushNode.
	versionBytes = 6
)

// Why a message is one that no member sends.
var (
	errEmptyMessage   = errors.New("empty message")
	errNested         = errors.New("nested too deep")
	errCompoundCutOff = errors.New("compound message cut off")
	errNoChecksumBody = errors.New("checksum of nothing")
	errChecksum       = errors.New("wrong checksum")
)

// messageTypeError is a message of a type that no member sends at that place.
type messageTypeError messageType

func (e messageTypeError) Error() string { return fmt.Sprintf("message of type %d", messageType(e)) }

// checkPacket tells why a packet, its label removed, is one that no member sends; nil: it may go to memberlist. Each
// of its messages is given to onMessage, which may change its bytes in place (not their number); checksums are then
// updated. Compressed and encrypted messages are rejected: agents never send any, and a small one can unpack to any
// size.
func checkPacket(b []byte, depth int, onMessage func(message []byte)) error {
	if len(b) == 0 {
		return errEmptyMessage
	}
	switch typeOf(b) {
	case msgPing, msgIndirectPing, msgAck, msgNack, msgUser, msgSuspect, msgAlive, msgDead:
		onMessage(b)
		return nil
	case msgCRC:
		return checkChecksum(b, depth, onMessage)
	case msgCompound:
		if depth > maxCompoundDepth {
			return errNested
		}
		return checkCompound(bodyOf(b), depth, onMessage)
	default:
		return messageTypeError(typeOf(b))
	}
}

// checkChecksum checks a message with a checksum, which only a whole packet may have, and what it covers.
func checkChecksum(b []byte, depth int, onMessage func([]byte)) error {
	if len(b) <= checksumHeaderBytes || depth > 0 {
		return errNoChecksumBody
	}
	checksum, body := b[1:checksumHeaderBytes], b[checksumHeaderBytes:]
	if binary.BigEndian.Uint32(checksum) != crc32.ChecksumIEEE(body) {
		return errChecksum
	}
	err := checkPacket(body, depth+1, onMessage)
	binary.BigEndian.PutUint32(checksum, crc32.ChecksumIEEE(body))
	return err
}

// checkCompound checks the parts of a compound message: their number in a byte, the length of each in two, then the
// parts.
func checkCompound(b []byte, depth int, onMessage func([]byte)) error {
	if len(b) < 1 {
		return errCompoundCutOff
	}
	lengthsEnd := 1 + partLengthBytes*int(b[0])
	if len(b) < lengthsEnd {
		return errCompoundCutOff
	}
	lengths, parts := b[1:lengthsEnd], b[lengthsEnd:]
	for ; len(lengths) > 0; lengths = lengths[partLengthBytes:] {
		length := int(binary.BigEndian.Uint16(lengths))
		if length > len(parts) {
			return errCompoundCutOff
		}
		if err := checkPacket(parts[:length], depth+1, onMessage); err != nil {
			return err
		}
		parts = parts[length:]
	}
	return nil
}

// readPushPull reads a push/pull without its first byte. It checks every length in it against what is there, so that
// memberlist, which trusts them, can be given the message.
func readPushPull(b []byte, maxNodes int) ([]pushNode, error) {
	decoder := codec.NewDecoderBytes(b, &codec.MsgpackHandle{})
	var header pushPullHeader
	if err := decoder.Decode(&header); err != nil {
		return nil, fmt.Errorf("push/pull header: %w", err)
	}
	if header.Nodes < 0 || header.Nodes > maxNodes || header.UserStateLen < 0 || header.UserStateLen > len(b) {
		return nil, fmt.Errorf("push/pull of %d members and %d bytes", header.Nodes, header.UserStateLen)
	}
	nodes := make([]pushNode, header.Nodes)
	for i := range nodes {
		if err := decoder.Decode(&nodes[i]); err != nil {
			return nil, fmt.Errorf("push/pull member %d: %w", i, err)
		}
		if !hasValidLengths(&nodes[i]) {
			return nil, fmt.Errorf("push/pull member %d: a field has an invalid length", i)
		}
	}
	if rest := len(b) - decoder.NumBytesRead(); rest != header.UserStateLen {
		return nil, fmt.Errorf("push/pull with %d bytes of state where the header has %d", rest, header.UserStateLen)
	}
	return nodes, nil
}

// hasValidLengths tells whether each field of a push/pull's member has a length that a member's may have.
func hasValidLengths(node *pushNode) bool {
	return len(node.Vsn) == versionBytes &&
		len(node.Name) <= maxNameBytes &&
		len(node.Meta) <= memberlist.MetaMaxSize &&
		isValidIP(node.Addr)
}

// isValidIP tells whether an address in a message has the length of an IPv4 or IPv6 address.
func isValidIP(addr []byte) bool { return len(addr) == net.IPv4len || len(addr) == net.IPv6len }

// checkStream tells why a message of a stream is one that no member sends.
func checkStream(b []byte, maxNodes int) (err error) {
	defer func() {
		// The decoder panics at some input that is not msgpack.
		if r := recover(); r != nil {
			err = fmt.Errorf("invalid message: %v", r)
		}
	}()
	if len(b) == 0 {
		return errEmptyMessage
	}
	switch typeOf(b) {
	case msgPushPull:
		_, err = readPushPull(bodyOf(b), maxNodes)
		return err
	case msgPing, msgAck, msgError, msgWatch:
		return nil
	default:
		return messageTypeError(typeOf(b))
	}
}
