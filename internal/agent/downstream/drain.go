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
	// drainAcceptTime is how long new connections are expected after SIGTERM or the start of a drain: clients connect for
	// up to 0.4 s, and the accept queue may still hold connections then. Idle connections are closed only after this time.
	drainAcceptTime = 500 * time.Millisecond
	// maxCoveredTimeout is the longest request timeout that the platform's delay between SIGTERM and SIGKILL covers.
	maxCoveredTimeout = 3 * time.Second
	// minDrainTime is the least time added to drainAcceptTime, even if no class has a timeout. responseWriteTime is the
	// time allowed for writing the last response.
	minDrainTime, responseWriteTime = 100 * time.Millisecond, 50 * time.Millisecond
	// shutdownAdmitTime is how long after SIGTERM requests are admitted. A later request could still be unanswered at
	// SIGKILL and be lost, while a rejected one can be sent to another process.
	shutdownAdmitTime = 600 * time.Millisecond
	// shutdownStreamingTime is how long responses may continue to stream after the last open request has got its response.
	// It matters only where no SIGKILL follows: the platform sends one long before.
	shutdownStreamingTime = time.Minute
)

// errShuttingDown is returned when an operator tries to stop the drain of a process that is shutting down.
var errShuttingDown = errors.New("the process is shutting down")

// DrainTime returns the longest time that open requests may take after SIGTERM. SIGKILL follows SIGTERM after at least
// 0.7 s plus the longest request timeout, capped at maxCoveredTimeout. A request that arrives while connections are
// still accepted thus has its whole timeout, and its final response is sent well before the kill.
func DrainTime(settings *balancer.Settings) time.Duration {
	longest := minDrainTime
	for _, class := range settings.Classes {
		timeout := min(clock.FromMilliseconds(class.TotalTimeoutMs), maxCoveredTimeout)
		longest = max(longest, timeout+responseWriteTime)
	}
	return drainAcceptTime + longest
}

// StartDrain starts draining: the readiness check fails, and each connection is closed after its next response. Idle
// connections are closed after drainAcceptTime, because clients may still send on them until then.
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

// StopDrain ends the drain, so that clients are served again. It returns an error during a shutdown.
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

// Shutdown stops the server without losing requests. Open requests get their responses within drainTime, and responses
// that are streaming then continue for at most shutdownStreamingTime.
//
// Closing a listener resets the connections in its accept queue, so connections that still arrive after the signal are
// accepted first. A shared queue survives the close of this process's listener, so its connections are left to the
// other process immediately.
func (s *Server) Shutdown(drainTime time.Duration) error {
	drainTimer := time.NewTimer(drainTime)
	defer drainTimer.Stop()
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
		s.acceptQueued(drainTimer)
	}
	_ = s.listener.Close() // its queue is empty or shared with another process
	s.accepting.Wait()     // so that the last accepted connection is counted
	defer func() { _ = s.server.Close() }()
	defer s.cancelDrain()
	return s.awaitClients(drainTimer, drainTime)
}

// rejectNew makes the server reject requests that it has not read yet. It also cancels the attempts of requests whose
// streamed body is still being received.
func (s *Server) rejectNew() {
	s.rejectingNew.Store(true)
	s.dispatcher.CancelStreaming()
}

// awaitClients waits until all client connections are closed. If the timer fires first, it ends the open requests and
// waits for up to shutdownStreamingTime more.
func (s *Server) awaitClients(drainTimer *time.Timer, drainTime time.Duration) error {
	if s.awaitNoneOpen(drainTimer, drainTime) {
		return nil
	}
	s.dispatcher.EndAll()
	s.conns.closeAllIdle()
	drainTimer.Reset(shutdownStreamingTime)
	if s.awaitNoneOpen(drainTimer, drainTime) {
		return nil
	}
	return fmt.Errorf("%d client connections still open", s.conns.size())
}

// awaitNoneOpen waits until no client connection is open, and reports whether that happened before the timer fired.
func (s *Server) awaitNoneOpen(drainTimer *time.Timer, drainTime time.Duration) bool {
	select {
	case <-s.conns.noneOpen():
		return true
	case <-drainTimer.C:
		s.log.Warn("client connections still open", "count", s.conns.size(), "after", drainTime)
		return false
	}
}

// acceptQueued accepts the connections that are still queued, because closing the listener would reset them. They may
// have to wait for a slot. If the timer fires first, the remaining connections are abandoned, and the timer is reset to
// fire again at once.
func (s *Server) acceptQueued(drainTimer *time.Timer) {
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
	case <-drainTimer.C:
		drainTimer.Reset(0)
	}
}
