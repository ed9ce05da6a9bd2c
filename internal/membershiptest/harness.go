// Package membershiptest runs clusters of the real agent on one machine, connected through a proxy that injects faults,
// and checks their memberships. It merges the histories of all processes, checks that they satisfy safety rules, and
// measures how long changes took to reach all processes. The package's own test runs the cases on a small cluster; the
// membership command runs them on clusters of any size.
package membershiptest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// zones is the number of zones that the agents are divided into.
	zones = 3
	// testSite is the site of all agents.
	testSite = "test"
	// maxAttempts is the agents' maximum number of attempts for a request.
	maxAttempts = 3
	// agentCores is the number of processor cores in the limits of an agent.
	agentCores = 0.2
	// agentSeed is the seed of all agents.
	agentSeed = "1"
	// clientPort and adminPort are the ports of an agent's clients and of its admin endpoint.
	clientPort = 8000
	adminPort  = 8001
	// upgradePortOffset is added to the ports for the second process of an agent.
	upgradePortOffset = 10
	// upgradeSuffix is the suffix of the name of an agent's second process.
	upgradeSuffix = "-next"
)

// Config configures a Harness.
type Config struct {
	Binary string // path of the agent binary
	Dir    string // directory for configurations and logs
	Agents int    // number of agents, divided into three zones
	Seeds  int    // number of agents, counted from the first, that are the seeds of all agents
	Seed   uint64 // seed of all random choices
	// Membership has the timings for the section "fleet" of the agents' configurations.
	Membership membership.Config
	// WithoutMembership reports whether the agent with the given number has no section "fleet"; nil means that all have
	// one.
	WithoutMembership func(i int) bool
	// Log receives the results of the cases; nil discards them.
	Log func(format string, args ...any)
}

// Harness runs a cluster with its proxy and records its history.
type Harness struct {
	cfg       Config
	Proxy     *faultproxy.Proxy
	processes *processtest.Cluster
	Names     []string
	addresses map[string]faultproxy.Addresses // by agent name
	discovery *http.Server
	random    *rand.Rand

	exemptions processtest.Exemptions // from RuleFalseDeath

	mu         sync.Mutex
	identities map[incarnationKey]identity
	records    map[string]*Record // by the process of the observer
}

// UpgradeName returns the name of the second process of an agent, which can run beside the first.
func UpgradeName(name string) string { return name + upgradeSuffix }

// minAgents is the minimum number of agents in a cluster.
const minAgents = 2

// New prepares the cluster's addresses and configurations, without starting any agent.
func New(cfg Config) (*Harness, error) {
	if cfg.Agents < minAgents || cfg.Seeds < 1 || cfg.Seeds > cfg.Agents {
		return nil, fmt.Errorf("membershiptest: invalid cluster of %d agents with %d seeds", cfg.Agents, cfg.Seeds)
	}
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	proxy, err := faultproxy.New(cfg.Seed)
	if err != nil {
		return nil, err
	}
	h := &Harness{
		cfg:        cfg,
		Proxy:      proxy,
		addresses:  map[string]faultproxy.Addresses{},
		random:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		identities: map[incarnationKey]identity{},
		records:    map[string]*Record{},
	}
	if err := h.prepare(); err != nil {
		h.Close()
		return nil, err
	}
	return h, nil
}

// prepare sets up everything that the processes need to start.
func (h *Harness) prepare() error {
	if err := h.addRelays(); err != nil {
		return err
	}
	if err := h.serveDiscovery(); err != nil {
		return err
	}
	var processes []string
	for _, name := range h.Names {
		processes = append(processes, name, UpgradeName(name))
	}
	var err error
	h.processes, err = processtest.New(processtest.Config{
		Binary: h.cfg.Binary,
		Dir:    h.cfg.Dir,
		Names:  processes,
		Env:    processtest.AgentEnv(h.cfg.Dir),
	})
	if err != nil {
		return err
	}
	for i, name := range h.Names {
		err := errors.Join(h.writeConfig(name, name, i), h.writeConfig(name, UpgradeName(name), i))
		if err != nil {
			return err
		}
	}
	return nil
}

// addRelays names the agents and creates their relays.
func (h *Harness) addRelays() error {
	for i := range h.cfg.Agents {
		name := fmt.Sprintf("a%03d", i)
		addresses, err := h.Proxy.AddProcess(name)
		if err != nil {
			return err
		}
		h.Names = append(h.Names, name)
		h.addresses[name] = addresses
	}
	return nil
}

// writeConfig writes the configuration of a process of the agent with the given name and number. The second process of
// an agent differs from the first only in its client and admin addresses.
func (h *Harness) writeConfig(agent, process string, number int) error {
	fleet := h.cfg.Membership
	fleet.Bind = h.addresses[agent].Bind
	fleet.Advertise = h.addresses[agent].Advertise
	fleet.Site = testSite
	fleet.Zone = fmt.Sprintf("z%d", number%zones)
	fleet.Networks = []string{"127.0.0.0/8"}
	for _, seed := range h.Names[:h.cfg.Seeds] {
		fleet.Seeds = append(fleet.Seeds, h.addresses[seed].Advertise)
	}
	file := processtest.AgentFile{
		Name:       agent,
		Listen:     h.address(process, clientPort),
		Management: h.address(process, adminPort),
		Discovery:  h.discovery.Addr,
		Seed:       agentSeed,
		Limits:     processtest.AgentLimitsFor(agentCores),
		Known:      processtest.AgentList{Full: true},
		Settings:   processtest.AgentSettings{Agents: h.cfg.Agents, MaxAttempts: maxAttempts},
	}
	if !h.isWithoutMembership(agent) {
		file.Fleet = &fleet
	}
	return file.Write(h.cfg.Dir, process)
}

// address returns the address of one of a process's ports outside the membership.
func (h *Harness) address(process string, port int) string {
	agent, isUpgrade := strings.CutSuffix(process, upgradeSuffix)
	if isUpgrade {
		port += upgradePortOffset
	}
	host, _, _ := net.SplitHostPort(h.addresses[agent].Bind) // the proxy created a valid address
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// isWithoutMembership reports whether an agent has no section "fleet".
func (h *Harness) isWithoutMembership(name string) bool {
	return h.cfg.WithoutMembership != nil && h.cfg.WithoutMembership(slices.Index(h.Names, name))
}

// Close stops all processes, the discovery service and the proxy.
func (h *Harness) Close() {
	if h.processes != nil {
		_ = processtest.Each(h.processes.Names(), h.processes.Kill) // waits until the processes have ended, however they end
	}
	if h.discovery != nil {
		_ = h.discovery.Close() // no running process uses it any more
	}
	h.Proxy.Close()
}
