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
	clientPort, operatorPort, viewPort = 8000, 8001, 19998
	// listedPort is the servers'. Nobody listens there: an agent goes to a server only with a
	// request, and there are none.
	listedPort = 9000
	// writers is how many writes are under way at once while the list is first filled.
	writers = 16
	// settleTime is how long a fleet may take to come to one view and the last list.
	settleTime = 60 * time.Second
	// lookEvery is how often that is looked at; each look has the hosts collect their garbage.
	lookEvery = time.Second
	// restTime is what passes between that and the measured day.
	restTime = 2 * time.Second
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

	up   bool // it runs
	busy bool // somebody starts or ends it
}

func (m *member) at(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// region is the index of the region that the member's zone is in.
func (m *member) region() int { return m.zone / (len(zoneNames) / len(regionNames)) }

// running is a fleet of one size with its list service.
type running struct {
	plan    *Plan
	size    int // hollow and real
	listed  int
	dir     string
	draw    *rand.Rand // used under mu
	hold    net.Listener
	network byte
	board   *faultproxy.Proxy // nil: the fleet view's packets pass no relay
	lists   *lists
	hosts   []*hostProcess
	reals   *reals
	heard   trackers
	meters  map[string]*meter // of the processes that may end and start again

	// services is how many services' settings change, 0 where none do.
	services int

	mu       sync.Mutex
	members  []*member
	servers  []endpoint.Endpoint
	settings uint64 // how many times settings were written
}

// start starts a whole fleet; the caller closes it, also after an error.
func (f *running) start(ctx context.Context, cfg *Config, hollow int) error {
	var err error
	if f.hold, f.network, err = faultproxy.ReserveNetwork(); err != nil {
		return err
	}
	if f.lists, err = startLists(cfg.List, f.dir, f.plan.Lists, func(i int) string { return f.address(2, i) }); err != nil {
		return err
	}
	for _, n := range f.lists.Names() {
		f.meters[n] = &meter{}
	}
	if err := f.fill(ctx); err != nil {
		return err
	}
	for i := 0; i*f.plan.AgentsAHost < hollow; i++ {
		h, err := startHost(cfg.Host, fmt.Sprintf("host-%02d", i+1), f.dir, f.heard)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	if f.plan.Settings > 0 {
		f.services = cfg.Target.servicesAt(f.size)
	}
	if err := f.name(hollow); err != nil {
		return err
	}
	if err := f.fillSettings(ctx); err != nil {
		return err
	}
	var names []string
	for _, m := range f.members {
		f.meters[m.name] = &meter{}
		if m.host == nil {
			names = append(names, m.name)
		}
	}
	if f.reals, err = newReals(cfg.Agent, f.dir, names, f.heard); err != nil {
		return err
	}
	return f.each(ctx, f.members, f.up)
}

// fill puts all servers on the list.
func (f *running) fill(ctx context.Context) error {
	for i := range f.listed {
		zone := i % len(zoneNames)
		f.servers = append(f.servers, endpoint.Endpoint{ID: fmt.Sprintf("s%04d", i), Addr: net.JoinHostPort(f.address(1, i), strconv.Itoa(listedPort)),
			Zone: zoneNames[zone], Region: zoneNames[zone][:2], Kind: experiment.Site().Models[i%2].Kind, Cell: i / 6, State: "up", Weight: 1})
	}
	var group errgroup.Group
	group.SetLimit(writers)
	for _, s := range f.servers {
		group.Go(func() error {
			version, err := f.lists.put(ctx, s)
			if err == nil {
				f.heard[kindList].changed(version, time.Now())
			}
			return err
		})
	}
	return group.Wait()
}

// address is one of the fleet's loopback addresses: of an agent (0), a server (1) or an instance of
// the list service (2).
func (f *running) address(kind byte, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.network, 64*int(kind)+i/250, i%250+1)
}

// name makes the members and their configurations: the first are hollow, and the first of those
// everyone's seeds. Each hangs on an instance of the list service in its own region, or, where settings
// change, goes round them all.
func (f *running) name(hollow int) error {
	var seeds []string
	var views []membership.Config
	for i := range f.size {
		zone := i % len(zoneNames)
		m := &member{name: fmt.Sprintf("%s-a%04d", zoneNames[zone], i), index: i, zone: zone, ip: f.address(0, i)}
		if i < hollow {
			m.host = f.hosts[i%len(f.hosts)]
		}
		view := membership.Config{Bind: m.at(viewPort), Advertise: m.at(viewPort), Site: "scale", Zone: zoneNames[zone], Networks: []string{"127.0.0.0/8"}}
		if f.board != nil {
			var err error
			if view.Bind, view.Advertise, err = f.board.Add(m.name); err != nil {
				return err
			}
			m.ip, _, _ = net.SplitHostPort(view.Bind)
		}
		if i < leastHollow {
			seeds = append(seeds, view.Advertise)
		}
		f.members, views = append(f.members, m), append(views, view)
	}
	f.share()
	for i, m := range f.members {
		views[i].Seeds = seeds
		if err := f.configure(m, views[i]); err != nil {
			return err
		}
		if m.host == nil {
			if err := os.WriteFile(filepath.Join(f.dir, m.name+".json"), m.config, 0o600); err != nil {
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
func (f *running) configure(m *member, view membership.Config) (err error) {
	s := deployment()
	c := map[string]any{"name": m.name, "listen": m.at(clientPort), "management": m.at(operatorPort),
		"discovery": f.lists.Addr(f.instance(m), "http"), "seed": strconv.FormatUint(f.plan.Seed*100_000+uint64(m.index), 16), "limits": s.Limits(),
		"known": endpoint.List{Full: true, Servers: []endpoint.Endpoint{}}, "fleet": view, "settings": s.Settings(m.index, m.zone, f.size)}
	if m.service != "" {
		c["control"] = agent.Control{Service: m.service, Addresses: f.addresses()}
	}
	m.config, err = json.Marshal(c)
	return err
}

// instance is the instance of the list service that a member's "discovery" names: those of its region in turn.
func (f *running) instance(m *member) string {
	var own []string
	for i, n := range f.lists.Names() {
		if i%len(regionNames) == m.region() {
			own = append(own, n)
		}
	}
	return own[m.index/len(zoneNames)%len(own)]
}

// up starts a member that does not run.
func (f *running) up(ctx context.Context, m *member) error {
	var err error
	if m.host != nil {
		err = m.host.do(ctx, Order{Do: "start", Agent: m.name, Config: m.config}, "started "+m.name)
	} else {
		err = f.reals.start(ctx, m.name, m.at(clientPort))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.up, m.busy = err == nil, false
	return err
}

// down ends a member that runs, in order or not. Its end counts from now on.
func (f *running) down(ctx context.Context, m *member, orderly bool) error {
	if err := f.carry(ctx, m); err != nil {
		return fmt.Errorf("before its end: %w", err)
	}
	f.heard.each(func(t *tracker) { t.end(m.name) })
	f.mu.Lock()
	m.up = false
	f.mu.Unlock()
	if m.host != nil {
		do := "kill"
		if orderly {
			do = "stop"
		}
		return m.host.do(ctx, Order{Do: do, Agent: m.name}, "ended "+m.name)
	}
	var err error
	if orderly {
		err = f.reals.Term(m.name)
	} else {
		err = f.reals.Kill(m.name)
	}
	return errors.Join(err, f.reals.ended(m.name))
}

// restart ends a member in order and starts it again.
func (f *running) restart(ctx context.Context, m *member) error {
	if err := f.down(ctx, m, true); err != nil {
		return err
	}
	return f.up(ctx, m)
}

// each does something with members, up to 64 at a time.
func (f *running) each(ctx context.Context, members []*member, do func(context.Context, *member) error) error {
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
func (f *running) take() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var free []*member
	for _, m := range f.members {
		if m.up && !m.busy {
			free = append(free, m)
		}
	}
	if len(free) == 0 {
		return nil
	}
	m := free[f.draw.IntN(len(free))]
	m.busy = true
	return m
}

// which are the members that run (or do not).
func (f *running) which(up bool) (some []*member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.up == up {
			some = append(some, m)
		}
	}
	return some
}

// change puts a drawn server with another weight or state, and notes when that was acknowledged.
func (f *running) change(ctx context.Context) error {
	f.mu.Lock()
	s := &f.servers[f.draw.IntN(len(f.servers))]
	switch {
	case s.State == "draining":
		s.State = "up"
	case f.draw.IntN(4) == 0:
		s.State = "draining"
	default:
		s.Weight = 0.5 + float64(f.draw.IntN(1_000_000))/1_000_000
	}
	now := *s
	f.mu.Unlock()
	version, err := f.lists.put(ctx, now)
	if err != nil {
		return fmt.Errorf("change of %s: %w", now.ID, err)
	}
	f.heard[kindList].changed(version, time.Now())
	return nil
}

// settled waits until all members that run have the last list, their last settings and one view, which has not changed
// for its settle time where it has to be calm; apart says who had not where that took too long.
func (f *running) settled(ctx context.Context, calm bool) (apart string, err error) {
	for end := time.Now().Add(settleTime); ; {
		if apart, err = f.apart(ctx, calm); err != nil || apart == "" {
			return apart, err
		}
		if time.Now().After(end) {
			return apart, nil
		}
		select {
		case <-time.After(lookEvery):
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// sees is what a member sees of its fleet and its list.
type sees struct {
	digest  string
	calm    bool
	version uint64
	// settings is the version of those in force.
	settings uint64
}

// apart says who of those that run differs from the others or lacks the last list or settings; "":
// nobody.
func (f *running) apart(ctx context.Context, calm bool) (string, error) {
	all, err := f.look(ctx)
	if err != nil {
		return "", err
	}
	up := f.which(true)
	digests := map[string]int{}
	behind, untold, stirred := 0, 0, 0
	for _, m := range up {
		s, ok := all[m.name]
		if !ok {
			return m.name + " does not tell its view", nil
		}
		digests[s.digest]++
		if s.version < f.heard[kindList].last(m.name) {
			behind++
		}
		if s.settings < f.heard[kindSettings].last(m.name) {
			untold++
		}
		if !s.calm {
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
func (f *running) reports(ctx context.Context, group *errgroup.Group, mu *sync.Mutex, take func(host string, r *Report)) {
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
func (f *running) look(ctx context.Context) (map[string]sees, error) {
	var mu sync.Mutex
	all := map[string]sees{}
	group, ctx := errgroup.WithContext(ctx)
	f.reports(ctx, group, &mu, func(_ string, r *Report) {
		for name, a := range r.Agents {
			all[name] = sees{a.Digest, a.Settled, a.ListVersion, a.SettingsVersion}
		}
	})
	for _, m := range f.which(true) {
		if m.host != nil {
			continue
		}
		group.Go(func() error {
			s, err := f.reals.status(ctx, m.at(operatorPort))
			if err != nil {
				return nil // it is not among all then
			}
			if err := f.reals.read(m.name); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			l := f.reals.knows(m.name)
			all[m.name] = sees{s.Digest, s.Settled, l.version, l.settings}
			return nil
		})
	}
	return all, group.Wait()
}

// close ends all that was started.
func (f *running) close() {
	var group sync.WaitGroup
	for _, h := range f.hosts {
		group.Add(1)
		go func() {
			defer group.Done()
			h.close()
		}()
	}
	group.Wait()
	if f.reals != nil && f.reals.Cluster != nil {
		processtest.Each(f.reals.Names(), f.reals.Kill)
		f.reals.Close()
	}
	if f.lists != nil {
		f.lists.Close()
	}
	if f.board != nil {
		f.board.Close()
	}
	if f.hold != nil {
		f.hold.Close()
	}
}

// zoneOf are the members of a zone that run, marked as busy.
func (f *running) zoneOf(zone int) (some []*member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if m.zone == zone && m.up && !m.busy {
			m.busy = true
			some = append(some, m)
		}
	}
	return slices.Clip(some)
}
