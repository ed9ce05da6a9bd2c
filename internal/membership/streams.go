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
	// maxFrameBytes bounds a message on a stream: the state of some 5,000 members.
	maxFrameBytes = 1 << 20
	// frameHeaderBytes is the length of the length before each message.
	frameHeaderBytes = 4
	// labelHeaderBytes is the length of what goes before a label: the message type and the label's length.
	labelHeaderBytes = 2
	// maxStreams bounds the streams from others at a time; further ones wait unaccepted.
	maxStreams = 6
	// maxWatchers bounds the connections of the watchers of this member: mostly as many as it watches itself,
	// more where snapshots differ.
	maxWatchers = 3 * watchedSuccessors
	// streamTimeout bounds how long a stream may take, as memberlist bounds its own.
	streamTimeout = 3 * time.Second
)

var (
	errTooManyWatchers = errors.New("too many watchers")
	errForeignSite     = errors.New("stream of another site")
)

// messageSizeError is a message on a stream with a size that none may have, in bytes.
type messageSizeError uint64

func (e messageSizeError) Error() string { return fmt.Sprintf("message of %d bytes", uint64(e)) }

// acceptStreams accepts streams until Shutdown. A stream over maxStreams waits unaccepted: closed, it would look
// as if this process had ended.
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

// routeStream reads a stream's label and first message: a watcher's stream stays here, any other is for memberlist.
func (t *transport) routeStream(s *framedStream) {
	label, err := s.readStart()
	if err != nil {
		_ = s.Close() // the peer gets no answer
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
		_ = s.Close() // the process ends
	}
}

// serveWatcher acknowledges a watch and keeps the connection until either side ends. It does not count among the
// streams; the watchers have a bound of their own. One over it is acknowledged and closed, and retries.
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
		t.awaitStreamEnd(s)
	}
	_ = s.Close() // nothing was written that could be lost
}

// awaitStreamEnd waits until a watcher's stream or this process ends.
func (t *transport) awaitStreamEnd(s *framedStream) {
	stop := context.AfterFunc(t.ctx, func() { _ = s.Close() }) // the process ends
	defer stop()
	_, _ = s.Conn.Read(make([]byte, 1)) // the watcher sends nothing: this returns at the end of the connection
}

// framedStream is a stream whose messages have their length before them, in four bytes, and are checked before any
// byte of them goes to memberlist.
type framedStream struct {
	net.Conn
	transport      *transport
	releaseSlot    func()
	detachFromKill func() bool
	unread         []byte // of the message that was read last
}

// newFramedStream makes a stream of a connection, which kill closes.
func (t *transport) newFramedStream(conn net.Conn, releaseSlot func()) *framedStream {
	closeAtKill := func() { _ = conn.Close() } // the process ends
	return &framedStream{
		Conn:           conn,
		transport:      t,
		releaseSlot:    releaseSlot,
		detachFromKill: context.AfterFunc(t.killContext, closeAtKill),
	}
}

// Close closes the stream and frees its slot.
func (s *framedStream) Close() error {
	s.detachFromKill()
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

// Read reads of the current message, or of the next one if that is read.
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

// readStart reads a stream's first message, which it leaves unread, and the label before it, if there is one; the
// label is the first message itself if there is none.
func (s *framedStream) readStart() (label []byte, err error) {
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

// readMessage reads and checks one message.
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

// readFrame reads one message, which is not empty.
func (s *framedStream) readFrame() ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.Conn, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size == 0 || size > maxFrameBytes {
		return nil, s.rejectMessage(messageSizeError(size))
	}
	var message bytes.Buffer // grows with what is received, not with what is claimed
	if _, err := io.CopyN(&message, s.Conn, int64(size)); err != nil {
		return nil, err
	}
	s.transport.counters.streamBytesIn.Add(frameHeaderBytes + uint64(size))
	return message.Bytes(), nil
}

// checkLabel checks the message with a stream's label.
func (s *framedStream) checkLabel(message []byte) error {
	label := message[min(labelHeaderBytes, len(message)):]
	if string(label) != s.transport.cfg.Site {
		s.transport.counters.foreignSite.Add(1)
		return errForeignSite
	}
	return nil
}

// rejectMessage counts and drops a message, and returns the error that was found in it.
func (s *framedStream) rejectMessage(err error) error {
	s.transport.counters.badStreams.Add(1)
	s.unread = nil
	return err
}
