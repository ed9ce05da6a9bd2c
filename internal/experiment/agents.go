package experiment

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// membershipSeeds is how many agents the others know at their start.
	membershipSeeds = 3
	// membershipSite is the site in the agents' membership sections.
	membershipSite = "lab"
)

// memberAddress is where an agent listens for other agents, and the address that it advertises to them.
type memberAddress struct{ bind, advertise string }

// prepareAgents writes the agents' configurations.
func (r *armRun) prepareAgents(dir, program string) (err error) {
	for i, agent := range r.emulatorConfig.Agents {
		r.names = append(r.names, agent.Name)
		r.agentIndex[agent.Name] = i
	}
	var members map[string]memberAddress
	var seeds []string
	if r.arm.Fleet {
		if members, seeds, err = r.connectMembers(); err != nil {
			return err
		}
	}
	for i, agent := range r.emulatorConfig.Agents {
		config := r.agentConfig(i, agent)
		if member, ok := members[agent.Name]; ok {
			config["fleet"] = map[string]any{
				"bind":      member.bind,
				"advertise": member.advertise,
				"seeds":     seeds,
				"site":      membershipSite,
				"zone":      r.scenario.Fleet.Zones[agent.Zone],
				"networks":  []string{"127.0.0.0/8"},
			}
		}
		mergeConfig(config, r.arm.Config)
		text, err := json.Marshal(config)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, agent.Name+".json"), text, 0o600); err != nil {
			return err
		}
	}
	r.procs, err = processtest.New(processtest.Config{
		Binary: program, Dir: dir, Names: r.names, Env: processtest.AgentEnv(dir),
	})
	return err
}

// connectMembers adds each agent to a fault proxy and returns the agents' addresses and the seeds.
func (r *armRun) connectMembers() (members map[string]memberAddress, seeds []string, err error) {
	if r.board, err = faultproxy.New(r.seed); err != nil {
		return nil, nil, err
	}
	members = map[string]memberAddress{}
	for _, name := range r.names {
		bind, advertise, err := r.board.Add(name)
		if err != nil {
			return nil, nil, err
		}
		members[name] = memberAddress{bind, advertise}
		if len(seeds) < membershipSeeds {
			seeds = append(seeds, advertise)
		}
	}
	return members, seeds, nil
}

// agentConfig returns an agent's configuration (DEPLOY, "What an agent is told"; WIRE, "Start-up parameters").
func (r *armRun) agentConfig(index int, agent emulator.Agent) map[string]any {
	return map[string]any{
		"name":       agent.Name,
		"listen":     r.emulator.Address(index, emulator.ListenPort),
		"management": r.emulator.Address(index, emulator.AdminPort),
		"discovery":  r.emulator.Address(index, emulator.DiscoveryPort),
		"seed":       strconv.FormatUint(r.seed*1000+uint64(index), 16),
		"limits":     r.scenario.Limits(),
		"known":      r.emulator.InitialList(agent.Name),
		"settings":   r.scenario.Settings(index, agent.Zone, len(r.emulatorConfig.Agents)),
	}
}

// mergeConfig merges a configuration into another one, key by key.
func mergeConfig(base, overrides map[string]any) {
	for key, value := range overrides {
		if section, ok := value.(map[string]any); ok {
			if baseSection, ok := base[key].(map[string]any); ok {
				mergeConfig(baseSection, section)
				continue
			}
		}
		base[key] = value
	}
}

// startAgents starts all agents and waits until they are ready and, with a membership section, see each other.
func (r *armRun) startAgents(ctx context.Context) error {
	if err := processtest.Each(r.names, r.start); err != nil {
		return err
	}
	if r.board == nil {
		return nil
	}
	// Joining is no part of the traffic's time. An interruption is noticed once the traffic begins.
	settled := func() bool { return ctx.Err() != nil || r.membershipComplete(ctx) }
	return processtest.Await(time.Minute, "all agents see each other", settled)
}

// start starts an agent and waits until it is ready, or until the traffic has ended.
func (r *armRun) start(name string) error {
	if err := r.procs.Start(name); err != nil {
		return err
	}
	r.emulator.AgentStarted(name)
	url := "http://" + r.emulator.Address(r.agentIndex[name], emulator.ListenPort) + "/-/ready"
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
	return processtest.Await(30*time.Second, name+" is ready", func() bool {
		response, err := client.Get(url)
		if err != nil {
			return r.isFinished()
		}
		_ = response.Body.Close() // the status says all
		return response.StatusCode == http.StatusOK
	})
}

// isFinished tells whether the traffic has ended.
func (r *armRun) isFinished() bool {
	select {
	case <-r.finished:
		return true
	default:
		return false
	}
}

// closeAgents ends the agents and the connections between them.
func (r *armRun) closeAgents() {
	if r.procs != nil {
		r.procs.Close()
	}
	if r.board != nil {
		r.board.Close()
	}
}
