package scaletest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// eventWriter writes events in order, each as one line of JSON. write never waits for the reader, and
// events that are queued at the same time are flushed together.
type eventWriter struct {
	pendingSignal chan struct{} // of capacity one: there is something to write
	written       chan struct{} // closed once everything is written

	mu    sync.Mutex
	queue []HostEvent
	ended bool
}

// newEventWriter starts the goroutine that writes, which close waits for. failed is called with an
// error of the writer, after which nothing more is written.
func newEventWriter(to io.Writer, failed func(error)) *eventWriter {
	w := &eventWriter{pendingSignal: make(chan struct{}, 1), written: make(chan struct{})}
	go func() {
		defer close(w.written)
		if err := w.writeUntilEnd(to); err != nil {
			failed(fmt.Errorf("scale: events: %w", err))
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

// takeQueue empties the queue; ended says that nothing more follows.
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

// signal wakes the goroutine that writes.
func (w *eventWriter) signal() {
	select {
	case w.pendingSignal <- struct{}{}:
	default:
	}
}

// close writes what is queued and waits for it.
func (w *eventWriter) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.signal()
	<-w.written
}
