package scaletest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/experiment"
	"fernbeam.example/fernbeam/internal/faultproxy"
)

// The regions and zones of a fleet. The name of a zone begins with that of its region.
var (
	regionNames = []string{"r1", "r2"}
	zoneNames   = []string{"r1-z1", "r1-z2", "r1-z3", "r2-z1", "r2-z2", "r2-z3"}
)

// zonesPerRegion is the number of consecutive zones of a region in zoneNames.
var zonesPerRegion = len(zoneNames) / len(regionNames)

// regionOf returns the index of a zone's region.
func regionOf(zone int) int { return zone / zonesPerRegion }

const (
	// concurrentWrites is the number of concurrent writes that fill the endpoint list at the start.
	concurrentWrites = 16
	// concurrentMembers is the number of members that are started or stopped concurrently.
	concurrentMembers = 64
	// serversPerCell is the number of consecutive servers in a cell.
	serversPerCell = 6
	// serverPort is the port of the listed servers. Nothing listens there, because agents connect to servers only to
	// forward requests, and a run has no requests.
	serverPort = 9000
)

// addressKind selects a range of addresses in the fleet's loopback network.
type addressKind int

const (
	agentAddress addressKind = iota
	serverAddress
	discoveryAddress
)

const (
	subnetsPerKind     = 64
	addressesPerSubnet = 250
)

// fleet is a fleet of agents together with its discovery service.
type fleet struct {
	plan             *Plan
	size             int // number of hollow and real agents
	listedServers    int
	directory        string
	network          faultproxy.Network // of the loopback addresses
	packetRelay      *faultproxy.Proxy  // relays membership packets; nil if they are sent directly
	discovery        *discoveryCluster
	hosts            []*hostProcess
	realAgents       *realAgents
	trackers         trackers
	endedCounters    map[string]*counterTotals // of the processes that may be restarted
	settingsServices int                       // number of services whose settings change

	mu             sync.Mutex
	random         *rand.Rand
	members        []*member
	servers        []endpoint.Endpoint
	settingsWrites uint64
}

// start starts a fleet. The caller must close it, also after an error.
func (f *fleet) start(ctx context.Context, cfg *Config, hollow int) error {
	var err error
	f.network, err = faultproxy.ReserveNetwork()
	if err != nil {
		return err
	}
	if err := f.startDiscovery(ctx, cfg.Discovery); err != nil {
		return err
	}
	if err := f.fillList(ctx); err != nil {
		return err
	}
	if err := f.startHosts(ctx, cfg.HostCommand, hollow); err != nil {
		return err
	}
	if f.plan.SettingsFraction > 0 {
		f.settingsServices = servicesAt(cfg.Target, f.size)
	}
	if err := f.createMembers(hollow); err != nil {
		return err
	}
	if err := f.fillSettings(ctx); err != nil {
		return err
	}
	if err := f.prepareRealAgents(cfg.Agent); err != nil {
		return err
	}
	return f.forEach(ctx, f.members, f.startMember)
}

// startDiscovery starts the discovery service.
func (f *fleet) startDiscovery(ctx context.Context, program string) error {
	ip := func(i int) string { return f.address(discoveryAddress, i) }
	var err error
	f.discovery, err = startDiscovery(ctx, program, f.directory, f.plan.DiscoveryInstances, ip)
	if err != nil {
		return err
	}
	for _, name := range f.discovery.Names() {
		f.endedCounters[name] = &counterTotals{}
	}
	return nil
}

// startHosts starts the host processes for a number of hollow agents.
func (f *fleet) startHosts(ctx context.Context, command []string, hollow int) error {
	for range hostCount(hollow, f.plan.AgentsPerHost) {
		name := fmt.Sprintf("host-%02d", len(f.hosts)+1)
		h, err := startHost(ctx, command, name, f.directory, f.trackers)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

// hostCount returns the number of host processes that a number of hollow agents need.
func hostCount(hollow, agentsPerHost int) int { return (hollow + agentsPerHost - 1) / agentsPerHost }

// prepareRealAgents prepares the processes of the real agents, which startMember starts.
func (f *fleet) prepareRealAgents(program string) error {
	var names []string
	for _, m := range f.members {
		f.endedCounters[m.name] = &counterTotals{}
		if !m.hollow() {
			names = append(names, m.name)
		}
	}
	var err error
	f.realAgents, err = newRealAgents(program, f.directory, names, f.trackers)
	return err
}

// fillList adds all servers to the endpoint list.
func (f *fleet) fillList(ctx context.Context) error {
	models := experiment.Default().Models
	for i := range f.listedServers {
		zone := i % len(zoneNames)
		f.servers = append(f.servers, endpoint.Endpoint{
			ID:     fmt.Sprintf("s%04d", i),
			Addr:   net.JoinHostPort(f.address(serverAddress, i), strconv.Itoa(serverPort)),
			Zone:   zoneNames[zone],
			Region: regionNames[regionOf(zone)],
			Kind:   models[i%len(models)].Kind,
			Cell:   i / serversPerCell,
			State:  endpoint.StateUp,
			Weight: 1,
		})
	}
	var group errgroup.Group
	group.SetLimit(concurrentWrites)
	for _, server := range f.servers {
		group.Go(func() error {
			version, err := f.discovery.putServer(ctx, server)
			if err == nil {
				f.trackers[kindList].acknowledged(version, time.Now())
			}
			return err
		})
	}
	return group.Wait()
}

// address returns the i-th loopback address of a kind.
func (f *fleet) address(kind addressKind, i int) string {
	subnet := subnetsPerKind*int(kind) + i/addressesPerSubnet
	return fmt.Sprintf("127.%d.%d.%d", f.network.Number, subnet, i%addressesPerSubnet+1)
}

// forEach calls do for each of the members, for up to concurrentMembers of them concurrently.
func (f *fleet) forEach(ctx context.Context, members []*member, do func(context.Context, *member) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(concurrentMembers)
	for _, m := range members {
		group.Go(func() error {
			if err := do(ctx, m); err != nil {
				return fmt.Errorf("%s: %w", m.name, err)
			}
			return nil
		})
	}
	return group.Wait()
}

// close ends all processes of the fleet and releases its addresses.
func (f *fleet) close() {
	var group sync.WaitGroup
	for _, h := range f.hosts {
		group.Add(1)
		go func() {
			defer group.Done()
			h.close()
		}()
	}
	group.Wait()
	if f.realAgents != nil {
		f.realAgents.close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	if f.packetRelay != nil {
		f.packetRelay.Close()
	}
	if f.network.Reservation != nil {
		_ = f.network.Reservation.Close() // nothing was accepted on it
	}
}
