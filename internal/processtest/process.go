package processtest

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// logMode is the mode of a process's log file.
const logMode = 0o644

// Errors of operations on a process.
var (
	ErrUnknownProcess = errors.New("unknown process")
	ErrRunning        = errors.New("already running")
	ErrNotRunning     = errors.New("not running")
)

// process is a process of a cluster. It may be running or not.
type process struct {
	addrs        map[string]string // addresses of its listeners, by port name
	incarnations []Incarnation
	last         *execution // the most recent one; nil if it was never started
}

// execution is one execution of a process's command.
type execution struct {
	cmd   *exec.Cmd
	ended chan struct{} // closed when the process has ended
}

// start starts a command.
func start(cmd *exec.Cmd) (*execution, error) {
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	e := &execution{cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // tests end processes by signals; other errors are in the processes' logs
		close(e.ended)
	}()
	return e, nil
}

// isRunning reports whether the process has not ended. A paused process is running.
func (e *execution) isRunning() bool {
	select {
	case <-e.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal.
func (e *execution) signal(signal syscall.Signal) error { return e.cmd.Process.Signal(signal) }

// Start starts a process that is not running. The process inherits its listeners.
func (c *Cluster) Start(name string) error {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	if p == nil {
		return fmt.Errorf("processtest: %q: %w", name, ErrUnknownProcess)
	}
	if c.Running(name) {
		return fmt.Errorf("processtest: %s: %w", name, ErrRunning)
	}
	listeners, err := c.listen(name, p)
	defer closeAll(listeners)
	if err != nil {
		return err
	}
	logPath := filepath.Join(c.cfg.Dir, name+".log")
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, logMode)
	if err != nil {
		return err
	}
	defer closeAll([]*os.File{log})
	cmd := c.command(name)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.ExtraFiles = listeners
	startedAt := time.Now()
	started, err := start(cmd)
	if err != nil {
		return fmt.Errorf("processtest: start %s: %w", name, err)
	}
	c.mu.Lock()
	p.last = started
	p.incarnations = append(p.incarnations, Incarnation{Start: startedAt})
	c.mu.Unlock()
	c.record(name, ActionStart, fmt.Sprintf("pid %d", cmd.Process.Pid))
	return nil
}

// command returns the command of a process without its standard streams and inherited files.
func (c *Cluster) command(name string) *exec.Cmd {
	cmd := exec.Command(c.cfg.Binary) //nolint:noctx // the process outlives this call; Kill, Term and Close end it
	if c.cfg.Args != nil {
		cmd.Args = append(cmd.Args, c.cfg.Args(c, name)...)
	}
	if c.cfg.Env != nil {
		cmd.Env = append(os.Environ(), c.cfg.Env(name)...)
	}
	// The kernel kills the process when the harness ends, for whatever reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// running returns a process's current execution, or nil if it is not running.
func (c *Cluster) running(name string) *execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
	if p == nil || p.last == nil || !p.last.isRunning() {
		return nil
	}
	return p.last
}

// Running reports whether a process is running. A paused process is running.
func (c *Cluster) Running(name string) bool { return c.running(name) != nil }

// FirstRunning returns the name of the first running process, in the order of Config.Names, that meets a condition, or
// "" if none does.
func (c *Cluster) FirstRunning(condition func(name string) bool) string {
	for _, name := range c.cfg.Names {
		if c.Running(name) && condition(name) {
			return name
		}
	}
	return ""
}

// Others returns the names of all processes except the given one.
func (c *Cluster) Others(name string) []string {
	return slices.DeleteFunc(slices.Clone(c.cfg.Names), func(other string) bool { return other == name })
}

// Pid returns the process ID of a running process, or 0 if it is not running.
func (c *Cluster) Pid(name string) int {
	if current := c.running(name); current != nil {
		return current.cmd.Process.Pid
	}
	return 0
}

// Kill sends SIGKILL to a process, and SIGCONT in case it is paused, and waits until it has ended. A process that is
// not running gets no signal.
func (c *Cluster) Kill(name string) error { return c.end(name, syscall.SIGKILL, ActionKill) }

// Term is like Kill, but sends SIGTERM.
func (c *Cluster) Term(name string) error { return c.end(name, syscall.SIGTERM, ActionTerm) }

// end records the end of a process, sends it a signal followed by SIGCONT, and waits until it has ended.
func (c *Cluster) end(name string, signal syscall.Signal, action Action) error {
	c.recordEnd(name, signal)
	current := c.running(name)
	if current == nil {
		return nil
	}
	c.record(name, action, "")
	// The signals fail if the process has exited on its own in the meantime.
	_ = current.signal(signal)
	_ = current.signal(syscall.SIGCONT)
	<-current.ended
	return nil
}

// recordEnd records the end of a process's last incarnation by a signal, unless its end is already recorded.
func (c *Cluster) recordEnd(name string, signal syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
	if p == nil || len(p.incarnations) == 0 {
		return
	}
	current := &p.incarnations[len(p.incarnations)-1]
	if current.IsRunning() {
		current.End = time.Now()
		current.Graceful = signal == syscall.SIGTERM
	}
}

// Restart kills a process if it is running, and starts it again with the same addresses.
func (c *Cluster) Restart(name string) error {
	if err := c.Kill(name); err != nil {
		return err
	}
	return c.Start(name)
}
