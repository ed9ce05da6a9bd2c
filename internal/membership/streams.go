package membership

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/listener"
)

const (
	// maxFrameBytes is the maximum size of a message on a stream: a push/pull of about 5,000 members.
	maxFrameBytes = 1 << 20
	// frameHeaderBytes is the size of the length field before each message.
	frameHeaderBytes = 4
	// labelHeaderBytes is the size of the header of a label: the message type and the label's length, one byte each.
	labelHeaderBytes = 2
	// maxStreams is the maximum number of concurrent streams from other members; further ones wait unaccepted.
	maxStreams = 6
	// maxWatchers is the maximum number of connections from members that watch this one. Usually there are as many as
	// this member watches itself, and more while snapshots differ.
	maxWatchers = 3 * watchedSuccessors
	// streamTimeout bounds the duration of a stream; it is also memberlist's TCPTimeout.
	streamTimeout = 3 * time.Second
)

var (
	errTooManyWatchers = errors.New("too many watchers")
	errForeignSite     = errors.New("stream from another site")
)

// messageSizeError is the error for a message on a stream with an invalid size, in bytes.
type messageSizeError uint64

func (e messageSizeError) Error() string { return fmt.Sprintf("invalid message size %d", uint64(e)) }

// acceptStreams accepts streams until Shutdown. Streams beyond maxStreams wait unaccepted: if they were closed, it
// would look as if this process had ended.
func (t *transport) acceptStreams() {
	select {
	case <-t.announced:
	case <-t.ctx.Done():
		return
	}
	ln := listener.New(t.tcp, func(err error, failures uint64) {
		t.logger.Printf("[WARN] accept: %v (%d so far)", err, failures)
	})
	for {
		select {
		case t.slots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		conn, err := ln.Accept()
		if err != nil {
			<-t.slots
			if !errors.Is(err, net.ErrClosed) {
				t.logger.Printf("[ERR] no more streams are accepted: %v", err)
			}
			return
		}
		t.counters.streams.Add(1)
		releaseSlot := sync.OnceFunc(func() { <-t.slots })
		go t.routeStream(t.newFramedStream(conn, releaseSlot))
	}
}

// routeStream reads a stream's label and first message. It serves a watcher's stream and hands any other to memberlist.
func (t *transport) routeStream(s *framedStream) {
	label, err := s.readFirstMessage()
	if err != nil {
		_ = s.Close() // the peer gets no response
		return
	}
	if typeOf(s.unread) == msgWatch {
		t.serveWatcher(s)
		return
	}
	s.unread = append(bytes.Clone(label), s.unread...)
	select {
	case t.streams <- s:
	case <-t.ctx.Done():
		_ = s.Close() // this process is shutting down
	}
}

// serveWatcher acknowledges a watch message and keeps the connection open until either side ends. Watchers don't count
// towards maxStreams but towards maxWatchers. A connection beyond that limit is acknowledged and then closed, and the
// watcher retries.
func (t *transport) serveWatcher(s *framedStream) {
	_, err := s.Write([]byte{byte(msgWatch)})
	s.releaseSlot()
	select {
	case t.watchers <- struct{}{}:
		defer func() { <-t.watchers }()
	default:
		err = errTooManyWatchers
	}
	if err == nil {
		err = s.SetDeadline(time.Time{})
	}
	if err == nil {
		t.waitForStreamEnd(s)
	}
	_ = s.Close() // no unsent data can be lost
}

// waitForStreamEnd waits until a watcher closes its stream or this process shuts down.
func (t *transport) waitForStreamEnd(s *framedStream) {
	stop := context.AfterFunc(t.ctx, func() { _ = s.Close() }) // this process is shutting down
	defer stop()
	_, _ = s.Conn.Read(make([]byte, 1)) // the watcher sends nothing, so this returns when the connection ends
}

// framedStream is a stream on which each message is preceded by its length in four bytes, and is checked before any of
// it is handed to memberlist.
type framedStream struct {
	net.Conn
	transport       *transport
	releaseSlot     func()
	stopCloseOnKill func() bool
	unread          []byte // rest of the last message that was received
}

// newFramedStream wraps a connection. kill closes the connection, and the stream's Close calls releaseSlot.
func (t *transport) newFramedStream(conn net.Conn, releaseSlot func()) *framedStream {
	closeOnKill := func() { _ = conn.Close() } // the process is killed
	return &framedStream{
		Conn:            conn,
		transport:       t,
		releaseSlot:     releaseSlot,
		stopCloseOnKill: context.AfterFunc(t.killContext, closeOnKill),
	}
}

// Close closes the stream and releases its slot.
func (s *framedStream) Close() error {
	s.stopCloseOnKill()
	s.releaseSlot()
	return s.Conn.Close()
}

// Write writes one message.
func (s *framedStream) Write(message []byte) (int, error) {
	if len(message) > maxFrameBytes {
		return 0, messageSizeError(len(message))
	}
	frame := make([]byte, 0, frameHeaderBytes+len(message))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(message)))
	frame = append(frame, message...)
	n, err := s.Conn.Write(frame)
	s.transport.counters.streamBytesOut.Add(uint64(n))
	return max(0, n-frameHeaderBytes), err
}

// Read reads from the current message, or from the next one once the current one has been read completely.
func (s *framedStream) Read(p []byte) (int, error) {
	if len(s.unread) == 0 {
		if err := s.readMessage(); err != nil {
			return 0, err
		}
	}
	n := copy(p, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// readFirstMessage reads a stream's label and first message, and keeps the message for Read. If there is no label, it
// returns the first message in place of the label.
func (s *framedStream) readFirstMessage() (label []byte, err error) {
	if err := s.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return nil, err
	}
	if err := s.readMessage(); err != nil {
		return nil, err
	}
	label = s.unread
	if typeOf(label) == msgLabel {
		err = s.readMessage()
	}
	return label, err
}

// readMessage reads and checks one message, and keeps it for Read.
func (s *framedStream) readMessage() error {
	message, err := s.readFrame()
	if err != nil {
		return err
	}
	s.unread = message
	if typeOf(message) == msgLabel {
		return s.checkLabel(message)
	}
	if err := checkStream(message, s.transport.cfg.maxMembers()); err != nil {
		return s.rejectMessage(err)
	}
	if typeOf(message) == msgPushPull {
		s.transport.handlers.onAlive(message)
	}
	return nil
}

// readFrame reads one message and rejects an empty one.
func (s *framedStream) readFrame() ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.Conn, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > maxFrameBytes {
		return nil, s.rejectMessage(messageSizeError(size))
	}
	var message bytes.Buffer // grows with the received bytes and not with the claimed size
	if _, err := io.CopyN(&message, s.Conn, int64(size)); err != nil {
		return nil, err
	}
	s.transport.counters.streamBytesIn.Add(frameHeaderBytes + uint64(size))
	return message.Bytes(), nil
}

// checkLabel checks that a stream's label is this site's.
func (s *framedStream) checkLabel(message []byte) error {
	label := message[min(labelHeaderBytes, len(message)):]
	if string(label) != s.transport.cfg.Site {
		s.transport.counters.foreignSite.Add(1)
		return errForeignSite
	}
	return nil
}

// rejectMessage counts and drops an invalid message, and returns its error.
func (s *framedStream) rejectMessage(err error) error {
	s.transport.counters.badStreams.Add(1)
	s.unread = nil
	return err
}
