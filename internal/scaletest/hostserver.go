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
	errAlreadyRunning   = errors.New("agent is already running")
	errNotRunning       = errors.New("agent is not running")
	errShuttingDown     = errors.New("agent is already shutting down")
	errMissingAgentName = errors.New("agent name is missing")
)

// hostServer runs the hollow agents of a host process.
type hostServer struct {
	events *eventWriter
	log    *slog.Logger
	runs   sync.WaitGroup // of the agents

	mu         sync.Mutex
	agents     map[string]*hollowAgent
	reportTime time.Duration // processor time spent on reports; used only by the command loop
}

// ServeHost runs hollow agents as told by the commands that it reads from in, and writes events to out. At the end of
// in or of ctx it kills all agents. The agents log to log, with the agent's name on each line. The returned error is
// that of reading commands or writing events. An invalid command is reported by an event and has no effect.
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

// readLines starts a goroutine that sends the non-empty lines of in, and closes the channel at the end of in. Nothing
// waits for the goroutine, because a read of standard input can't be interrupted.
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
				failed(fmt.Errorf("scale: read commands: %w", err))
				return
			}
		}
	}()
	return lines
}

// serve executes commands until lines is closed or ctx ends.
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

// killAll kills all running agents.
func (h *hostServer) killAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.agents {
		a.agent.Kill()
	}
}

// execute executes one command. It returns an error if the command is invalid.
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
		return fmt.Errorf("command: do: unknown command %q", c.Command)
	}
	if err := h.executeOn(&c, handler); err != nil {
		return fmt.Errorf("%s %s: %w", c.Command, c.Agent, err)
	}
	return nil
}

// executeOn calls the handler with the agent that the command names, which is nil for commandStart.
func (h *hostServer) executeOn(c *HostCommand, handler func(*HostCommand, *hollowAgent) error) error {
	if c.Agent == "" {
		return errMissingAgentName
	}
	h.mu.Lock()
	a := h.agents[c.Agent]
	h.mu.Unlock()
	starts := c.Command == commandStart
	if starts && a != nil {
		return errAlreadyRunning
	}
	if !starts && a == nil {
		return errNotRunning
	}
	return handler(c, a)
}
