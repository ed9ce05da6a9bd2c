package main

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// movingStep is a step of the operators with an agent whose discovery service moves.
type movingStep int

const (
	// move replaces the file by one with the address of a new service and sends SIGHUP; the service before ends.
	move movingStep = iota
	// moveBack is like move, but to the first service, which runs again.
	moveBack
	// replaceFile is like move, but without SIGHUP.
	replaceFile
	// replaceEnvironment has the next process start with the address of a new service in its environment.
	replaceEnvironment
	// upgrade starts a process and ends the one before it.
	upgrade
	// moveDuringUpgrade is an upgrade in which only the process before gets the SIGHUP of a move, while both run.
	moveDuringUpgrade
)

// movingAgent is an upgraded agent whose discovery service moves. All its services list the same servers.
type movingAgent struct {
	*upgradedAgent
	first       *agenttest.Discovery
	environment string // PROXY_DISCOVERY of the next process
	process     *program
	configPath  string
}

// start starts a process with the environment and the file as they are now.
func (a *movingAgent) start(t *testing.T) {
	t.Helper()
	p := newProgram(t, nil)
	if a.configPath == "" {
		a.configPath = p.configPath
	}
	p.configPath = a.configPath
	p.setenv("PROXY_CONFIG", a.configPath)
	p.setenv("PROXY_DISCOVERY", a.environment)
	a.writeFile(t, p)
	a.process = a.listener.start(t, p)
}

// writeFile writes the file with the address of the service in use.
func (a *movingAgent) writeFile(t *testing.T, p *program) {
	t.Helper()
	p.writeConfig(t, a.config.text(t))
}

// useNewDiscovery replaces the service by one that counts its versions from another number.
func (a *movingAgent) useNewDiscovery(t *testing.T) {
	t.Helper()
	before := a.discovery
	servers := slices.Clone(before.List.Servers)
	a.discovery = agenttest.NewDiscovery(t, servers...)
	a.discovery.List.Version = before.List.Version/2 + 1
	before.SetDown(true)
}

// useDiscoveryInFile writes the address of the service in use to the file.
func (a *movingAgent) useDiscoveryInFile(t *testing.T) {
	t.Helper()
	a.config.Discovery = a.discovery.Listener.Addr().String()
	a.writeFile(t, a.process)
}

// perform performs a step.
func (a *movingAgent) perform(t *testing.T, step movingStep) {
	t.Helper()
	switch step {
	case move:
		a.useNewDiscovery(t)
		a.useDiscoveryInFile(t)
		a.process.signal(t, syscall.SIGHUP)
	case moveBack:
		a.discovery.SetDown(true)
		a.discovery = a.first
		a.discovery.SetDown(false)
		a.useDiscoveryInFile(t)
		a.process.signal(t, syscall.SIGHUP)
	case replaceFile:
		a.useNewDiscovery(t)
		a.useDiscoveryInFile(t)
	case replaceEnvironment:
		a.useNewDiscovery(t)
		a.environment = a.discovery.Listener.Addr().String()
	case upgrade:
		before := a.process
		a.start(t)
		before.signal(t, syscall.SIGTERM)
		before.expectCleanEnd(t)
	case moveDuringUpgrade:
		before := a.process
		a.start(t)
		a.useNewDiscovery(t)
		a.useDiscoveryInFile(t)
		before.signal(t, syscall.SIGHUP)
		time.Sleep(timeBeforeKill)
		before.signal(t, syscall.SIGTERM)
		before.expectCleanEnd(t)
	}
}

// An agent follows discovery to the address that was set last, whether its process was replaced before or after that. A
// process that kept calling an older address would never learn of a drain.
func TestUpgradesAndMovesOfDiscoveryInAnyOrder(t *testing.T) {
	running := make(chan struct{}, 4)
	for name, steps := range map[string][]movingStep{
		"move, upgrade":                      {move, upgrade},
		"upgrade, move":                      {upgrade, move},
		"move, two upgrades":                 {move, upgrade, upgrade},
		"two moves, upgrade":                 {move, move, upgrade},
		"move, upgrade, move, upgrade":       {move, upgrade, move, upgrade},
		"move, move back, upgrade":           {move, moveBack, upgrade},
		"move, upgrade, move back, upgrade":  {move, upgrade, moveBack, upgrade},
		"file replaced, upgrade":             {replaceFile, upgrade},
		"environment replaced, upgrade":      {replaceEnvironment, upgrade},
		"move, environment, upgrade":         {move, replaceEnvironment, upgrade, upgrade},
		"move during an upgrade":             {moveDuringUpgrade},
		"move, move during an upgrade, next": {move, moveDuringUpgrade, upgrade},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			agent := &movingAgent{upgradedAgent: newUpgradedAgent(t)}
			agent.first = agent.discovery
			agent.environment = agent.discovery.Listener.Addr().String()
			agent.start(t)
			for _, step := range steps {
				agent.perform(t, step)
			}
			agent.wantDrainObeyed(t)
			agent.process.signal(t, syscall.SIGTERM)
			agent.process.expectCleanEnd(t)
		})
	}
}

// wantDrainObeyed has a server drain and checks that it gets nothing once the agent has to know it.
func (a *movingAgent) wantDrainObeyed(t *testing.T) {
	t.Helper()
	entry := a.servers[2].Endpoint
	entry.State = endpoint.StateDraining
	a.discovery.Set(entry)
	time.Sleep(agenttest.MaxNotifyDelay)
	a.wantOnly(t, a.servers[:2]...)
}

// A move to a service that doesn't answer yet, and an upgrade: the new process has the list of the service before, and
// drops what the new one doesn't list as soon as that answers.
func TestUpgradeBeforeTheMovedDiscoveryAnswers(t *testing.T) {
	t.Parallel()
	agent := &movingAgent{upgradedAgent: newUpgradedAgent(t)}
	agent.environment = agent.discovery.Listener.Addr().String()
	agent.start(t)
	agent.drain(t, agent.servers[0])
	agent.useNewDiscovery(t)
	agent.discovery.SetSilent(true)
	agent.discovery.List.Servers = []endpoint.Endpoint{agent.servers[1].Endpoint}
	agent.useDiscoveryInFile(t)
	agent.process.signal(t, syscall.SIGHUP)
	agent.perform(t, upgrade)
	agent.wantOnly(t, agent.servers[1:]...)
	agent.discovery.SetSilent(false)
	time.Sleep(agenttest.MaxNotifyDelay)
	agent.wantOnly(t, agent.servers[1])
	agent.process.signal(t, syscall.SIGTERM)
	agent.process.expectCleanEnd(t)
}

// The list of a file whose address of discovery is not the one that is called may be from another service: a server
// that only the file lists is gone once discovery has answered, though the versions seem to fit.
func TestListOfTheFileFromAnotherAddressIsReplaced(t *testing.T) {
	t.Parallel()
	agent := &movingAgent{upgradedAgent: newUpgradedAgent(t)}
	agent.environment = agent.discovery.Listener.Addr().String()
	agent.config.Discovery = silentDiscovery(t)
	agent.discovery.List.Version = 50
	agent.discovery.List.Servers = agent.discovery.List.Servers[:2]
	agent.start(t)
	agent.discovery.WaitNotified(t, agent.servers[0].Endpoint)
	agent.wantOnly(t, agent.servers[:2]...)
	agent.process.signal(t, syscall.SIGTERM)
	agent.process.expectCleanEnd(t)
}

// At a first start the environment has precedence over the file, though the file may be newer. A state that can't be
// used makes no difference.
func TestFirstStartUsesTheEnvironment(t *testing.T) {
	for name, state := range map[string]string{"no state": "", "damaged state": "fernbeam-handover 1 2 00000000\n{}"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := &movingAgent{upgradedAgent: newUpgradedAgent(t)}
			agent.environment = agent.discovery.Listener.Addr().String()
			agent.config.Discovery = silentDiscovery(t)
			if state != "" {
				p := newProgram(t, nil)
				p.configPath = agent.handoverPath()
				p.writeConfig(t, []byte(state))
			}
			agent.start(t)
			called := func() bool { return agent.discovery.CallCount() > 0 }
			if err := processtest.Await(testTimeout, "a call to the address of the environment", called); err != nil {
				t.Error(fmt.Errorf("%s: %w", name, err))
			}
			agent.process.signal(t, syscall.SIGTERM)
			agent.process.expectCleanEnd(t)
		})
	}
}
