package experiment

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/faultproxy"
)

const (
	// membershipSite is the site name in the membership section of every agent.
	membershipSite = "lab"
	// loopbackNetwork is the network that members' addresses must belong to.
	loopbackNetwork = "127.0.0.0/8"
	// agentSeedFactor separates the seeds of the agents in runs with consecutive seeds.
	agentSeedFactor = 1000
	// configFileMode is the permission mode of an agent's configuration file.
	configFileMode = 0o600
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

// membershipAddresses holds the addresses of all members, by agent name, and the addresses that every agent gets as
// seeds.
type membershipAddresses struct {
	members map[string]faultproxy.Addresses
	seeds   []string
}

// config returns the membership section for an agent in the given zone.
func (a *membershipAddresses) config(agent, zone string) *membershipConfig {
	member := a.members[agent]
	return &membershipConfig{
		Bind:      member.Bind,
		Advertise: member.Advertise,
		Seeds:     a.seeds,
		Site:      membershipSite,
		Zone:      zone,
		Networks:  []string{loopbackNetwork},
	}
}

// agentConfig returns the configuration of the agent at the given index, without a membership section.
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

// write writes the configuration with an arm's overrides to the file in dir that the agent's process reads.
func (c *agentConfig) write(dir string, overrides map[string]any) error {
	text, err := c.encode(overrides)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, c.Name+".json"), text, configFileMode)
}

// encode returns the configuration as JSON with an arm's overrides, which may set any key, including unknown ones.
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

// mergeConfig merges overrides into base recursively, key by key.
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
