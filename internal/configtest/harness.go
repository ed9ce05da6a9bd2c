// Package configtest runs the real discovery service and real agents on one machine, with a proxy on every link between
// them. It injects faults while settings change, and checks the merged histories of the writers, the agents and the
// service. The package's own test runs the cases at a small size.
package configtest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// minAgents is the minimum number of agents that the cases need.
	minAgents = 4
	// service is the service whose settings the agents use.
	service = "pay"
	// leaderTimeout bounds the time until the started service has a leader.
	leaderTimeout = 30 * time.Second
	// maxStale is the maximum staleness of a read at a follower.
	maxStale = time.Second
	// adminTimeout bounds a call to an instance's admin endpoint.
	adminTimeout = 7 * time.Second
)

// Config configures a Harness.
type Config struct {
	AgentBinary     string // path of the agent binary
	DiscoveryBinary string // path of the discovery binary
	Dir             string // directory for configurations, logs and data
	Agents          int    // at least 4; every second one has a key in its file that the first change lacks
	Seed            uint64 // seed of all random choices
	// Within is the maximum time from the acknowledgement of a change until it is in force at all agents.
	Within time.Duration
	// Outage is how long all instances are down or a region is cut off.
	Outage time.Duration
	// Burst is the number of changes in a burst.
	Burst int
	// Log receives the results of the cases; nil discards them.
	Log func(format string, args ...any)
}

// check returns an error if the configuration is invalid.
func (c *Config) check() error {
	if c.Agents < minAgents || c.Within <= 0 || c.Burst < 1 {
		return fmt.Errorf("configtest: %d agents, %d changes in a burst, within %v: want at least %d, at least 1 and above 0",
			c.Agents, c.Burst, c.Within, minAgents)
	}
	return nil
}

// Harness runs the discovery service with three instances, and its agents.
type Harness struct {
	cfg       Config
	Instances []string
	Agents    []string
	discovery *processtest.Cluster // also has the links from the agents
	agents    *processtest.Cluster
	random    *rand.Rand
	client    *http.Client

	writes     processtest.Records[Write]
	exemptions processtest.Exemptions // periods that postpone when a change is due at an agent

	mu         sync.Mutex
	lastMarker int
	// pausedInstance is the paused instance; empty if there is none.
	pausedInstance string
}

// New starts the service and the agents, and returns once the service has a leader and thus accepts writes.
func New(cfg Config) (*Harness, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	h := &Harness{
		cfg:        cfg,
		Instances:  []string{"n1", "n2", "n3"},
		random:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		client:     &http.Client{Timeout: adminTimeout},
		lastMarker: firstMarker,
	}
	for i := range cfg.Agents {
		h.Agents = append(h.Agents, fmt.Sprintf("pay-%03d", i))
	}
	if err := h.newClusters(); err != nil {
		return nil, err
	}
	if err := h.start(); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// newClusters creates the clusters of instances and agents, without starting their processes.
func (h *Harness) newClusters() error {
	var err error
	h.discovery, err = processtest.New(processtest.Config{
		Binary: h.cfg.DiscoveryBinary,
		Dir:    h.cfg.Dir,
		Names:  h.Instances,
		Ports:  processtest.DiscoveryPorts(),
		Args: func(_ *processtest.Cluster, name string) []string {
			return []string{"serve", "--config", h.instanceFile(name)}
		},
	})
	if err != nil {
		return err
	}
	h.agents, err = processtest.New(processtest.Config{
		Binary: h.cfg.AgentBinary,
		Dir:    h.cfg.Dir,
		Names:  h.Agents,
		Env:    processtest.AgentEnv(h.cfg.Dir),
	})
	return err
}

// start writes all configurations, starts all processes and waits for a leader.
func (h *Harness) start() error {
	for _, name := range h.Instances {
		if err := h.writeInstanceConfig(name); err != nil {
			return err
		}
	}
	for i, name := range h.Agents {
		if err := h.writeAgentConfig(name, i); err != nil {
			return err
		}
	}
	if err := processtest.Each(h.Instances, h.discovery.Start); err != nil {
		return err
	}
	if err := processtest.Each(h.Agents, h.agents.Start); err != nil {
		return err
	}
	return h.awaitLeader(leaderTimeout)
}

// Close stops all processes.
func (h *Harness) Close() {
	h.agents.Close()
	h.discovery.Close()
}

// instanceFile returns the path of an instance's configuration file.
func (h *Harness) instanceFile(name string) string { return filepath.Join(h.cfg.Dir, name+".toml") }

// writeInstanceConfig writes the configuration of an instance of the service.
func (h *Harness) writeInstanceConfig(name string) error {
	file, err := h.discovery.DiscoveryFile(name)
	if err != nil {
		return err
	}
	file.MaxStale = maxStale
	return file.Write(h.instanceFile(name))
}

// writeAgentConfig writes the configuration of the agent with the given name and number.
func (h *Harness) writeAgentConfig(name string, number int) error {
	var addrs []string
	for _, instance := range h.Instances {
		link, err := h.discovery.Link(name, instance, processtest.HTTPPort)
		if err != nil {
			return err
		}
		addrs = append(addrs, link.Addr())
	}
	settingsInFile := settingsWithoutSlowStart(fileMarker)
	if hasSlowStartInFile(number) {
		settingsInFile = settings(fileMarker)
	}
	zone := 0
	settingsInFile.Index = &number
	settingsInFile.Zone = &zone
	file := processtest.AgentFile{
		Name:      name,
		Listen:    "127.0.0.1:0",
		Discovery: addrs[0],
		Seed:      fmt.Sprintf("%x", number+1),
		Limits:    processtest.AgentLimitsFor(1),
		Control:   &processtest.AgentControl{Service: service, Addresses: addrs[1:]},
		Settings:  settingsInFile,
	}
	return file.Write(h.cfg.Dir, name)
}
