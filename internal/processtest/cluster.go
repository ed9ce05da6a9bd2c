// Package processtest is the project's multi-process test harness. It starts built programs on loopback ports from
// the system and injects faults: SIGKILL, SIGSTOP and SIGCONT, restarts, CPU starvation, and on every link a TCP
// proxy that can delay, drop or cut (a partition is a set of cut links). It keeps a history of what was done.
package processtest

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Config says what to run. Each process of Names gets a listener for each of Ports on loopback with a port from the
// system, inherited as file descriptor 3, 4, ... in the order of Ports; Args gives its command line once all addresses
// and links are known.
type Config struct {
	Binary string   // path of the built program
	Dir    string   // where each process's log (NAME.log) and files go
	Names  []string // the processes
	Ports  []string // the names of each process's listeners, such as "raft" or "http"
	// Args is the command line of a process (without the program's path); nil: none.
	Args func(c *Cluster, name string) []string
	// IP is the loopback address of a process's listeners; nil: one drawn for each. On an address of its own no
	// connection of another process can take a port while the process that has it is down.
	IP func(name string) string
	// Env is what a process has in its environment beside the harness's own; nil: nothing.
	Env func(name string) []string
}

// Cluster is a running set of processes and the proxies between them. Its methods are safe for concurrent use.
type Cluster struct {
	cfg       Config
	start     time.Time
	history   Records[Event]
	mu        sync.Mutex
	processes map[string]*process
	links     map[linkKey]*Link
}

// linkKey identifies a link by the process that connects and the listener that it connects to.
type linkKey struct {
	from, to, port string
}

// New reserves every process's addresses; nothing runs until Start.
func New(cfg Config) (*Cluster, error) {
	if cfg.Binary == "" || cfg.Dir == "" || len(cfg.Names) == 0 {
		return nil, errors.New("processtest: Binary, Dir and Names are all needed")
	}
	c := &Cluster{cfg: cfg, start: time.Now(), processes: map[string]*process{}, links: map[linkKey]*Link{}}
	var reserved reservation
	var failure error
	for _, name := range cfg.Names {
		addrs, err := reserved.draw(c.ip(name), cfg.Ports)
		c.processes[name] = &process{addrs: addrs}
		failure = errors.Join(failure, err)
	}
	if err := errors.Join(failure, reserved.release()); err != nil {
		return nil, err
	}
	return c, nil
}

// Names returns the processes.
func (c *Cluster) Names() []string { return c.cfg.Names }

// Addr returns the address of a process's listener by its port name.
func (c *Cluster) Addr(name, port string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name].addrs[port]
}

// Link returns the proxy between two processes, to a listener of the second by its port name. The first process is
// configured with the proxy's address. Each proxy is made once.
func (c *Cluster) Link(from, to, port string) (*Link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := linkKey{from, to, port}
	if link := c.links[key]; link != nil {
		return link, nil
	}
	p := c.processes[to]
	if p == nil || p.addrs[port] == "" {
		return nil, fmt.Errorf("processtest: no listener %s of %q", port, to)
	}
	link, err := newLink(p.addrs[port])
	if err != nil {
		return nil, err
	}
	c.links[key] = link
	return link, nil
}

// Close kills every process and closes every proxy.
func (c *Cluster) Close() {
	for _, name := range c.cfg.Names {
		_ = c.Kill(name) // it waits for the end of the process, however that comes
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.links {
		link.close()
	}
}
