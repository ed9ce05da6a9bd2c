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

// metricValues maps metrics to their values.
type metricValues map[capacity.MetricKey]float64

// usage is the resource usage of a process or an agent: counters since its start, from which rates are computed, and
// gauges.
type usage struct {
	counters, gauges metricValues
}

// reading is the usage at a point in time.
type reading struct {
	at time.Time
	usage
}

// since returns the rates of the counters between an earlier reading and this one, and the gauges of this one.
func (r reading) since(before reading) metricValues {
	values := maps.Clone(r.gauges)
	seconds := r.at.Sub(before.at).Seconds()
	for name, counter := range r.counters {
		values[name] = (counter - before.counters[name]) / seconds
	}
	return values
}

// counterTotals has the summed counters of the ended processes of an agent or discovery instance. These sums are added
// to the counters of its current process, so that a restart does not reset the totals.
type counterTotals struct {
	mu    sync.Mutex
	total metricValues
}

// add adds the counters of a process that is about to end.
func (c *counterTotals) add(counters metricValues) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.total = addValues(c.total, counters)
}

// sum returns the counters of the current process added to those of the ended ones.
func (c *counterTotals) sum(counters metricValues) metricValues {
	c.mu.Lock()
	defer c.mu.Unlock()
	return addValues(counters, c.total)
}

// addValues returns the sums of the values of each metric.
func addValues(a, b metricValues) metricValues {
	sum := metricValues{}
	maps.Copy(sum, a)
	for name, value := range b {
		sum[name] += value
	}
	return sum
}

// sample has the readings of all running processes and agents by name.
type sample struct {
	hosts, hollow, real, discovery map[string]reading
	agentsPerHost                  map[string]int
}

// sample reads all running processes and agents concurrently. A real agent or discovery instance that can't be read is
// left out.
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
	f.requestReports(ctx, group, &mu, func(host string, r *HostReport) { s.addHostReport(host, r, f.endedCounters) })
	// add starts the reading of one process, and adds the result to the readings of its role.
	add := func(readings map[string]reading, name string, read func() (reading, error)) {
		group.Go(func() error {
			r, err := read()
			if err != nil {
				return nil // the process is left out of the sample
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

// addHostReport adds the readings of a host process and of its agents.
func (s *sample) addHostReport(host string, r *HostReport, endedCounters map[string]*counterTotals) {
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
		s.hollow[name] = reading{at, usage{endedCounters[name].sum(hollowCounters(a)), gauges}}
	}
}

// hollowCounters returns the counters of a hollow agent. Each call to discovery counts as a sent message, and its
// response as a received one.
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

// readRealAgent waits until a real agent has logged its counters again, and returns its reading including its ended
// processes.
func (f *fleet) readRealAgent(ctx context.Context, m *member) (reading, error) {
	if err := f.realAgents.awaitCounters(ctx, m.name, time.Now()); err != nil {
		return reading{}, err
	}
	u, err := f.realAgentUsage(ctx, m)
	u.counters = f.endedCounters[m.name].sum(u.counters)
	return reading{time.Now(), u}, err
}

// realAgentUsage returns the usage of a real agent's current process, which it reads from /proc, the agent's admin
// endpoint and its log.
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

// saveCounters must be called before an agent is ended. It adds the counters of the agent's current process to those of
// its ended processes.
func (f *fleet) saveCounters(ctx context.Context, m *member) error {
	if m.hollow() {
		r, err := m.host.recentReport(ctx)
		if err != nil {
			return err
		}
		f.endedCounters[m.name].add(hollowCounters(r.Agents[m.name]))
		return nil
	}
	u, err := f.realAgentUsage(ctx, m)
	if err != nil {
		return fmt.Errorf("usage of %s: %w", m.name, err)
	}
	f.endedCounters[m.name].add(u.counters)
	return nil
}

// readInstance reads the resource usage of a discovery instance. Its counters include those of the instance's earlier
// processes, which have ended.
func (f *fleet) readInstance(ctx context.Context, name string) (reading, error) {
	u, err := f.instanceUsage(ctx, name)
	u.counters = f.endedCounters[name].sum(u.counters)
	return reading{time.Now(), u}, err
}

// instanceUsage returns the usage of a discovery instance's current process. The traffic of its admin endpoint is not
// counted, because the runner's own requests are not part of the load.
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
	// Each call is one received and one sent message. For Raft only the messages that the instance writes are counted:
	// its calls, and its responses to the calls of others. It receives as many, because each call has one response.
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
