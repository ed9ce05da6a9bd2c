// Package processtest is a harness for tests with several processes. It starts built programs with listeners on free
// loopback ports and injects faults: SIGKILL, SIGSTOP and SIGCONT, restarts, CPU starvation, and network faults by a
// TCP proxy on every link, which can delay, drop or cut connections. A partition is a set of cut links. The harness
// keeps a history of its actions.
package processtest

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Config configures a cluster. Each process in Names gets a listener for each of Ports, on a loopback address with a
// free port, and inherits them as file descriptors 3, 4, ... in the order of Ports.
type Config struct {
	Binary string   // path of the built program
	Dir    string   // directory of each process's log (NAME.log) and files
	Names  []string // names of the processes
	Ports  []string // names of each process's listeners, such as "raft" or "http"
	// Args returns the command line arguments of a process. It is called at each start, when all addresses are known.
	// Nil means none.
	Args func(c *Cluster, name string) []string
	// IP returns the loopback address of a process's listeners. Nil means a random one for each process. If a process
	// has an address of its own, no connection of another process can take its ports while it is down.
	IP func(name string) string
	// Env returns the environment variables that a process has in addition to those of the harness. Nil means none.
	Env func(name string) []string
}

// Cluster is a set of processes and the proxies between them. Its methods are safe for concurrent use.
type Cluster struct {
	cfg       Config
	start     time.Time
	history   Records[Event]
	mu        sync.Mutex
	processes map[string]*process
	links     map[linkKey]*Link
}

// linkKey identifies a link by the connecting process and the listener that it connects to.
type linkKey struct {
	from, to, port string
}

// New returns a cluster with an address for each listener of each process. It starts no process.
func New(cfg Config) (*Cluster, error) {
	if cfg.Binary == "" || cfg.Dir == "" || len(cfg.Names) == 0 {
		return nil, errors.New("processtest: Binary, Dir and Names are required")
	}
	c := &Cluster{cfg: cfg, start: time.Now(), processes: map[string]*process{}, links: map[linkKey]*Link{}}
	var reserved reservation
	var failure error
	for _, name := range cfg.Names {
		addrs, err := reserved.add(c.ip(name), cfg.Ports)
		c.processes[name] = &process{addrs: addrs}
		failure = errors.Join(failure, err)
	}
	if err := errors.Join(failure, reserved.release()); err != nil {
		return nil, err
	}
	return c, nil
}

// Names returns the names of the processes.
func (c *Cluster) Names() []string { return c.cfg.Names }

// Addr returns the address of a process's listener with the given port name.
func (c *Cluster) Addr(name, port string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name].addrs[port]
}

// Link returns the proxy from one process to a listener of another. The first call for a link starts its proxy. The
// caller has to configure the first process with the proxy's address.
func (c *Cluster) Link(from, to, port string) (*Link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := linkKey{from, to, port}
	if link := c.links[key]; link != nil {
		return link, nil
	}
	p := c.processes[to]
	if p == nil || p.addrs[port] == "" {
		return nil, fmt.Errorf("processtest: no listener %q of process %q", port, to)
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
		_ = c.Kill(name) // returns once the process has ended, for whatever reason
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, link := range c.links {
		link.close()
	}
}
