package scaletest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"
)

var (
	errAlreadyRuns  = errors.New("runs already")
	errNotRunning   = errors.New("does not run")
	errAlreadyEnds  = errors.New("ends already")
	errNoAgentNamed = errors.New("no agent named")
)

// hostServer runs the hollow agents of a host process.
type hostServer struct {
	events *eventWriter
	log    *slog.Logger
	runs   sync.WaitGroup // of the agents

	mu         sync.Mutex
	agents     map[string]*hollowAgent
	reportTime time.Duration // processor time that reports took; used by the command loop alone
}

// ServeHost runs hollow agents as the commands on in say, and writes events to out. At the end of in
// or of ctx all agents are killed. What the agents log goes to log, with the agent's name on each
// line. The error is one of reading commands or writing events; an invalid command is reported by an
// event and has no effect.
func ServeHost(ctx context.Context, in io.Reader, out, log io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &hostServer{
		events: newEventWriter(out, cancel),
		log:    slog.New(slog.NewTextHandler(log, nil)),
		agents: map[string]*hollowAgent{},
	}
	h.serve(ctx, readLines(ctx, in, cancel))
	h.killAll()
	h.runs.Wait()
	h.events.close()
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// readLines sends the lines of in that are not empty, and closes the channel at its end. It does not
// wait for the goroutine: a read of standard input can't be interrupted.
func readLines(ctx context.Context, in io.Reader, failed func(error)) <-chan []byte {
	lines := make(chan []byte)
	go func() {
		defer close(lines)
		reader := bufio.NewReader(in)
		for {
			line, err := reader.ReadBytes('\n')
			if line = bytes.TrimSpace(line); len(line) > 0 {
				select {
				case lines <- line:
				case <-ctx.Done():
					return
				}
			}
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				failed(fmt.Errorf("scale: commands: %w", err))
				return
			}
		}
	}()
	return lines
}

// serve executes commands until they or ctx end.
func (h *hostServer) serve(ctx context.Context, lines <-chan []byte) {
	for {
		select {
		case line, ok := <-lines:
			if !ok {
				return
			}
			if err := h.execute(line); err != nil {
				h.events.write(HostEvent{Err: err.Error()})
			}
		case <-ctx.Done():
			return
		}
	}
}

// killAll kills all agents that run.
func (h *hostServer) killAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.agents {
		a.agent.Kill()
	}
}

// execute executes one command; the error says why it is invalid.
func (h *hostServer) execute(line []byte) error {
	var c HostCommand
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return fmt.Errorf("command: %w", err)
	}
	var handler func(*HostCommand, *hollowAgent) error
	switch c.Command {
	case commandReport:
		return h.writeReport()
	case commandStart:
		handler = h.start
	case commandStop:
		handler = h.stop
	case commandKill:
		handler = h.kill
	case commandReload:
		handler = h.reload
	default:
		return fmt.Errorf("command: do: %q is none", c.Command)
	}
	if err := h.executeOn(&c, handler); err != nil {
		return fmt.Errorf("%s %s: %w", c.Command, c.Agent, err)
	}
	return nil
}

// executeOn calls the handler with the command's agent, which is nil for commandStart.
func (h *hostServer) executeOn(c *HostCommand, handler func(*HostCommand, *hollowAgent) error) error {
	if c.Agent == "" {
		return errNoAgentNamed
	}
	h.mu.Lock()
	a := h.agents[c.Agent]
	h.mu.Unlock()
	starts := c.Command == commandStart
	if starts && a != nil {
		return errAlreadyRuns
	}
	if !starts && a == nil {
		return errNotRunning
	}
	return handler(c, a)
}
