package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// defaultHandoverSeeds is the number of seeds of the soak of handovers.
	defaultHandoverSeeds = 6
	// handoverSteps is the number of steps of a run.
	handoverSteps = 16
)

// handoverSoak is an agent whose operators and discovery take random steps.
type handoverSoak struct {
	*movingAgent
	random *rand.Rand
	silent bool // discovery
	// told are the servers that are available as far as the agent has been told.
	told []*countingServer
}

// Through random changes of the list, outages and moves of discovery, upgrades and kills in any order, a server gets
// requests if and only if the agent was last told that it is up.
func TestSoakOfHandovers(t *testing.T) {
	running := make(chan struct{}, 3)
	for seed := range soakSeeds(defaultHandoverSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			agent := &movingAgent{upgradedAgent: newUpgradedAgent(t)}
			agent.environment = agent.discovery.Listener.Addr().String()
			soak := &handoverSoak{movingAgent: agent, random: rand.New(rand.NewPCG(seed, seed)), told: agent.servers}
			soak.start(t)
			for step := range handoverSteps {
				t.Logf("step %d: %s", step, soak.step(t))
				soak.wantOnly(t, soak.told...)
				if t.Failed() {
					t.FailNow()
				}
			}
			soak.process.signal(t, syscall.SIGTERM)
			soak.process.expectCleanEnd(t)
		})
	}
}

// step takes a random step and returns its name.
func (s *handoverSoak) step(t *testing.T) string {
	t.Helper()
	steps := []struct {
		name string
		take func(*testing.T)
	}{
		{"a change of the list", s.changeList},
		{"a change of the list", s.changeList},
		{"an outage begins or ends", s.toggleSilence},
		{"a move", s.moveDiscovery},
		{"an upgrade", func(t *testing.T) { t.Helper(); s.replaceProcess(t, syscall.SIGTERM) }},
		{"an upgrade whose first process is killed", func(t *testing.T) { t.Helper(); s.replaceProcess(t, syscall.SIGKILL) }},
	}
	step := steps[s.random.IntN(len(steps))]
	step.take(t)
	if !s.silent {
		s.awaitTold(t)
	}
	return step.name
}

// changeList gives a server another state, so that at least one server is up.
func (s *handoverSoak) changeList(t *testing.T) {
	t.Helper()
	server := s.servers[s.random.IntN(len(s.servers))]
	states := []endpoint.State{endpoint.StateUp, endpoint.StateDraining, endpoint.StateRemoved}
	entry := server.Endpoint
	entry.State = states[s.random.IntN(len(states))]
	if slices.Equal(s.available(), []*countingServer{server}) {
		entry.State = endpoint.StateUp
	}
	if entry.State == endpoint.StateRemoved {
		s.discovery.Remove(entry.ID)
		return
	}
	s.discovery.Set(entry)
}

// available returns the servers that discovery lists as up.
func (s *handoverSoak) available() []*countingServer {
	return slices.DeleteFunc(slices.Clone(s.servers), func(server *countingServer) bool {
		return !slices.ContainsFunc(s.discovery.List.Servers, func(entry endpoint.Endpoint) bool {
			return entry.ID == server.ID && entry.State == endpoint.StateUp
		})
	})
}

// toggleSilence begins or ends an outage.
func (s *handoverSoak) toggleSilence(*testing.T) {
	s.silent = !s.silent
	s.discovery.SetSilent(s.silent)
}

// moveDiscovery moves discovery to a service that is silent too if there is an outage.
func (s *handoverSoak) moveDiscovery(t *testing.T) {
	t.Helper()
	s.useNewDiscovery(t)
	s.discovery.SetSilent(s.silent)
	s.useDiscoveryInFile(t)
	s.process.signal(t, syscall.SIGHUP)
}

// replaceProcess starts a process and ends the one before it with the given signal.
func (s *handoverSoak) replaceProcess(t *testing.T, signal syscall.Signal) {
	t.Helper()
	before := s.process
	s.start(t)
	s.endProcess(t, before, signal)
}

// awaitTold waits until the agent has been told of everything that discovery lists.
func (s *handoverSoak) awaitTold(t *testing.T) {
	t.Helper()
	s.told = s.available()
	s.discovery.WaitNotified(t, s.told[0].Endpoint)
}
