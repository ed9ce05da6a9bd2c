// Package processtest is the project's multi-process fault harness: it starts built processes
// of the program on loopback ports from the system and injects faults between them, as
// the fleet issues' tests and the experiment command need: SIGKILL, SIGSTOP and SIGCONT,
// restarts, and on every link a TCP proxy that can delay, drop or cut (a partition is a
// set of cut links). It keeps a history of what was done and what was seen.
package processtest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Config says what to run. Each process of Names gets a listener for each of Ports on
// loopback with a port from the system, inherited as file descriptor 3, 4, ... in the
// order of Ports; Args gives its command line once all addresses and links are known.
type Config struct {
	Binary string   // path of the built program
	Dir    string   // where each process's log (NAME.log) and files go
	Names  []string // the processes
	Ports  []string // the names of each process's listeners, such as "raft" or "http"
	// Args is the command line of a process (without the program's path); nil: none.
	Args func(c *Cluster, name string) []string
	// IP is the loopback address of a process's listeners; nil: one drawn for each. On an address of its
	// own no call of another process can take a port while the process that has it is down.
	IP func(name string) string
	// Env is what a process has in its environment beside the harness's own; nil: nothing.
	Env func(name string) []string
}

// Cluster is a running set of processes and the proxies between them. Its methods are
// safe for concurrent use.
type Cluster struct {
	cfg       Config
	start     time.Time
	mu        sync.Mutex
	processes map[string]*process
	links     map[[2]string]*Link
	history   []Event
}

type process struct {
	name  string
	addrs map[string]string
	cmd   *exec.Cmd
	done  chan struct{}
}

// New opens every process's listeners; nothing runs until Start.
func New(cfg Config) (*Cluster, error) {
	if cfg.Binary == "" || cfg.Dir == "" || len(cfg.Names) == 0 {
		return nil, errors.New("cluster: Binary, Dir and Names are all needed")
	}
	c := &Cluster{cfg: cfg, start: time.Now(), processes: map[string]*process{}, links: map[[2]string]*Link{}}
	for _, name := range cfg.Names {
		p, ip := &process{name: name, addrs: map[string]string{}}, drawIP()
		if cfg.IP != nil {
			ip = cfg.IP(name)
		}
		for _, port := range cfg.Ports {
			ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
			if err != nil {
				return nil, err
			}
			p.addrs[port] = ln.Addr().String()
			ln.Close() // taken again at each start, on the same port
		}
		c.processes[name] = p
	}
	return c, nil
}

// ownIP draws a loopback address; calls come from 127.0.0.1, which it never is.
func drawIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// Addr is the address of a process's listener by its port name.
func (c *Cluster) Addr(name, port string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name].addrs[port]
}

// Start runs a process that is not running, with its listeners inherited.
func (c *Cluster) Start(name string) error {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	if p == nil {
		return fmt.Errorf("cluster: no process %q", name)
	}
	if _, _, ok := c.running(name); ok {
		return fmt.Errorf("cluster: %s is running", name)
	}
	var files []*os.File
	defer func() {
		for _, f := range files {
			f.Close()
		}
	}()
	for _, port := range c.cfg.Ports {
		ln, err := net.Listen("tcp", p.addrs[port])
		if err != nil {
			return fmt.Errorf("cluster: %s: port %s again: %w", name, port, err)
		}
		f, err := ln.(*net.TCPListener).File()
		ln.Close()
		if err != nil {
			return err
		}
		files = append(files, f)
	}
	logf, err := os.OpenFile(filepath.Join(c.cfg.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer logf.Close()
	cmd := exec.Command(c.cfg.Binary)
	if c.cfg.Args != nil {
		cmd.Args = append(cmd.Args, c.cfg.Args(c, name)...)
	}
	if c.cfg.Env != nil {
		cmd.Env = append(os.Environ(), c.cfg.Env(name)...)
	}
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = logf, logf, files
	// However this program ends, none of its processes stays.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("cluster: start %s: %w", name, err)
	}
	done := make(chan struct{})
	go func() { cmd.Wait(); close(done) }()
	c.mu.Lock()
	p.cmd, p.done = cmd, done
	c.mu.Unlock()
	c.Note(name, "start", fmt.Sprintf("pid %d", cmd.Process.Pid))
	return nil
}

// live is a process's command and the channel that closes at its end, if it runs.
func (c *Cluster) running(name string) (*exec.Cmd, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
	if p == nil || p.done == nil {
		return nil, nil, false
	}
	select {
	case <-p.done:
		return nil, nil, false
	default:
		return p.cmd, p.done, true
	}
}

// Kill sends SIGKILL (after SIGCONT, so that a paused process dies too) and waits for
// the end; a process that is not running is left alone.
func (c *Cluster) Kill(name string) error { return c.stop(name, syscall.SIGKILL, "kill") }

// Term sends SIGTERM and waits for the end.
func (c *Cluster) Term(name string) error { return c.stop(name, syscall.SIGTERM, "term") }

func (c *Cluster) stop(name string, sig syscall.Signal, what string) error {
	cmd, done, ok := c.running(name)
	if !ok {
		return nil
	}
	c.Note(name, what, "")
	cmd.Process.Signal(sig)
	cmd.Process.Signal(syscall.SIGCONT)
	<-done
	return nil
}

// Pause sends SIGSTOP; Resume sends SIGCONT.
func (c *Cluster) Pause(name string) error  { return c.signal(name, syscall.SIGSTOP, "pause") }
func (c *Cluster) Resume(name string) error { return c.signal(name, syscall.SIGCONT, "resume") }

func (c *Cluster) signal(name string, sig syscall.Signal, what string) error {
	cmd, _, ok := c.running(name)
	if !ok {
		return fmt.Errorf("cluster: %s is not running", name)
	}
	c.Note(name, what, "")
	return cmd.Process.Signal(sig)
}

// Restart kills a process if it runs and starts it again on the same ports.
func (c *Cluster) Restart(name string) error {
	if err := c.Kill(name); err != nil {
		return err
	}
	return c.Start(name)
}

// Link is the proxy by which process from reaches to's listener port, made once and
// kept: its address is what from is told.
func (c *Cluster) Link(from, to, port string) (*Link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{from, to + "/" + port}
	if l := c.links[key]; l != nil {
		return l, nil
	}
	p := c.processes[to]
	if p == nil || p.addrs[port] == "" {
		return nil, fmt.Errorf("cluster: no listener %s of %q", port, to)
	}
	l, err := newLink(from, to, p.addrs[port], c)
	if err != nil {
		return nil, err
	}
	c.links[key] = l
	return l, nil
}

// Partition cuts every link between processes of different groups; processes of no
// group keep their links. Heal undoes it.
func (c *Cluster) Partition(groups ...[]string) {
	side := map[string]int{}
	for i, g := range groups {
		for _, name := range g {
			side[name] = i + 1
		}
	}
	c.mu.Lock()
	for _, l := range c.links {
		a, b := side[l.from], side[l.to]
		l.SetCut(a != 0 && b != 0 && a != b)
	}
	c.mu.Unlock()
	c.Note("", "partition", fmt.Sprint(groups))
}

// Heal restores every link to pass everything at once.
func (c *Cluster) Heal() {
	c.mu.Lock()
	for _, l := range c.links {
		l.SetCut(false)
		l.SetDelay(0)
		l.SetDrop(0)
	}
	c.mu.Unlock()
	c.Note("", "heal", "")
}

// Names are the processes.
func (c *Cluster) Names() []string { return c.cfg.Names }

// Running tells whether a process runs (a paused one does).
func (c *Cluster) Running(name string) bool {
	_, _, ok := c.running(name)
	return ok
}

// Pid is a running process's id, or 0.
func (c *Cluster) Pid(name string) int {
	if cmd, _, ok := c.running(name); ok {
		return cmd.Process.Pid
	}
	return 0
}

// Close kills every process and closes every proxy.
func (c *Cluster) Close() {
	for _, name := range c.cfg.Names {
		c.Kill(name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.close()
	}
}

// Event is one entry of the history: when (since New), which process ("" for the whole
// cluster), what was done or seen, and any detail.
type Event struct {
	At     time.Duration
	Proc   string
	What   string
	Detail string
}

// Note adds an event to the history.
func (c *Cluster) Note(proc, what, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, Event{At: time.Since(c.start), Proc: proc, What: what, Detail: detail})
}

// History is a copy of the events so far, in order.
func (c *Cluster) History() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.history)
}

// Await checks cond every 10 ms until it holds or within has passed; the error says
// what was awaited.
func Await(within time.Duration, what string, cond func() bool) error {
	end := time.Now().Add(within)
	for !cond() {
		if time.Now().After(end) {
			return fmt.Errorf("cluster: %s: not within %v", what, within)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// Each does something for many processes at once, up to 64 at a time.
func Each(names []string, do func(string) error) error {
	var group sync.WaitGroup
	errs := make([]error, len(names))
	slots := make(chan struct{}, 64)
	for i, n := range names {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			errs[i] = do(n)
			<-slots
		}()
	}
	group.Wait()
	return errors.Join(errs...)
}

// FreeMB is what this machine has of memory that is not in use, in MB (proc(5), meminfo).
func FreeMB() int {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	kb := 0
	for line := range strings.Lines(string(text)) {
		fmt.Sscanf(line, "MemAvailable: %d kB", &kb)
	}
	return kb >> 10
}
