package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
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

// drainTime is how long open requests are finished after SIGTERM at the most. SIGKILL comes no sooner than the
// longest timeout (but maxCountedTimeout) and 0.7 s after SIGTERM: a request that came while connections were
// still accepted has its whole timeout up to that, and its final response well before the kill.
func drainTime(settings *balancer.Settings) time.Duration {
	longest := minDrainTime
	for _, class := range settings.Classes {
		timeout := min(milliseconds(class.TotalTimeoutMs), maxCountedTimeout)
		longest = max(longest, timeout+responseWriteTime)
	}
	return drainAcceptTime + longest
}

// startDrain begins to drain: the readiness path says no, every response closes its connection, and idle
// connections are closed once no more connections arrive.
func (f *downstreamServer) startDrain() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelDrain != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancelDrain = cancel
	f.draining.Store(true)
	f.onDrain(true)
	go f.conns.closeIdleUntil(ctx)
	return nil
}

// stopDrain serves clients again.
func (f *downstreamServer) stopDrain() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shuttingDown {
		return errShuttingDown
	}
	if f.cancelDrain != nil {
		f.cancelDrain()
		f.cancelDrain = nil
		f.draining.Store(false)
		f.onDrain(false)
	}
	return nil
}

// shutdown ends service without losing a request: open requests have their response within drainTime, and
// responses that are being streamed then go on, for shutdownStreamingTime at the most. Closing an accept queue
// resets the connections in it, so while connections still arrive after the signal they are accepted. A shared
// queue is not closed with this process's listener: what it holds is left to the other process, at once.
func (f *downstreamServer) shutdown(drainTime time.Duration) error {
	over := time.NewTimer(drainTime)
	defer over.Stop()
	defer time.AfterFunc(shutdownAdmitTime, f.rejectNew).Stop()
	f.mu.Lock()
	f.shuttingDown = true
	f.serving.Store(false)
	f.mu.Unlock()
	if err := f.startDrain(); err != nil {
		return err
	}
	if !f.shared {
		time.Sleep(drainAcceptTime)
		f.acceptQueued(over)
	}
	_ = f.listener.Close() // its queue is empty or the other process's
	f.accepting.Wait()     // the connection accepted last is counted by then
	defer func() { _ = f.server.Close() }()
	defer f.cancelDrain()
	return f.awaitClients(over, drainTime)
}

// rejectNew rejects requests that are still arriving, or whose streamed body is.
func (f *downstreamServer) rejectNew() {
	f.rejectsAll.Store(true)
	f.dispatcher.cancelStreaming()
}

// awaitClients waits until all client connections are closed. When over fires it ends the open requests, and
// waits for shutdownStreamingTime more.
func (f *downstreamServer) awaitClients(over *time.Timer, drainTime time.Duration) error {
	if f.awaitNoneOpen(over, drainTime) {
		return nil
	}
	f.dispatcher.endAll()
	f.conns.closeAllIdle()
	over.Reset(shutdownStreamingTime)
	if f.awaitNoneOpen(over, drainTime) {
		return nil
	}
	return fmt.Errorf("%d client connections still open", f.conns.size())
}

// awaitNoneOpen waits until no client connection is open, and tells whether that was before over fired.
func (f *downstreamServer) awaitNoneOpen(over *time.Timer, drainTime time.Duration) bool {
	select {
	case <-f.conns.noneOpen():
		return true
	case <-over.C:
		f.log.Warn("client connections still open", "count", f.conns.size(), "after", drainTime)
		return false
	}
}

// acceptQueued accepts the connections that still wait, perhaps for a slot: closing the listener would reset
// them. When over fires they are left, and over fires again.
func (f *downstreamServer) acceptQueued(over *time.Timer) {
	if !f.listener.finishQueue() {
		return
	}
	accepted := make(chan struct{})
	go func() {
		f.accepting.Wait()
		close(accepted)
	}()
	select {
	case <-accepted:
	case <-over.C:
		over.Reset(0)
	}
}
