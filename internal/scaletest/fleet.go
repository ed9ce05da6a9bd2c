package scaletest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fernbeam.example/fernbeam/internal/agent"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/experiment"
	"fernbeam.example/fernbeam/internal/faultproxy"
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// The two regions and six zones that a fleet is split in, by name; a zone's first letters are its
// region's.
var (
	regionNames = []string{"r1", "r2"}
	zoneNames   = []string{"r1-z1", "r1-z2", "r1-z3", "r2-z1", "r2-z2", "r2-z3"}
)

const (
	// The ports of an agent, on an address of its own: clients', operators', the fleet view's. They
	// are below those that the system gives to calls.
	clientPort, adminPort, membershipPort = 8000, 8001, 19998
	// listedPort is the servers'. Nobody listens there: an agent goes to a server only with a
	// request, and there are none.
	serverPort = 9000
	// writers is how many writes are under way at once while the list is first filled.
	concurrentWrites = 16
	// settleTime is how long a fleet may take to come to one view and the last list.
	convergenceTimeout = 60 * time.Second
	// lookEvery is how often that is looked at; each look has the hosts collect their garbage.
	convergencePollInterval = time.Second
	// restTime is what passes between that and the measured day.
	settleDelay = 2 * time.Second
)

// member is one agent of a fleet.
type member struct {
	name   string
	index  int
	zone   int
	host   *hostProcess // nil: a real one
	ip     string
	config json.RawMessage
	// service is whose settings it takes; "": its file's.
	service string

	running bool // it runs
	busy    bool // somebody starts or ends it
}

func (m *member) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// region is the index of the region that the member's zone is in.
func (m *member) region() int { return m.zone / (len(zoneNames) / len(regionNames)) }

// running is a fleet of one size with its list service.
type fleet struct {
	plan               *Plan
	size               int // hollow and real
	listedServers      int
	directory          string
	random             *rand.Rand // used under mu
	networkReservation net.Listener
	network            byte
	packetRelay        *faultproxy.Board // nil: the fleet view's packets pass no relay
	discovery          *discoveryCluster
	hosts              []*hostProcess
	realAgents         *realAgents
	trackers           trackers
	meters             map[string]*counterCarry // of the processes that may end and start again

	// services is how many services' settings change, 0 where none do.
	settingsServices int

	mu             sync.Mutex
	members        []*member
	servers        []endpoint.Target
	settingsWrites uint64 // how many times settings were written
}

// start starts a whole fleet; the caller closes it, also after an error.
func (f *fleet) start(ctx context.Context, cfg *Config, hollow int) error {
	var err error
	if f.networkReservation, f.network, err = faultproxy.Network(); err != nil {
		return err
	}
	if f.discovery, err = startDiscovery(cfg.Discovery, f.directory, f.plan.DiscoveryInstances, func(i int) string { return f.address(2, i) }); err != nil {
		return err
	}
	for _, n := range f.discovery.Names() {
		f.meters[n] = &counterCarry{}
	}
	if err := f.fillList(ctx); err != nil {
		return err
	}
	for i := 0; i*f.plan.AgentsPerHost < hollow; i++ {
		h, err := startHost(cfg.HostCommand, fmt.Sprintf("host-%02d", i+1), f.directory, f.trackers)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	if f.plan.SettingsFraction > 0 {
		f.settingsServices = cfg.Target.servicesAt(f.size)
	}
	if err := f.nameMembers(hollow); err != nil {
		return err
	}
	if err := f.fillSettings(ctx); err != nil {
		return err
	}
	var names []string
	for _, m := range f.members {
		f.meters[m.name] = &counterCarry{}
		if m.host == nil {
			names = append(names, m.name)
		}
	}
	if f.realAgents, err = newRealAgents(cfg.Agent, f.directory, names, f.trackers); err != nil {
		return err
	}
	return f.forEach(ctx, f.members, f.startMember)
}

// fill puts all servers on the list.
func (f *fleet) fillList(ctx context.Context) error {
	for i := range f.listedServers {
		zone := i % len(zoneNames)
		f.servers = append(f.servers, endpoint.Target{ID: fmt.Sprintf("s%04d", i), Addr: net.JoinHostPort(f.address(1, i), strconv.Itoa(serverPort)),
			Zone: zoneNames[zone], Region: zoneNames[zone][:2], Kind: experiment.Site().Models[i%2].Kind, Cell: i / 6, State: "up", Weight: 1})
	}
	var group errgroup.Group
	group.SetLimit(concurrentWrites)
	for _, s := range f.servers {
		group.Go(func() error {
			version, err := f.discovery.putServer(ctx, s)
			if err == nil {
				f.trackers[kindList].acknowledged(version, time.Now())
			}
			return err
		})
	}
	return group.Wait()
}

// address is one of the fleet's loopback addresses: of an agent (0), a server (1) or an instance of
// the list service (2).
func (f *fleet) address(kind byte, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, 64*int(kind)+i/250, i%250+1)
}

// name makes the members and their configurations: the first are hollow, and the first of those
// everyone's seeds. Each hangs on an instance of the list service in its own region, or, where settings
// change, goes round them all.
func (f *fleet) nameMembers(hollow int) error {
	var seeds []string
	var views []membership.Config
	for i := range f.size {
		zone := i % len(zoneNames)
		m := &member{name: fmt.Sprintf("%s-a%04d", zoneNames[zone], i), index: i, zone: zone, ip: f.address(0, i)}
		if i < hollow {
			m.host = f.hosts[i%len(f.hosts)]
		}
		view := membership.Config{Bind: m.address(membershipPort), Advertise: m.address(membershipPort), Site: "scale", Zone: zoneNames[zone], Networks: []string{"127.0.0.0/8"}}
		if f.packetRelay != nil {
			var err error
			if view.Bind, view.Advertise, err = f.packetRelay.Add(m.name); err != nil {
				return err
			}
			m.ip, _, _ = net.SplitHostPort(view.Bind)
		}
		if i < minHollowAgents {
			seeds = append(seeds, view.Advertise)
		}
		f.members, views = append(f.members, m), append(views, view)
	}
	f.assignServices()
	for i, m := range f.members {
		views[i].Seeds = seeds
		if err := f.configure(m, views[i]); err != nil {
			return err
		}
		if m.host == nil {
			if err := os.WriteFile(filepath.Join(f.directory, m.name+".json"), m.config, 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}

// deployment is the one whose settings the agents have.
func deployment() *experiment.Scenario {
	s := experiment.Site()
	s.Fleet.Zones = zoneNames
	return s
}

// configure makes a member's configuration.
func (f *fleet) configure(m *member, view membership.Config) (err error) {
	s := deployment()
	c := map[string]any{"name": m.name, "listen": m.address(clientPort), "management": m.address(adminPort),
		"discovery": f.discovery.Addr(f.discoveryInstance(m), "http"), "seed": strconv.FormatUint(f.plan.Seed*100_000+uint64(m.index), 16), "limits": s.Limits(),
		"known": endpoint.List{Full: true, Servers: []endpoint.Target{}}, "fleet": view, "settings": s.Settings(m.index, m.zone, f.size)}
	if m.service != "" {
		c["control"] = agent.Control{Service: m.service, Addresses: f.discoveryAddresses()}
	}
	m.config, err = json.Marshal(c)
	return err
}

// instance is the instance of the list service that a member's "discovery" names: those of its region in turn.
func (f *fleet) discoveryInstance(m *member) string {
	var own []string
	for i, n := range f.discovery.Names() {
		if i%len(regionNames) == m.region() {
			own = append(own, n)
		}
	}
	return own[m.index/len(zoneNames)%len(own)]
}

// up starts a member that does not run.
func (f *fleet) startMember(ctx context.Context, m *member) error {
	var err error
	if m.host != nil {
		err = m.host.command(ctx, HostCommand{Command: "start", Agent: m.name, Config: m.config}, "started "+m.name)
	} else {
		err = f.realAgents.start(ctx, m.name, m.address(clientPort))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.running, m.busy = err == nil, false
	return err
}

// down ends a member that runs, in order or not. Its end counts from now on.
func (f *fleet) stopMember(ctx context.Context, m *member, orderly bool) error {
	if err := f.carryOver(ctx, m); err != nil {
		return fmt.Errorf("before its end: %w", err)
	}
	f.trackers.forEach(func(t *tracker) { t.stopping(m.name) })
	f.mu.Lock()
	m.running = false
	f.mu.Unlock()
	if m.host != nil {
		do := "kill"
		if orderly {
			do = "stop"
		}
		return m.host.command(ctx, HostCommand{Command: do, Agent: m.name}, "ended "+m.name)
	}
	var err error
	if orderly {
		err = f.realAgents.Term(m.name)
	} else {
		err = f.realAgents.Kill(m.name)
	}
	return errors.Join(err, f.realAgents.finishLog(m.name))
}

// restart ends a member in order and starts it again.
func (f *fleet) restart(ctx context.Context, m *member) error {
	if err := f.stopMember(ctx, m, true); err != nil {
		return err
	}
	return f.startMember(ctx, m)
}

// each does something with members, up to 64 at a time.
func (f *fleet) forEach(ctx context.Context, members []*member, do func(context.Context, *member) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(64)
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

// take draws one member that runs and that nobody starts or ends, and marks it; nil: there is none.
func (f *fleet) takeIdleMember() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var free []*member
	for _, m := range f.members {
		if m.running && !m.busy {
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return nil
	}
	m := free[f.random.IntN(len(free))]
	m.busy = true
	return m
}

// which are the members that run (or do not).
func (f *fleet) membersRunning(up bool) (some []*member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.running == up {
			some = append(some, m)
		}
	}
	return some
}

// change puts a drawn server with another weight or state, and notes when that was acknowledged.
func (f *fleet) changeServer(ctx context.Context) error {
	f.mu.Lock()
	s := &f.servers[f.random.IntN(len(f.servers))]
	switch {
	case s.State == "draining":
		s.State = "up"
	case f.random.IntN(4) == 0:
		s.State = "draining"
	default:
		s.Weight = 0.5 + float64(f.random.IntN(1_000_000))/1_000_000
	}
	now := *s
	f.mu.Unlock()
	version, err := f.discovery.putServer(ctx, now)
	if err != nil {
		return fmt.Errorf("change of %s: %w", now.ID, err)
	}
	f.trackers[kindList].acknowledged(version, time.Now())
	return nil
}

// settled waits until all members that run have the last list, their last settings and one view, which has not changed
// for its settle time where it has to be calm; apart says who had not where that took too long.
func (f *fleet) awaitConvergence(ctx context.Context, calm bool) (apart string, err error) {
	for end := time.Now().Add(convergenceTimeout); ; {
		if apart, err = f.divergence(ctx, calm); err != nil || apart == "" {
			return apart, err
		}
		if time.Now().After(end) {
			return apart, nil
		}
		select {
		case <-time.After(convergencePollInterval):
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// sees is what a member sees of its fleet and its list.
type observation struct {
	digest      string
	settled     bool
	listVersion uint64
	// settings is the version of those in force.
	settingsVersion uint64
}

// apart says who of those that run differs from the others or lacks the last list or settings; "":
// nobody.
func (f *fleet) divergence(ctx context.Context, calm bool) (string, error) {
	all, err := f.observe(ctx)
	if err != nil {
		return "", err
	}
	up := f.membersRunning(true)
	digests := map[string]int{}
	behind, untold, stirred := 0, 0, 0
	for _, m := range up {
		s, ok := all[m.name]
		if !ok {
			return m.name + " does not tell its view", nil
		}
		digests[s.digest]++
		if s.listVersion < f.trackers[kindList].latestVersion(m.name) {
			behind++
		}
		if s.settingsVersion < f.trackers[kindSettings].latestVersion(m.name) {
			untold++
		}
		if !s.settled {
			stirred++
		}
	}
	switch {
	case len(digests) > 1:
		most := 0
		for _, n := range digests {
			most = max(most, n)
		}
		return fmt.Sprintf("%d of %d agents do not see the fleet that most see", len(up)-most, len(up)), nil
	case behind > 0:
		return fmt.Sprintf("%d of %d agents do not have the last list", behind, len(up)), nil
	case untold > 0:
		return fmt.Sprintf("%d of %d agents do not have their last settings", untold, len(up)), nil
	case calm && stirred > 0:
		return fmt.Sprintf("the views of %d of %d agents still change", stirred, len(up)), nil
	}
	return "", nil
}

// reports asks all hosts, in the group, and hands on each one's report while mu is held.
func (f *fleet) requestReports(ctx context.Context, group *errgroup.Group, mu *sync.Mutex, take func(host string, r *HostReport)) {
	for _, h := range f.hosts {
		group.Go(func() error {
			r, err := h.report(ctx)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			take(h.name, r)
			return nil
		})
	}
}

// look asks all members that run.
func (f *fleet) observe(ctx context.Context) (map[string]observation, error) {
	var mu sync.Mutex
	all := map[string]observation{}
	group, ctx := errgroup.WithContext(ctx)
	f.requestReports(ctx, group, &mu, func(_ string, r *HostReport) {
		for name, a := range r.Agents {
			all[name] = observation{a.Digest, a.Settled, a.ListVersion, a.SettingsVersion}
		}
	})
	for _, m := range f.membersRunning(true) {
		if m.host != nil {
			continue
		}
		group.Go(func() error {
			s, err := f.realAgents.status(ctx, m.address(adminPort))
			if err != nil {
				return nil // it is not among all then
			}
			if err := f.realAgents.readLog(m.name); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			l := f.realAgents.state(m.name)
			all[m.name] = observation{s.Digest, s.Settled, l.listVersion, l.settingsVersion}
			return nil
		})
	}
	return all, group.Wait()
}

// close ends all that was started.
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
	if f.realAgents != nil && f.realAgents.Cluster != nil {
		processtest.Each(f.realAgents.Names(), f.realAgents.Kill)
		f.realAgents.Close()
	}
	if f.discovery != nil {
		f.discovery.Close()
	}
	if f.packetRelay != nil {
		f.packetRelay.Close()
	}
	if f.networkReservation != nil {
		f.networkReservation.Close()
	}
}

// zoneOf are the members of a zone that run, marked as busy.
func (f *fleet) takeZone(zone int) (some []*member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.zone == zone && m.running && !m.busy {
			m.busy = true
			some = append(some, m)
		}
	}
	return slices.Clip(some)
}
