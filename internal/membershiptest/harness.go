// Package membershiptest runs clusters of the real agent on one machine, through a proxy that injects faults between
// them, and checks their memberships: a checker decides safety over the merged histories of all processes, and the same
// histories give the times that a change took to be seen by all. The program's tests run its cases at a small size; the
// command membership runs them at any.
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
	// zones is the number of zones of the agents.
	zones = 3
	// testSite is the site of all agents.
	testSite = "test"
	// maxAttempts is the agents' number of attempts for a request, agentCores their share of the processor cores, and
	// agentSeed their seed.
	maxAttempts = 3
	agentCores  = 0.2
	agentSeed   = "1"
	// clientPort and adminPort are the ports of an agent's clients and of its admin endpoint. Those of the second
	// process of an agent are higher by upgradePortOffset.
	clientPort        = 8000
	adminPort         = 8001
	upgradePortOffset = 10
	// upgradeSuffix ends the name of the second process of an agent.
	upgradeSuffix = "-next"
)

// Config says what cluster to run.
type Config struct {
	Binary string // the built agent
	Dir    string // for configurations and logs
	Agents int    // in three zones
	Seeds  int    // the first so many agents are the seeds of all
	Seed   uint64 // of all that is drawn
	// Membership are the timings of the agents' section "fleet".
	Membership membership.Config
	// WithoutMembership tells which agents have no section "fleet"; nil: none.
	WithoutMembership func(i int) bool
	// Log takes the course of the cases; nil: it is dropped.
	Log func(format string, args ...any)
}

// Harness is a cluster with its proxy and its history.
type Harness struct {
	cfg       Config
	Proxy     *faultproxy.Proxy
	processes *processtest.Cluster
	Names     []string
	addresses map[string]faultproxy.Addresses // by agent
	discovery *http.Server
	random    *rand.Rand

	exemptions processtest.Exemptions // from the rule that no running process is declared dead

	mu         sync.Mutex
	identities map[incarnationKey]identity
	records    map[string]*Record // by the observer's process
}

// UpgradeName is the name of the second process of an agent, beside the first.
func UpgradeName(name string) string { return name + upgradeSuffix }

// minAgents is the least number of agents that form a cluster.
const minAgents = 2

// New makes the cluster's addresses and configurations; nothing runs yet.
func New(cfg Config) (*Harness, error) {
	if cfg.Agents < minAgents || cfg.Seeds < 1 || cfg.Seeds > cfg.Agents {
		return nil, fmt.Errorf("membershiptest: %d agents with %d seeds", cfg.Agents, cfg.Seeds)
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

// prepare makes all that processes need to start.
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

// addRelays names the agents and makes their relays.
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

// writeConfig writes the configuration of a process of the agent of a number; the second process of an agent has the
// same but for its clients' and admin addresses.
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

// address is an address of a process for those outside the membership.
func (h *Harness) address(process string, port int) string {
	agent, isUpgrade := strings.CutSuffix(process, upgradeSuffix)
	if isUpgrade {
		port += upgradePortOffset
	}
	host, _, _ := net.SplitHostPort(h.addresses[agent].Bind) // the proxy made it
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// isWithoutMembership tells whether an agent has no section "fleet".
func (h *Harness) isWithoutMembership(name string) bool {
	return h.cfg.WithoutMembership != nil && h.cfg.WithoutMembership(slices.Index(h.Names, name))
}

// Close ends every process, the proxy and the discovery.
func (h *Harness) Close() {
	if h.processes != nil {
		_ = processtest.Each(h.processes.Names(), h.processes.Kill) // it waits for the ends, however they come
	}
	if h.discovery != nil {
		_ = h.discovery.Close() // no process is left to use it
	}
	h.Proxy.Close()
}
