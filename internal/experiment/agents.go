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
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// membershipSeeds is how many agents the others know at their start.
	membershipSeeds = 3
	// membershipSite is the site in the agents' membership sections.
	membershipSite = "lab"
	// loopbackNetwork has the addresses that members may have.
	loopbackNetwork = "127.0.0.0/8"
	// agentSeedFactor keeps the seeds of the agents of one run apart from those of the next seed's.
	agentSeedFactor = 1000
	// configFileMode is the mode of an agent's configuration file.
	configFileMode = 0o600
	// readyTimeout bounds the time from an agent's start until it is ready, readyCallTimeout a call that asks.
	readyTimeout     = 30 * time.Second
	readyCallTimeout = time.Second
)

// agentConfig is an agent's configuration file (DEPLOY, "What an agent is told"; WIRE, "Start-up parameters").
type agentConfig struct {
	Name           string            `json:"name"`
	Listen         string            `json:"listen"`
	AdminAddress   string            `json:"management"`
	Discovery      string            `json:"discovery"`
	Seed           string            `json:"seed"` // hexadecimal
	Limits         AgentLimits       `json:"limits"`
	KnownEndpoints endpoint.List     `json:"known"`
	Membership     *membershipConfig `json:"fleet,omitempty"`
	Settings       AgentSettings     `json:"settings"`
}

// membershipConfig is the membership section of an agent's configuration.
type membershipConfig struct {
	Bind      string   `json:"bind"`
	Advertise string   `json:"advertise"`
	Seeds     []string `json:"seeds"`
	Site      string   `json:"site"`
	Zone      string   `json:"zone"`
	Networks  []string `json:"networks"`
}

// memberAddress is where an agent listens for other agents, and the address that it advertises to them.
type memberAddress struct{ bind, advertise string }

// membershipAddresses are the addresses of all members, by the agents' names, and those that all know at their start.
type membershipAddresses struct {
	members map[string]memberAddress
	seeds   []string
}

// config returns the membership section of an agent in a zone.
func (a *membershipAddresses) config(agent, zone string) *membershipConfig {
	member := a.members[agent]
	return &membershipConfig{
		Bind:      member.bind,
		Advertise: member.advertise,
		Seeds:     a.seeds,
		Site:      membershipSite,
		Zone:      zone,
		Networks:  []string{loopbackNetwork},
	}
}

// prepareAgents writes the agents' configurations.
func (r *armRun) prepareAgents(dir, program string) (err error) {
	for i, agent := range r.emulatorConfig.Agents {
		r.names = append(r.names, agent.Name)
		r.agentIndex[agent.Name] = i
	}
	var addresses *membershipAddresses // nil: the agents have no membership section
	if r.arm.Membership {
		if addresses, err = r.connectMembers(); err != nil {
			return err
		}
	}
	for i, agent := range r.emulatorConfig.Agents {
		config := r.agentConfig(i, agent)
		if addresses != nil {
			config.Membership = addresses.config(agent.Name, r.scenario.Fleet.Zones[agent.Zone])
		}
		text, err := config.encode(r.arm.Config)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, agent.Name+".json"), text, configFileMode); err != nil {
			return err
		}
	}
	r.procs, err = processtest.New(processtest.Config{
		Binary: program, Dir: dir, Names: r.names, Env: processtest.AgentEnv(dir),
	})
	return err
}

// connectMembers adds each agent to a fault proxy and returns the agents' addresses.
func (r *armRun) connectMembers() (addresses *membershipAddresses, err error) {
	if r.proxy, err = faultproxy.New(r.seed); err != nil {
		return nil, err
	}
	addresses = &membershipAddresses{members: map[string]memberAddress{}}
	for _, name := range r.names {
		bind, advertise, err := r.proxy.Add(name)
		if err != nil {
			return nil, err
		}
		addresses.members[name] = memberAddress{bind, advertise}
		if len(addresses.seeds) < membershipSeeds {
			addresses.seeds = append(addresses.seeds, advertise)
		}
	}
	return addresses, nil
}

// agentConfig returns the configuration of the agent with an index, without a membership section.
func (r *armRun) agentConfig(index int, agent emulator.Agent) *agentConfig {
	return &agentConfig{
		Name:           agent.Name,
		Listen:         r.emulator.Address(index, emulator.ListenPort),
		AdminAddress:   r.emulator.Address(index, emulator.AdminPort),
		Discovery:      r.emulator.Address(index, emulator.DiscoveryPort),
		Seed:           strconv.FormatUint(r.seed*agentSeedFactor+uint64(index), 16),
		Limits:         r.scenario.Limits(),
		KnownEndpoints: r.emulator.InitialList(agent.Name),
		Settings:       r.scenario.Settings(index, agent.Zone, len(r.emulatorConfig.Agents)),
	}
}

// encode returns the configuration as JSON with an arm's overrides, which may set any key, also unknown ones.
func (c *agentConfig) encode(overrides map[string]any) ([]byte, error) {
	text, err := json.Marshal(c)
	if err != nil || len(overrides) == 0 {
		return text, err
	}
	config := map[string]any{}
	if err := json.Unmarshal(text, &config); err != nil {
		return nil, err
	}
	mergeConfig(config, overrides)
	return json.Marshal(config)
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
	if r.proxy == nil {
		return nil
	}
	// Joining is no part of the traffic's time. An interruption is noticed once the traffic begins.
	return r.awaitMembership(ctx)
}

// start starts an agent and waits until it is ready, or until the traffic has ended.
func (r *armRun) start(name string) error {
	if err := r.procs.Start(name); err != nil {
		return err
	}
	r.emulator.AgentStarted(name)
	url := "http://" + r.emulator.Address(r.agentIndex[name], emulator.ListenPort) + "/-/ready"
	client := &http.Client{
		Timeout: readyCallTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext:       (&net.Dialer{Timeout: readyCallTimeout}).DialContext,
		},
	}
	return processtest.Await(readyTimeout, name+" is ready", func() bool {
		ready, err := isReady(client, url)
		return ready || err != nil && r.isFinished()
	})
}

// isReady asks an agent at its readiness endpoint. The client bounds the call.
func isReady(client *http.Client, url string) (bool, error) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return false, err
	}
	response, err := client.Do(request)
	if err != nil {
		return false, err
	}
	_ = response.Body.Close() // the status says all
	return response.StatusCode == http.StatusOK, nil
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
	if r.proxy != nil {
		r.proxy.Close()
	}
}
