package membership

import (
	"bytes"
	"net"
	"time"
)

// The names under which memberlist opens the local streams: by one it writes its own list, by the other it reads a
// list with a suspicion of this process. No member may have them.
const (
	listPeer      = "@list"
	suspicionPeer = "@suspicion"
)

// localStream is a stream within the process, to which memberlist writes the first half of a push/pull: its own
// list. The other half is an answer that is given beforehand.
type localStream struct {
	net.Conn // nil: no method but those below is used
	addr     net.Addr
	onList   func([]byte)
	answer   *bytes.Reader
}

func newLocalStream(addr string, onList func([]byte), answer []byte) (net.Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &localStream{addr: remote, onList: onList, answer: bytes.NewReader(answer)}, nil
}

// Write takes a message; of those that memberlist writes only the push/pull is recorded.
func (s *localStream) Write(message []byte) (int, error) {
	if len(message) > 0 && typeOf(message) == msgPushPull {
		s.onList(bytes.Clone(message))
	}
	return len(message), nil
}

// Read reads the answer.
func (s *localStream) Read(p []byte) (int, error) { return s.answer.Read(p) }

// Close does nothing.
func (s *localStream) Close() error { return nil }

// RemoteAddr is the address that memberlist dialed.
func (s *localStream) RemoteAddr() net.Addr { return s.addr }

// SetDeadline does nothing: no call blocks.
func (s *localStream) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing: no call blocks.
func (s *localStream) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: no call blocks.
func (s *localStream) SetWriteDeadline(time.Time) error { return nil }
