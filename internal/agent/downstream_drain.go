package agent

import (
	"context"
	"errors"
	"fmt"
	"time"
)

const (
	// linger is how long connections still come after SIGTERM or a drain's start: 0.4 s at
	// most, and what stands in the accept queue by then. Those that idle after it are closed.
	drainAcceptTime = 500 * time.Millisecond
	// takenFor is how long after SIGTERM requests are still taken: what comes later is lost
	// if the kill finds it unanswered, and can go to another process.
	shutdownAdmitTime = 600 * time.Millisecond
	// streamsFor is how long answers that are being passed on may take after the last request
	// has its answer. The platform kills long before; it is for those that do not.
	shutdownStreamingTime = time.Minute
)

// errEnding answers operators who would have a process that ends take clients.
var errShuttingDown = errors.New("the process is ending")

// startDrain begins to empty the front: /-/ready says no, every answer closes its
// connection, and what idles is closed once no more connections come.
func (f *downstreamServer) startDrain() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelDrain != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancelDrain = cancel
	f.draining.Store(true)
	f.notifyDrain(true)
	go f.conns.closeIdleUntil(ctx)
	return nil
}

// stopDrain takes clients again.
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
		f.notifyDrain(false)
	}
	return nil
}

// tellDrain tells who wants to know whether the front empties.
func (f *downstreamServer) notifyDrain(on bool) {
	if f.onDrain != nil {
		f.onDrain(on)
	}
}

// shutdown ends service without losing a request: what is held has its answer within held,
// and what is being passed on then goes on, for streamsFor at the most. An accept queue that is
// closed resets what it holds, so while connections still come after the signal they are
// accepted. A queue that is shared is not closed with this process's listener: what it
// holds is for the other process, at once.
func (f *downstreamServer) shutdown(ln *clientListener, shared bool, held time.Duration) error {
	over := time.NewTimer(held)
	defer over.Stop()
	defer time.AfterFunc(shutdownAdmitTime, func() {
		f.rejectsAll.Store(true)
		f.loop.post(f.loop.cancelStreaming)
	}).Stop()
	f.mu.Lock()
	f.shuttingDown = true
	f.serving.Store(false)
	f.mu.Unlock()
	if err := f.startDrain(); err != nil {
		return err
	}
	if !shared {
		time.Sleep(drainAcceptTime)
		f.acceptQueued(ln, over)
	}
	ln.Close()
	f.accepting.Wait() // what was accepted last is counted by then
	defer f.server.Close()
	defer f.cancelDrain()
	end := func() {
		f.loop.post(f.loop.endAll)
		f.conns.closeAllIdle()
	}
	for _, then := range []func(){end, func() {}} {
		select {
		case <-f.conns.noneOpen():
			return nil
		case <-over.C:
			f.log.Warn("client connections still open", "count", f.conns.size(), "after", held)
			then()
			over.Reset(shutdownStreamingTime)
		}
	}
	return fmt.Errorf("%d client connections still open", f.conns.size())
}

// acceptQueued has the connections accepted that still wait, for a slot perhaps: closing the
// listener would reset them. When the time is over they are left, and over fires again.
func (f *downstreamServer) acceptQueued(ln *clientListener, over *time.Timer) {
	if !ln.finishQueue() {
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
