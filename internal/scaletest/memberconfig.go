package scaletest

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/experiment"
	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// seedFactor multiplies the plan's seed, so that plans with different seeds have no agent's seed in common.
	seedFactor = 100_000
	// agentConfigMode is the file mode of a real agent's configuration file.
	agentConfigMode = 0o600
)

// createMembers creates the members with their configurations. The first members are the hollow agents, and the first
// minHollowAgents of them are the membership seeds.
func (f *fleet) createMembers(hollow int) error {
	var seeds []string
	var configs []membership.Config
	for i := range f.size {
		zone := i % len(zoneNames)
		m := &member{
			name:  fmt.Sprintf("%s-a%04d", zoneNames[zone], i),
			index: i,
			zone:  zone,
			ip:    f.address(agentAddress, i),
		}
		if i < hollow {
			m.host = f.hosts[i%len(f.hosts)]
		}
		c, err := f.membershipConfig(m)
		if err != nil {
			return err
		}
		if i < minHollowAgents {
			seeds = append(seeds, c.Advertise)
		}
		f.members = append(f.members, m)
		configs = append(configs, c)
	}
	f.assignServices()
	for i, m := range f.members {
		configs[i].Seeds = seeds
		if err := f.configure(m, configs[i]); err != nil {
			return err
		}
	}
	return nil
}

// membershipConfig returns the membership configuration of a member without the seeds. If the fleet has a packet relay,
// it sets the member's address to the one that the relay assigns.
func (f *fleet) membershipConfig(m *member) (membership.Config, error) {
	c := membership.Config{
		Bind:      m.address(membershipPort),
		Advertise: m.address(membershipPort),
		Site:      "scale",
		Zone:      zoneNames[m.zone],
		Networks:  []string{"127.0.0.0/8"},
	}
	if f.packetRelay == nil {
		return c, nil
	}
	addresses, err := f.packetRelay.AddProcess(m.name)
	if err != nil {
		return c, err
	}
	c.Bind, c.Advertise = addresses.Bind, addresses.Advertise
	m.ip, _, err = net.SplitHostPort(c.Bind)
	return c, err
}

// deployment returns the scenario whose settings the agents use.
func deployment() *experiment.Scenario {
	s := experiment.Default()
	s.Fleet.Zones = zoneNames
	return s
}

// agentConfig is an agent's configuration file (DEPLOY, "What an agent is told"; WIRE, "Start-up parameters").
type agentConfig struct {
	Name           string                   `json:"name"`
	Listen         string                   `json:"listen"`
	AdminAddress   string                   `json:"management"`
	Discovery      string                   `json:"discovery"`
	Seed           string                   `json:"seed"` // hexadecimal
	Limits         experiment.AgentLimits   `json:"limits"`
	KnownEndpoints endpoint.List            `json:"known"`
	Membership     membership.Config        `json:"fleet"`
	Settings       experiment.AgentSettings `json:"settings"`
	Control        *config.Control          `json:"control,omitempty"` // nil if discovery has no settings for the agent
}

// configure sets a member's configuration, and writes it to a file for a real agent.
func (f *fleet) configure(m *member, c membership.Config) error {
	var err error
	m.config, err = json.Marshal(f.agentConfig(m, c))
	if err != nil || m.hollow() {
		return err
	}
	return os.WriteFile(filepath.Join(f.directory, m.name+".json"), m.config, agentConfigMode)
}

// agentConfig returns the configuration of a member.
func (f *fleet) agentConfig(m *member, membershipConfig membership.Config) agentConfig {
	s := deployment()
	c := agentConfig{
		Name:           m.name,
		Listen:         m.address(clientPort),
		AdminAddress:   m.address(adminPort),
		Discovery:      f.discovery.Addr(f.discoveryInstance(m), "http"),
		Seed:           strconv.FormatUint(f.plan.Seed*seedFactor+uint64(m.index), 16),
		Limits:         s.Limits(),
		KnownEndpoints: endpoint.List{Full: true, Servers: []endpoint.Endpoint{}},
		Membership:     membershipConfig,
		Settings:       s.Settings(m.index, m.zone, f.size),
	}
	if m.service != "" {
		c.Control = &config.Control{Service: m.service, Addresses: f.discoveryAddresses()}
	}
	return c
}

// discoveryInstance returns the name of the instance for a member's "discovery" key. The members of a region are
// distributed over its instances in turn.
func (f *fleet) discoveryInstance(m *member) string {
	names := f.instancesByRegion()[regionOf(m.zone)]
	return names[m.index/len(zoneNames)%len(names)]
}

// instancesByRegion returns the names of the discovery instances of each region.
func (f *fleet) instancesByRegion() [][]string {
	instances := make([][]string, len(regionNames))
	for i, name := range f.discovery.Names() {
		region := i % len(regionNames)
		instances[region] = append(instances[region], name)
	}
	return instances
}

// discoveryAddresses returns the addresses (host:port) of all discovery instances.
func (f *fleet) discoveryAddresses() []string {
	var addresses []string
	for _, name := range f.discovery.Names() {
		addresses = append(addresses, f.discovery.Addr(name, "http"))
	}
	return addresses
}
