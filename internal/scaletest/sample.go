package scaletest

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// metricValues are values by the names of metrics in package capacity.
type metricValues map[capacity.MetricKey]float64

// usage is what a process or an agent has taken: counters since its start, from which rates are made,
// and gauges.
type usage struct {
	counters, gauges metricValues
}

// reading is a usage at a time.
type reading struct {
	at time.Time
	usage
}

// since is the rates from an earlier reading to this one, and this one's gauges.
func (r reading) since(before reading) metricValues {
	values := maps.Clone(r.gauges)
	seconds := r.at.Sub(before.at).Seconds()
	for name, counter := range r.counters {
		values[name] = (counter - before.counters[name]) / seconds
	}
	return values
}

// counterCarry has the counters of the processes of a name that have ended.
type counterCarry struct {
	mu      sync.Mutex
	carried metricValues
}

// add adds the counters of a process that is about to end.
func (c *counterCarry) add(counters metricValues) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.carried = addValues(c.carried, counters)
}

// sum is the counters of the present process and of those before it.
func (c *counterCarry) sum(counters metricValues) metricValues {
	c.mu.Lock()
	defer c.mu.Unlock()
	return addValues(counters, c.carried)
}

// addValues is the sum of two sets of values.
func addValues(a, b metricValues) metricValues {
	sum := metricValues{}
	maps.Copy(sum, a)
	for name, value := range b {
		sum[name] += value
	}
	return sum
}

// sample has the readings of everything that runs.
type sample struct {
	hosts, hollow, real, discovery map[string]reading
	agentsPerHost                  map[string]int
}

// sample reads everything that runs, concurrently. A real agent or discovery instance that can't be read
// is left out.
func (f *fleet) sample(ctx context.Context) (*sample, error) {
	s := &sample{
		hosts:         map[string]reading{},
		hollow:        map[string]reading{},
		real:          map[string]reading{},
		discovery:     map[string]reading{},
		agentsPerHost: map[string]int{},
	}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	f.requestReports(ctx, group, &mu, func(host string, r *HostReport) { s.addHostReport(host, r, f.carries) })
	// add has one process read and adds its reading to those of its role.
	add := func(readings map[string]reading, name string, read func() (reading, error)) {
		group.Go(func() error {
			r, err := read()
			if err != nil {
				return nil // the process is missing from the sample then
			}
			mu.Lock()
			defer mu.Unlock()
			readings[name] = r
			return nil
		})
	}
	for _, m := range f.runningMembers() {
		if !m.hollow() {
			add(s.real, m.name, func() (reading, error) { return f.readRealAgent(ctx, m) })
		}
	}
	for _, name := range f.discovery.Names() {
		if f.discovery.Running(name) {
			add(s.discovery, name, func() (reading, error) { return f.readInstance(ctx, name) })
		}
	}
	return s, group.Wait()
}

// addHostReport adds the readings of a host and of its agents.
func (s *sample) addHostReport(host string, r *HostReport, carries map[string]*counterCarry) {
	at := time.UnixMicro(r.AtUs)
	s.hosts[host] = reading{at, usage{
		counters: metricValues{
			capacity.CPU:       r.CPUSeconds,
			capacity.AllocKBps: float64(r.AllocBytes) / bytesPerKB,
		},
		gauges: metricValues{
			capacity.ResidentMB:  r.ResidentMB,
			capacity.HeapMB:      r.HeapMB,
			capacity.Goroutines:  float64(r.Goroutines),
			capacity.Descriptors: float64(r.Descriptors),
		},
	}}
	s.agentsPerHost[host] = len(r.Agents)
	for name, a := range r.Agents {
		gauges := metricValues{capacity.Members: float64(a.Members), capacity.Servers: float64(a.Servers)}
		s.hollow[name] = reading{at, usage{carries[name].sum(hollowCounters(a)), gauges}}
	}
}

// hollowCounters are the counters of a hollow agent. Each call to discovery is a message out, and its
// response one in.
func hollowCounters(a AgentReport) metricValues {
	return metricValues{
		capacity.BytesIn:         float64(a.MembershipIn + a.ListIn),
		capacity.BytesOut:        float64(a.MembershipOut + a.ListOut),
		capacity.MessagesIn:      float64(a.MembershipMessagesIn + a.ListCalls),
		capacity.MessagesOut:     float64(a.MembershipMessagesOut + a.ListCalls),
		capacity.MembershipBytes: float64(a.MembershipIn + a.MembershipOut),
		capacity.DiscoveryBytes:  float64(a.ListIn + a.ListOut),
	}
}

const bytesPerKB = 1024

// readRealAgent reads a real agent, with its processes that have ended, once it has logged its counters
// again.
func (f *fleet) readRealAgent(ctx context.Context, m *member) (reading, error) {
	if err := f.realAgents.awaitCounters(ctx, m.name, time.Now()); err != nil {
		return reading{}, err
	}
	u, err := f.realAgentUsage(ctx, m)
	u.counters = f.carries[m.name].sum(u.counters)
	return reading{time.Now(), u}, err
}

// realAgentUsage is the usage of a real agent's present process, from /proc, its admin endpoint and its
// log.
func (f *fleet) realAgentUsage(ctx context.Context, m *member) (usage, error) {
	process, err := processtest.ProcessUsage(f.realAgents.Pid(m.name))
	if err != nil {
		return usage{}, err
	}
	status, err := f.realAgents.status(ctx, m.address(adminPort))
	if err != nil {
		return usage{}, err
	}
	if err := f.realAgents.readLog(m.name); err != nil {
		return usage{}, err
	}
	log := f.realAgents.state(m.name)
	traffic := status.Traffic
	bytesIn := float64(membershipBytesIn(traffic))
	bytesOut := float64(membershipBytesOut(traffic))
	messagesIn := float64(traffic[membership.PacketsIn] + traffic[membership.Streams])
	messagesOut := float64(traffic[membership.PacketsOut] + traffic[membership.StreamsOut])
	return usage{
		counters: metricValues{
			capacity.CPU:             process.CPU.Seconds(),
			capacity.BytesIn:         bytesIn + log.listIn,
			capacity.BytesOut:        bytesOut + log.listOut,
			capacity.MessagesIn:      messagesIn + log.listCalls,
			capacity.MessagesOut:     messagesOut + log.listCalls,
			capacity.MembershipBytes: bytesIn + bytesOut,
			capacity.DiscoveryBytes:  log.listIn + log.listOut,
		},
		gauges: metricValues{
			capacity.ResidentMB:  float64(process.RSS) / bytesPerMB,
			capacity.Descriptors: float64(process.Descriptors),
			capacity.Members:     float64(status.Present),
			capacity.Servers:     float64(log.servers),
		},
	}, nil
}

// carryOver carries over the counters of an agent that is about to be ended.
func (f *fleet) carryOver(ctx context.Context, m *member) error {
	if m.hollow() {
		r, err := m.host.recentReport(ctx)
		if err != nil {
			return err
		}
		f.carries[m.name].add(hollowCounters(r.Agents[m.name]))
		return nil
	}
	u, err := f.realAgentUsage(ctx, m)
	if err != nil {
		return fmt.Errorf("%s, before its end: %w", m.name, err)
	}
	f.carries[m.name].add(u.counters)
	return nil
}

// readInstance reads a discovery instance, with its processes that have ended.
func (f *fleet) readInstance(ctx context.Context, name string) (reading, error) {
	u, err := f.instanceUsage(ctx, name)
	u.counters = f.carries[name].sum(u.counters)
	return reading{time.Now(), u}, err
}

// instanceUsage is the usage of a discovery instance's present process. Its admin endpoint is left out:
// the runner's own requests are not part of the load.
func (f *fleet) instanceUsage(ctx context.Context, name string) (usage, error) {
	process, err := processtest.ProcessUsage(f.discovery.Pid(name))
	if err != nil {
		return usage{}, err
	}
	status, err := f.discovery.status(ctx, name)
	if err != nil {
		return usage{}, err
	}
	reads := status.Usage.Reads
	raft := status.Usage.Raft
	// A call is a message in and one out. Of Raft the writes are counted: its calls, and its responses to
	// others' calls. As many come in, as each call has one response.
	messages := float64(reads.Messages + raft.Messages)
	return usage{
		counters: metricValues{
			capacity.CPU:            process.CPU.Seconds(),
			capacity.AllocKBps:      float64(status.Usage.AllocBytes) / bytesPerKB,
			capacity.BytesIn:        float64(reads.In + raft.In),
			capacity.BytesOut:       float64(reads.Out + raft.Out),
			capacity.MessagesIn:     messages,
			capacity.MessagesOut:    messages,
			capacity.DiscoveryBytes: float64(reads.In + reads.Out),
		},
		gauges: metricValues{
			capacity.ResidentMB:  float64(process.RSS) / bytesPerMB,
			capacity.HeapMB:      float64(status.Usage.HeapBytes) / bytesPerMB,
			capacity.Descriptors: float64(process.Descriptors),
			capacity.Goroutines:  float64(status.Usage.Goroutines),
		},
	}, nil
}
