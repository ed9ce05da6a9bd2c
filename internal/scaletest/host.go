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
	"net"
	"os"
	"runtime"
	"runtime/metrics"
	"sync"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/agent"
)

// host is the process of many hollow agents.
type hostServer struct {
	events *eventWriter
	log    *slog.Logger

	mu         sync.Mutex
	agents     map[string]*hollowAgent
	runs       sync.WaitGroup
	reportTime time.Duration // processor time that reports took
}

// hollow is one agent in a host.
type hollowAgent struct {
	agent   *agent.Agent
	cancel  context.CancelFunc
	ctx     context.Context
	reloads chan *agent.Config
	config  *agent.Config
}

// ServeHost runs hollow agents as the orders on in say (see Order), and writes tellings to out, each
// one line of JSON. At the end of in, or of ctx, all agents are killed. What the agents log goes to
// log, with the agent's name on each line. The error is one of reading orders or writing tellings; an
// order that makes no sense is told and changes nothing.
func ServeHost(ctx context.Context, in io.Reader, out, log io.Writer) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &hostServer{events: newEventWriter(out, cancel), log: slog.New(slog.NewTextHandler(log, nil)), agents: map[string]*hollowAgent{}}
	lines := make(chan []byte)
	go func() {
		defer close(lines)
		r := bufio.NewReader(in)
		for {
			line, err := r.ReadBytes('\n')
			if line = bytes.TrimSpace(line); len(line) > 0 {
				select {
				case lines <- line:
				case <-ctx.Done():
					return
				}
			}
			if err != nil {
				if err != io.EOF {
					cancel(fmt.Errorf("scale: orders: %w", err))
				}
				return
			}
		}
	}()
	for open := true; open; {
		select {
		case line, ok := <-lines:
			if open = ok; ok {
				if err := h.execute(line); err != nil {
					h.events.write(HostEvent{Err: err.Error()})
				}
			}
		case <-ctx.Done():
			open = false
		}
	}
	h.mu.Lock()
	for _, a := range h.agents {
		a.agent.Kill()
	}
	h.mu.Unlock()
	h.runs.Wait()
	h.events.close()
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// do carries out one order; the error is one of the order.
func (h *hostServer) execute(line []byte) error {
	var o HostCommand
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&o); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	if o.Command == "report" {
		report, err := h.report()
		if err == nil {
			h.events.write(HostEvent{Report: report})
		}
		return err
	}
	do, ok := map[string]func(*HostCommand, *hollowAgent) error{"start": h.start, "stop": h.stop, "kill": h.kill, "reload": h.reload}[o.Command]
	if !ok {
		return fmt.Errorf("order: do: %q is none", o.Command)
	}
	h.mu.Lock()
	a := h.agents[o.Agent]
	h.mu.Unlock()
	err := error(nil)
	switch {
	case o.Agent == "":
		err = errors.New("no agent named")
	case o.Command != "start" && a == nil:
		err = errors.New("does not run")
	default:
		err = do(&o, a)
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", o.Command, o.Agent, err)
	}
	return nil
}

// start runs an agent. Its calls to discovery come from the address that it has in the fleet, or
// else from the one where its clients would come.
func (h *hostServer) start(o *HostCommand, running *hollowAgent) error {
	if running != nil {
		return errors.New("runs already")
	}
	cfg, err := agent.ParseConfig(o.Config)
	if err != nil {
		return err
	}
	own := cfg.Listen
	if cfg.Fleet != nil {
		own = cfg.Fleet.Bind
	}
	if ip, _, err := net.SplitHostPort(own); err == nil {
		cfg.CallFrom = net.ParseIP(ip)
	}
	name := o.Agent
	cfg.Log = h.log.With("agent", name)
	cfg.Hooks.OnList = func(version uint64) { h.reportInForce(name, kindList, version) }
	cfg.Hooks.OnSettings = func(version uint64) { h.reportInForce(name, kindSettings, version) }
	var ln agent.Listeners
	if cfg.Management != "" {
		if ln.Operators, err = net.Listen("tcp", cfg.Management); err != nil {
			h.events.write(HostEvent{Ended: name, Err: fmt.Sprintf("management: %v", err)})
			return nil
		}
	}
	a := &hollowAgent{reloads: make(chan *agent.Config), config: cfg}
	if a.agent, err = agent.New(cfg, ln); err != nil {
		if ln.Operators != nil {
			ln.Operators.Close()
		}
		return err
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	h.mu.Lock()
	h.agents[name] = a
	h.mu.Unlock()
	h.events.write(HostEvent{Started: name})
	h.runs.Add(1)
	go func() {
		defer h.runs.Done()
		defer a.cancel()
		ended := HostEvent{Ended: name}
		if err := a.agent.Run(a.ctx, a.reloads); err != nil && !errors.Is(err, agent.ErrKilled) {
			ended.Err = err.Error()
		}
		h.mu.Lock()
		delete(h.agents, name)
		h.mu.Unlock()
		h.events.write(ended)
	}()
	return nil
}

func (h *hostServer) stop(_ *HostCommand, a *hollowAgent) error {
	if a.ctx.Err() != nil {
		return errors.New("ends already")
	}
	a.cancel()
	return nil
}

func (h *hostServer) kill(_ *HostCommand, a *hollowAgent) error {
	a.agent.Kill()
	a.cancel()
	return nil
}

func (h *hostServer) reload(o *HostCommand, a *hollowAgent) error {
	cfg, err := agent.ParseReload(o.Config, a.config)
	if err != nil {
		return err
	}
	select {
	case a.reloads <- cfg:
		a.config = cfg
		return nil
	case <-a.ctx.Done():
		return errors.New("ends already")
	}
}

func (h *hostServer) reportInForce(name, kind string, version uint64) {
	h.events.write(HostEvent{InForce: &VersionInForce{Agent: name, Kind: kind, Version: version, AtUs: time.Now().UnixMicro()}})
}

// report says what the process has taken. What it takes itself, a collection above all, is left out
// of the processor time (with what the agents did meanwhile, which is little if reports are few).
func (h *hostServer) report() (*HostReport, error) {
	before, err := processorTime()
	if err != nil {
		return nil, err
	}
	runtime.GC()
	r := &HostReport{Goroutines: runtime.NumGoroutine(), Agents: map[string]AgentReport{}}
	h.mu.Lock()
	for name, a := range h.agents {
		r.Agents[name] = agentCounters(a.agent.Status())
	}
	h.mu.Unlock()
	figures := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/gc/heap/allocs:bytes"}}
	metrics.Read(figures)
	r.HeapMB, r.AllocBytes = float64(figures[0].Value.Uint64())/(1<<20), figures[1].Value.Uint64()
	if r.ResidentMB, err = residentMB(); err != nil {
		return nil, err
	}
	fds, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return nil, fmt.Errorf("report: %w", err)
	}
	r.Descriptors = len(fds) - 1 // but the one by which they are read
	after, err := processorTime()
	if err != nil {
		return nil, err
	}
	h.reportTime += after - before
	r.CPUSeconds, r.AtUs = (after - h.reportTime).Seconds(), time.Now().UnixMicro()
	return r, nil
}

// counted is an agent's status as a report has it.
func agentCounters(s agent.Status) AgentReport {
	a := AgentReport{ListIn: s.ListIn, ListOut: s.ListOut, ListCalls: s.ListCalls, Servers: s.Servers, ListVersion: s.ListVersion,
		SettingsVersion: s.SettingsVersion}
	if v := s.Fleet; v != nil {
		n := v.Traffic
		a.ViewIn, a.ViewOut = n["bytes_in"]+n["stream_bytes_in"], n["bytes_out"]+n["stream_bytes_out"]
		a.ViewMsgIn, a.ViewMsgOut = n["packets_in"]+n["streams"]-n["streams_out"], n["packets_out"]+n["streams_out"]
		a.Members, a.Digest, a.Settled = len(v.Members), v.Digest, v.Settled
	}
	return a
}

// processorTime is what the process has taken, user and system.
func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, fmt.Errorf("report: processor time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// residentMB is the process's resident memory.
func residentMB() (float64, error) {
	text, err := os.ReadFile("/proc/self/statm")
	var size, resident float64
	if err == nil {
		_, err = fmt.Sscan(string(text), &size, &resident)
	}
	if err != nil {
		return 0, fmt.Errorf("report: resident memory: %w", err)
	}
	return resident * float64(os.Getpagesize()) / (1 << 20), nil
}

// teller writes tellings in their order. Who tells never waits for the reader; what is told at one
// moment goes out together.
type eventWriter struct {
	pendingSignal chan struct{} // of one: there is something
	written       chan struct{} // closed once all is written

	mu    sync.Mutex
	queue []HostEvent
	ended bool
}

func newEventWriter(to io.Writer, failed func(error)) *eventWriter {
	t := &eventWriter{pendingSignal: make(chan struct{}, 1), written: make(chan struct{})}
	go func() {
		defer close(t.written)
		w := bufio.NewWriter(to)
		enc := json.NewEncoder(w)
		for range t.pendingSignal {
			t.mu.Lock()
			queue, ended := t.queue, t.ended
			t.queue = nil
			t.mu.Unlock()
			var err error
			for i := range queue {
				err = errors.Join(err, enc.Encode(&queue[i]))
			}
			if err = errors.Join(err, w.Flush()); err != nil {
				failed(fmt.Errorf("scale: tellings: %w", err))
				return
			}
			if ended {
				return
			}
		}
	}()
	return t
}

func (t *eventWriter) write(x HostEvent) {
	t.mu.Lock()
	t.queue = append(t.queue, x)
	t.mu.Unlock()
	t.signal()
}

func (t *eventWriter) signal() {
	select {
	case t.pendingSignal <- struct{}{}:
	default:
	}
}

// end writes what is left.
func (t *eventWriter) close() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	t.signal()
	<-t.written
}
