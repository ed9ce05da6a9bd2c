package membership

import (
	"bytes"
	"net"
	"time"
)

// The peer names for which DialAddressTimeout opens a local stream. Over listPeer memberlist writes its own list; over
// suspicionPeer it reads a list with a suspicion of this process. No member may have these names.
const (
	listPeer      = "@list"
	suspicionPeer = "@suspicion"
)

// localStream is an in-process stream to which memberlist writes the first half of a push/pull: its own list. The other
// half, the response, is fixed when the stream is created.
type localStream struct {
	net.Conn // nil: memberlist only calls the methods below
	addr     net.Addr
	onList   func([]byte)
	response *bytes.Reader
}

func newLocalStream(addr string, onList func([]byte), response []byte) (net.Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &localStream{addr: remote, onList: onList, response: bytes.NewReader(response)}, nil
}

// Write passes a push/pull to onList and discards any other message.
func (s *localStream) Write(message []byte) (int, error) {
	if len(message) > 0 && typeOf(message) == msgPushPull {
		s.onList(bytes.Clone(message))
	}
	return len(message), nil
}

// Read reads from the response.
func (s *localStream) Read(p []byte) (int, error) { return s.response.Read(p) }

// Close does nothing.
func (s *localStream) Close() error { return nil }

// RemoteAddr returns the address that memberlist dialed.
func (s *localStream) RemoteAddr() net.Addr { return s.addr }

// SetDeadline does nothing: no call blocks.
func (s *localStream) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing: no call blocks.
func (s *localStream) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: no call blocks.
func (s *localStream) SetWriteDeadline(time.Time) error { return nil }
