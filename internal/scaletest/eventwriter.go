package scaletest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// eventWriter writes events in order, each as one line of JSON. The method write never blocks on the reader, and
// events that are queued at the same time are flushed together.
type eventWriter struct {
	pendingSignal chan struct{} // capacity 1; holds a value while there is something to write
	written       chan struct{} // closed when the writing goroutine ends

	mu    sync.Mutex
	queue []HostEvent
	ended bool
}

// newEventWriter starts the writing goroutine; close waits for its end. If a write fails, the goroutine calls failed
// with the error and writes nothing more.
func newEventWriter(to io.Writer, failed func(error)) *eventWriter {
	w := &eventWriter{pendingSignal: make(chan struct{}, 1), written: make(chan struct{})}
	go func() {
		defer close(w.written)
		if err := w.writeUntilEnd(to); err != nil {
			failed(fmt.Errorf("scale: write events: %w", err))
		}
	}()
	return w
}

// writeUntilEnd writes queued events until the writer is closed or an error occurs.
func (w *eventWriter) writeUntilEnd(to io.Writer) error {
	buffer := bufio.NewWriter(to)
	encoder := json.NewEncoder(buffer)
	for range w.pendingSignal {
		queue, ended := w.takeQueue()
		var err error
		for i := range queue {
			err = errors.Join(err, encoder.Encode(&queue[i]))
		}
		if err = errors.Join(err, buffer.Flush()); err != nil {
			return err
		}
		if ended {
			return nil
		}
	}
	return nil
}

// takeQueue removes and returns the queued events. ended reports whether no more follow.
func (w *eventWriter) takeQueue() (queue []HostEvent, ended bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	queue = w.queue
	w.queue = nil
	return queue, w.ended
}

// write queues an event.
func (w *eventWriter) write(event HostEvent) {
	w.mu.Lock()
	w.queue = append(w.queue, event)
	w.mu.Unlock()
	w.signal()
}

// signal wakes the writing goroutine.
func (w *eventWriter) signal() {
	select {
	case w.pendingSignal <- struct{}{}:
	default:
	}
}

// close waits until the queued events are written, and ends the writing goroutine.
func (w *eventWriter) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.signal()
	<-w.written
}
