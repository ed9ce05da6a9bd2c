package downstream

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/clock"
)

const (
	// drainAcceptTime is how long connections still arrive after SIGTERM or the start of a drain: 0.4 s at
	// most, and what stands in the accept queue by then. Idle connections are closed after it.
	drainAcceptTime = 500 * time.Millisecond
	// maxCountedTimeout is the longest request timeout that the platform's delay before SIGKILL allows for.
	maxCountedTimeout = 3 * time.Second
	// minDrainTime and responseWriteTime are added to drainAcceptTime: the one where no class has a timeout, the
	// other for the write of the last response.
	minDrainTime, responseWriteTime = 100 * time.Millisecond, 50 * time.Millisecond
	// shutdownAdmitTime is how long after SIGTERM requests are admitted: a later one is lost if the kill finds
	// it unanswered, and can go to another process.
	shutdownAdmitTime = 600 * time.Millisecond
	// shutdownStreamingTime is how long responses may be streamed on after the last request has its response.
	// The platform kills long before; it is for those that do not.
	shutdownStreamingTime = time.Minute
)

// errShuttingDown answers operators who would stop the drain of a process that shuts down.
var errShuttingDown = errors.New("the process is ending")

// DrainTime is how long open requests are finished after SIGTERM at the most. SIGKILL comes no sooner than the
// longest timeout (but maxCountedTimeout) and 0.7 s after SIGTERM: a request that came while connections were
// still accepted has its whole timeout up to that, and its final response well before the kill.
func DrainTime(settings *balancer.Settings) time.Duration {
	longest := minDrainTime
	for _, class := range settings.Classes {
		timeout := min(clock.FromMilliseconds(class.TotalTimeoutMs), maxCountedTimeout)
		longest = max(longest, timeout+responseWriteTime)
	}
	return drainAcceptTime + longest
}

// StartDrain begins to drain: the readiness path says no, every response closes its connection, and idle
// connections are closed once no more connections arrive.
func (s *Server) StartDrain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelDrain != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancelDrain = cancel
	s.draining.Store(true)
	s.onDrain(true)
	go s.conns.closeIdleUntil(ctx)
	return nil
}

// StopDrain serves clients again.
func (s *Server) StopDrain() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown {
		return errShuttingDown
	}
	if s.cancelDrain != nil {
		s.cancelDrain()
		s.cancelDrain = nil
		s.draining.Store(false)
		s.onDrain(false)
	}
	return nil
}

// Shutdown ends service without losing a request: open requests have their response within DrainTime, and
// responses that are being streamed then go on, for shutdownStreamingTime at the most. Closing an accept queue
// resets the connections in it, so while connections still arrive after the signal they are accepted. A shared
// queue is not closed with this process's listener: what it holds is left to the other process, at once.
func (s *Server) Shutdown(drainTime time.Duration) error {
	over := time.NewTimer(drainTime)
	defer over.Stop()
	defer time.AfterFunc(shutdownAdmitTime, s.rejectNew).Stop()
	s.mu.Lock()
	s.shuttingDown = true
	s.serving.Store(false)
	s.mu.Unlock()
	if err := s.StartDrain(); err != nil {
		return err
	}
	if !s.shared {
		time.Sleep(drainAcceptTime)
		s.acceptQueued(over)
	}
	_ = s.listener.Close() // its queue is empty or the other process's
	s.accepting.Wait()     // the connection accepted last is counted by then
	defer func() { _ = s.server.Close() }()
	defer s.cancelDrain()
	return s.awaitClients(over, drainTime)
}

// rejectNew rejects requests that are still arriving, or whose streamed body is.
func (s *Server) rejectNew() {
	s.rejectsAll.Store(true)
	s.dispatcher.CancelStreaming()
}

// awaitClients waits until all client connections are closed. When over fires it ends the open requests, and
// waits for shutdownStreamingTime more.
func (s *Server) awaitClients(over *time.Timer, drainTime time.Duration) error {
	if s.awaitNoneOpen(over, drainTime) {
		return nil
	}
	s.dispatcher.EndAll()
	s.conns.closeAllIdle()
	over.Reset(shutdownStreamingTime)
	if s.awaitNoneOpen(over, drainTime) {
		return nil
	}
	return fmt.Errorf("%d client connections still open", s.conns.size())
}

// awaitNoneOpen waits until no client connection is open, and reports whether that was before over fired.
func (s *Server) awaitNoneOpen(over *time.Timer, drainTime time.Duration) bool {
	select {
	case <-s.conns.noneOpen():
		return true
	case <-over.C:
		s.log.Warn("client connections still open", "count", s.conns.size(), "after", drainTime)
		return false
	}
}

// acceptQueued accepts the connections that still wait, perhaps for a slot: closing the listener would reset
// them. When over fires they are left, and over fires again.
func (s *Server) acceptQueued(over *time.Timer) {
	if !s.listener.finishQueue() {
		return
	}
	accepted := make(chan struct{})
	go func() {
		s.accepting.Wait()
		close(accepted)
	}()
	select {
	case <-accepted:
	case <-over.C:
		over.Reset(0)
	}
}
