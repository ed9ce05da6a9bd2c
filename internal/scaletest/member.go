package scaletest

import (
	"context"
	"encoding/json"
	"errors"
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

// The ports of an agent, on an address of its own. They are below those that the system selects for
// outgoing connections.
const (
	clientPort     = 8000
	adminPort      = 8001
	membershipPort = 19998
)

const (
	// seedFactor keeps the agents' seeds of different plan seeds apart.
	seedFactor = 100_000
	// agentConfigMode is the mode of a real agent's configuration file.
	agentConfigMode = 0o600
)

// member is one agent of a fleet.
type member struct {
	name    string
	index   int
	zone    int
	host    *hostProcess // nil for a real agent
	ip      string
	config  json.RawMessage
	service string // whose settings it uses; "": those of its configuration file

	running bool // guarded by fleet.mu
	busy    bool // being started or ended; guarded by fleet.mu
}

// hollow reports whether the member shares a host process.
func (m *member) hollow() bool { return m.host != nil }

// address is the member's address with a port.
func (m *member) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// createMembers creates the members with their configurations. The first are hollow, and the first
// minHollowAgents of these are the seeds of membership.
func (f *fleet) createMembers(hollow int) error {
	var seeds []string
	var views []membership.Config
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
		view, err := f.membershipConfig(m)
		if err != nil {
			return err
		}
		if i < minHollowAgents {
			seeds = append(seeds, view.Advertise)
		}
		f.members = append(f.members, m)
		views = append(views, view)
	}
	f.assignServices()
	for i, m := range f.members {
		views[i].Seeds = seeds
		if err := f.configure(m, views[i]); err != nil {
			return err
		}
	}
	return nil
}

// membershipConfig is a member's membership without its seeds. With a packet relay, the member has the
// address that the relay gives it.
func (f *fleet) membershipConfig(m *member) (membership.Config, error) {
	view := membership.Config{
		Bind:      m.address(membershipPort),
		Advertise: m.address(membershipPort),
		Site:      "scale",
		Zone:      zoneNames[m.zone],
		Networks:  []string{"127.0.0.0/8"},
	}
	if f.packetRelay == nil {
		return view, nil
	}
	var err error
	view.Bind, view.Advertise, err = f.packetRelay.Add(m.name)
	if err != nil {
		return view, err
	}
	m.ip, _, err = net.SplitHostPort(view.Bind)
	return view, err
}

// deployment is the scenario whose settings the agents have.
func deployment() *experiment.Scenario {
	s := experiment.Default()
	s.Fleet.Zones = zoneNames
	return s
}

// configure makes a member's configuration, and for a real agent its file.
func (f *fleet) configure(m *member, view membership.Config) error {
	s := deployment()
	file := map[string]any{
		"name":       m.name,
		"listen":     m.address(clientPort),
		"management": m.address(adminPort),
		"discovery":  f.discovery.Addr(f.discoveryInstance(m), "http"),
		"seed":       strconv.FormatUint(f.plan.Seed*seedFactor+uint64(m.index), 16),
		"limits":     s.Limits(),
		"known":      endpoint.List{Full: true, Servers: []endpoint.Endpoint{}},
		"fleet":      view,
		"settings":   s.Settings(m.index, m.zone, f.size),
	}
	if m.service != "" {
		file["control"] = config.Control{Service: m.service, Addresses: f.discoveryAddresses()}
	}
	var err error
	m.config, err = json.Marshal(file)
	if err != nil || m.hollow() {
		return err
	}
	return os.WriteFile(filepath.Join(f.directory, m.name+".json"), m.config, agentConfigMode)
}

// discoveryInstance is the instance that a member's "discovery" names: those of its region in turn.
func (f *fleet) discoveryInstance(m *member) string {
	names := f.instancesByRegion()[regionOf(m.zone)]
	return names[m.index/len(zoneNames)%len(names)]
}

// instancesByRegion are the discovery instances of each region.
func (f *fleet) instancesByRegion() [][]string {
	instances := make([][]string, len(regionNames))
	for i, name := range f.discovery.Names() {
		region := i % len(regionNames)
		instances[region] = append(instances[region], name)
	}
	return instances
}

// discoveryAddresses are those of all discovery instances, host:port.
func (f *fleet) discoveryAddresses() []string {
	var addresses []string
	for _, name := range f.discovery.Names() {
		addresses = append(addresses, f.discovery.Addr(name, "http"))
	}
	return addresses
}

// startMember starts a member that does not run.
func (f *fleet) startMember(ctx context.Context, m *member) error {
	var err error
	if m.hollow() {
		start := HostCommand{Command: commandStart, Agent: m.name, Config: m.config}
		err = m.host.command(ctx, start, startedEvent(m.name))
	} else {
		err = f.realAgents.start(ctx, m.name, m.address(clientPort))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.running = err == nil
	m.busy = false
	return err
}

// terminateMember ends a member that runs gracefully, as SIGTERM does.
func (f *fleet) terminateMember(ctx context.Context, m *member) error {
	return f.endMember(ctx, m, true)
}

// killMember ends a member that runs at once, as SIGKILL does.
func (f *fleet) killMember(ctx context.Context, m *member) error { return f.endMember(ctx, m, false) }

// endMember ends a member that runs. What comes into force there from then on does not count.
func (f *fleet) endMember(ctx context.Context, m *member, graceful bool) error {
	if err := f.carryOver(ctx, m); err != nil {
		return fmt.Errorf("before its end: %w", err)
	}
	f.trackers.forEach(func(t *tracker) { t.stopping(m.name) })
	f.mu.Lock()
	m.running = false
	f.mu.Unlock()
	switch {
	case m.hollow() && graceful:
		return m.host.command(ctx, HostCommand{Command: commandStop, Agent: m.name}, endedEvent(m.name))
	case m.hollow():
		return m.host.command(ctx, HostCommand{Command: commandKill, Agent: m.name}, endedEvent(m.name))
	case graceful:
		return errors.Join(f.realAgents.Term(m.name), f.realAgents.finishLog(m.name))
	default:
		return errors.Join(f.realAgents.Kill(m.name), f.realAgents.finishLog(m.name))
	}
}

// restartMember ends a member gracefully and starts it again.
func (f *fleet) restartMember(ctx context.Context, m *member) error {
	if err := f.terminateMember(ctx, m); err != nil {
		return err
	}
	return f.startMember(ctx, m)
}

// takeIdleMember selects a random member that runs and is not busy, and marks it busy; nil: there is
// none.
func (f *fleet) takeIdleMember() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idle []*member
	for _, m := range f.members {
		if m.running && !m.busy {
			idle = append(idle, m)
		}
	}
	if len(idle) == 0 {
		return nil
	}
	m := idle[f.random.IntN(len(idle))]
	m.busy = true
	return m
}

// takeZone are the members of a zone that run and are not busy, marked busy.
func (f *fleet) takeZone(zone int) []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var taken []*member
	for _, m := range f.members {
		if m.zone == zone && m.running && !m.busy {
			m.busy = true
			taken = append(taken, m)
		}
	}
	return taken
}

// membersRunning are the members that run, or those that do not.
func (f *fleet) membersRunning(running bool) []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var selected []*member
	for _, m := range f.members {
		if m.running == running {
			selected = append(selected, m)
		}
	}
	return selected
}
