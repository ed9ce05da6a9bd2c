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
	// maxCompoundDepth is the maximum depth at which a compound message may be nested in others.
	maxCompoundDepth = 1
	// checksumBytes is the length of a checksum.
	checksumBytes = 4
	// checksumHeaderBytes is the length of the message type and the checksum, which precede the covered bytes.
	checksumHeaderBytes = 1 + checksumBytes
	// partLengthBytes is the size of each length field in a compound message.
	partLengthBytes = 2
	// versionBytes is the number of versions in a pushNode, of one byte each.
	versionBytes = 6
)

// Reasons for which a message is rejected.
var (
	errEmptyMessage      = errors.New("empty message")
	errNestedTooDeeply   = errors.New("compound message nested too deeply")
	errCompoundTruncated = errors.New("compound message is truncated")
	errChecksumBody      = errors.New("checksum message is empty or nested")
	errChecksum          = errors.New("checksum mismatch")
)

// messageTypeError is the error for a message of a type that no member sends in that place.
type messageTypeError messageType

func (e messageTypeError) Error() string {
	return fmt.Sprintf("unexpected message type %d", messageType(e))
}

// checkPacket checks a packet without its label. If it returns nil, the packet can be handed to memberlist. It calls
// onMessage with each message in the packet. onMessage may modify the message but not resize it; checksums are updated
// afterwards. Compressed and encrypted messages are rejected: agents never send any, and a small compressed message can
// expand to any size.
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
			return errNestedTooDeeply
		}
		return checkCompound(bodyOf(b), depth, onMessage)
	default:
		return messageTypeError(typeOf(b))
	}
}

// checkChecksum checks a message with a checksum, and the message that the checksum covers. Only a whole packet may
// have a checksum.
func checkChecksum(b []byte, depth int, onMessage func([]byte)) error {
	if len(b) <= checksumHeaderBytes || depth > 0 {
		return errChecksumBody
	}
	checksum, body := b[1:checksumHeaderBytes], b[checksumHeaderBytes:]
	if binary.BigEndian.Uint32(checksum) != crc32.ChecksumIEEE(body) {
		return errChecksum
	}
	err := checkPacket(body, depth+1, onMessage)
	binary.BigEndian.PutUint32(checksum, crc32.ChecksumIEEE(body))
	return err
}

// checkCompound checks the body of a compound message: the number of its parts in one byte, the length of each part in
// two bytes, and the parts.
func checkCompound(b []byte, depth int, onMessage func([]byte)) error {
	if len(b) < 1 {
		return errCompoundTruncated
	}
	lengthsEnd := 1 + partLengthBytes*int(b[0])
	if len(b) < lengthsEnd {
		return errCompoundTruncated
	}
	lengths, parts := b[1:lengthsEnd], b[lengthsEnd:]
	for ; len(lengths) > 0; lengths = lengths[partLengthBytes:] {
		length := int(binary.BigEndian.Uint16(lengths))
		if length > len(parts) {
			return errCompoundTruncated
		}
		if err := checkPacket(parts[:length], depth+1, onMessage); err != nil {
			return err
		}
		parts = parts[length:]
	}
	return nil
}

// readPushPull decodes the body of a push/pull. It checks each length field against the data, so that the message can
// be handed to memberlist, which trusts these lengths.
func readPushPull(b []byte, maxNodes int) ([]pushNode, error) {
	decoder := codec.NewDecoderBytes(b, &codec.MsgpackHandle{})
	var header pushPullHeader
	if err := decoder.Decode(&header); err != nil {
		return nil, fmt.Errorf("push/pull header: %w", err)
	}
	if header.Nodes < 0 || header.Nodes > maxNodes || header.UserStateLen < 0 || header.UserStateLen > len(b) {
		return nil, fmt.Errorf("push/pull header: %d members, %d bytes of user state", header.Nodes, header.UserStateLen)
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
		return nil, fmt.Errorf("push/pull with %d bytes of user state, header says %d", rest, header.UserStateLen)
	}
	return nodes, nil
}

// hasValidLengths reports whether all fields of a member in a push/pull have valid lengths.
func hasValidLengths(node *pushNode) bool {
	return len(node.Vsn) == versionBytes &&
		len(node.Name) <= maxNameBytes &&
		len(node.Meta) <= memberlist.MetaMaxSize &&
		isValidIP(node.Addr)
}

// isValidIP reports whether an address in a message has the length of an IPv4 or IPv6 address.
func isValidIP(addr []byte) bool { return len(addr) == net.IPv4len || len(addr) == net.IPv6len }

// checkStream checks a message of a stream; if it returns nil, the message can be handed to memberlist.
func checkStream(b []byte, maxNodes int) (err error) {
	defer func() {
		// The decoder panics on some input that is not msgpack.
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
