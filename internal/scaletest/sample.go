package scaletest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"fernbeam.example/fernbeam/internal/capacity"
	"fernbeam.example/fernbeam/internal/processtest"
)

// figures are by the names of package capacity.
type metricValues map[string]float64

// reading is what a process or an agent had taken at a time: counters since its first start, from
// which rates are made, and what it has now.
type reading struct {
	at               time.Time
	counters, gauges metricValues
}

// meter carries the counters of a process that ended on to the next one of its name.
type counterCarry struct {
	mu      sync.Mutex
	carried metricValues
}

// add carries what a process had counted when it was ended.
func (m *counterCarry) add(counted metricValues) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := maps.Clone(m.carried)
	if sum == nil {
		sum = metricValues{}
	}
	for k, v := range counted {
		sum[k] += v
	}
	m.carried = sum
}

// sum is what the process and those before it counted.
func (m *counterCarry) sum(counted metricValues) metricValues {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := maps.Clone(counted)
	for k, v := range m.carried {
		sum[k] += v
	}
	return sum
}

// sample is a reading of all that runs.
type sample struct {
	hosts, hollow, real, discovery map[string]reading
	agents                         map[string]int // hollow agents in each host
}

// sample reads all that runs, at once.
func (f *fleet) sample(ctx context.Context) (*sample, error) {
	s := &sample{hosts: map[string]reading{}, hollow: map[string]reading{}, real: map[string]reading{}, discovery: map[string]reading{}, agents: map[string]int{}}
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	f.requestReports(ctx, group, &mu, func(host string, r *HostReport) { s.addHostReport(host, r, f.meters) })
	for _, m := range f.membersRunning(true) {
		if m.host != nil {
			continue
		}
		group.Go(func() error {
			r, err := f.readRealAgent(ctx, m)
			if err != nil {
				return nil // it has no part in the figures
			}
			mu.Lock()
			defer mu.Unlock()
			s.real[m.name] = r
			return nil
		})
	}
	for _, n := range f.discovery.Names() {
		if !f.discovery.Running(n) {
			continue
		}
		group.Go(func() error {
			r, err := f.readInstance(n)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			s.discovery[n] = r
			return nil
		})
	}
	return s, group.Wait()
}

// takeReport takes what a host and its agents had taken, those that ended of the agents with it.
func (s *sample) addHostReport(host string, r *HostReport, meters map[string]*counterCarry) {
	at := time.UnixMicro(r.AtUs)
	s.hosts[host] = reading{at,
		metricValues{capacity.CPU: r.CPUSeconds, capacity.AllocKBps: float64(r.AllocBytes) / 1024},
		metricValues{capacity.ResidentMB: r.ResidentMB, capacity.HeapMB: r.HeapMB, capacity.Goroutines: float64(r.Goroutines), capacity.Descriptors: float64(r.Descriptors)}}
	s.agents[host] = len(r.Agents)
	for name, a := range r.Agents {
		s.hollow[name] = reading{at, meters[name].sum(hollowCounters(a)), metricValues{capacity.Members: float64(a.Members), capacity.Servers: float64(a.Servers)}}
	}
}

// hollowCounts is what a hollow agent has counted. Each call to discovery is a message out, and its
// answer one in.
func hollowCounters(a AgentReport) metricValues {
	return metricValues{capacity.BytesIn: float64(a.ViewIn + a.ListIn), capacity.BytesOut: float64(a.ViewOut + a.ListOut),
		capacity.MessagesIn: float64(a.ViewMsgIn + a.ListCalls), capacity.MessagesOut: float64(a.ViewMsgOut + a.ListCalls),
		capacity.ViewBytes: float64(a.ViewIn + a.ViewOut), capacity.ListBytes: float64(a.ListIn + a.ListOut)}
}

// readReal reads what a real agent has taken, its ended processes with it, once it has written its
// counts anew.
func (f *fleet) readRealAgent(ctx context.Context, m *member) (reading, error) {
	if err := f.realAgents.awaitCounters(ctx, m.name, time.Now()); err != nil {
		return reading{}, err
	}
	counted, held, err := f.realAgentCounters(ctx, m)
	return reading{time.Now(), f.meters[m.name].sum(counted), held}, err
}

// realNow reads what a real agent's present process has taken: from /proc, its door and its log.
func (f *fleet) realAgentCounters(ctx context.Context, m *member) (counted, held metricValues, err error) {
	u, err := processtest.ProcessUsage(f.realAgents.Pid(m.name))
	if err != nil {
		return nil, nil, err
	}
	st, err := f.realAgents.status(ctx, m.address(adminPort))
	if err != nil {
		return nil, nil, err
	}
	if err := f.realAgents.readLog(m.name); err != nil {
		return nil, nil, err
	}
	l, t := f.realAgents.state(m.name), st.Traffic
	in, out := float64(t["bytes_in"]+t["stream_bytes_in"]), float64(t["bytes_out"]+t["stream_bytes_out"])
	counted = metricValues{capacity.CPU: u.CPU.Seconds(), capacity.BytesIn: in + l.listIn, capacity.BytesOut: out + l.listOut,
		capacity.MessagesIn: float64(t["packets_in"]+t["streams"]) + l.listCalls, capacity.MessagesOut: float64(t["packets_out"]+t["streams_out"]) + l.listCalls,
		capacity.ViewBytes: in + out, capacity.ListBytes: l.listIn + l.listOut}
	held = metricValues{capacity.ResidentMB: float64(u.RSS) / bytesPerMB, capacity.Descriptors: float64(u.Descriptors),
		capacity.Members: float64(st.Present), capacity.Servers: float64(l.servers)}
	return counted, held, nil
}

// carry carries on what an agent has counted, which is about to be ended.
func (f *fleet) carryOver(ctx context.Context, m *member) error {
	if m.host != nil {
		r, err := m.host.recentReport(ctx)
		if err != nil {
			return err
		}
		f.meters[m.name].add(hollowCounters(r.Agents[m.name]))
		return nil
	}
	counted, _, err := f.realAgentCounters(ctx, m)
	if err != nil {
		return fmt.Errorf("%s, before its end: %w", m.name, err)
	}
	f.meters[m.name].add(counted)
	return nil
}

// readList reads what an instance of the list service has taken, its ended processes with it.
func (f *fleet) readInstance(name string) (reading, error) {
	counted, held, err := f.instanceCounters(name)
	return reading{time.Now(), f.meters[name].sum(counted), held}, err
}

// listNow reads what an instance's present process has taken. Its admin door is left out: what
// this runner asks there is no part of the service's day.
func (f *fleet) instanceCounters(name string) (counted, held metricValues, err error) {
	u, err := processtest.ProcessUsage(f.discovery.Pid(name))
	if err != nil {
		return nil, nil, err
	}
	st, err := f.discovery.status(name)
	if err != nil {
		return nil, nil, err
	}
	reads, raft := st.Usage.Reads, st.Usage.Raft
	// A call is a message in and one out. Of Raft's the writes are counted, which are its calls and
	// its answers to others' calls: as many come in, as each call has one answer.
	messages := float64(reads.Messages + raft.Messages)
	return metricValues{capacity.CPU: u.CPU.Seconds(), capacity.AllocKBps: float64(st.Usage.AllocBytes) / 1024,
			capacity.BytesIn: float64(reads.In + raft.In), capacity.BytesOut: float64(reads.Out + raft.Out),
			capacity.MessagesIn: messages, capacity.MessagesOut: messages, capacity.ListBytes: float64(reads.In + reads.Out)},
		metricValues{capacity.ResidentMB: float64(u.RSS) / bytesPerMB, capacity.HeapMB: float64(st.Usage.HeapBytes) / bytesPerMB, capacity.Descriptors: float64(u.Descriptors),
			capacity.Goroutines: float64(st.Usage.Goroutines)}, nil
}

// over is what a reading's holder took from another reading on: rates, and what it has at the end.
func (r reading) since(before reading) metricValues {
	out := maps.Clone(r.gauges)
	seconds := r.at.Sub(before.at).Seconds()
	for k, v := range r.counters {
		out[k] = (v - before.counters[k]) / seconds
	}
	return out
}

// roles are the figures of all roles between two samples.
func (f *fleet) roleMetrics(before, after *sample) map[string]capacity.RoleMetrics {
	members := map[string][]metricValues{}
	shares := map[string]metricValues{} // of each host's process, for one of its agents
	for name, r := range after.hosts {
		share := r.since(before.hosts[name])
		for k := range share {
			share[k] /= float64(max(1, after.agents[name]))
		}
		shares[name] = share
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		from, role, r := before.real[m.name], capacity.RoleReal, after.real[m.name]
		if m.host != nil {
			from, role, r = before.hollow[m.name], capacity.RoleHollow, after.hollow[m.name]
		}
		if !m.running || r.at.IsZero() || from.at.IsZero() {
			continue
		}
		one := r.since(from)
		if m.host != nil {
			maps.Copy(one, shares[m.host.name])
		}
		members[role] = append(members[role], one)
	}
	leader := f.discovery.leader()
	for name, r := range after.discovery {
		role := capacity.RoleFollower
		if name == leader {
			role = capacity.RoleLeader
		}
		if from, ok := before.discovery[name]; ok {
			members[role] = append(members[role], r.since(from))
		}
	}
	out := map[string]capacity.RoleMetrics{}
	for role, all := range members {
		out[role] = summarize(all)
	}
	return out
}

// summed is the mean and the most of each figure over the members of a role.
func summarize(all []metricValues) capacity.RoleMetrics {
	r := capacity.RoleMetrics{Count: len(all), Mean: map[string]float64{}, Max: map[string]float64{}}
	for i, one := range all {
		for k, v := range one {
			r.Mean[k] += v / float64(len(all))
			if most, ok := r.Max[k]; i == 0 || !ok || v > most {
				r.Max[k] = v
			}
		}
	}
	return r
}

// watch tells whether this machine kept up: its idle processor time, and how late this process's
// own timers were.
type machineMonitor struct {
	idleTicks, totalTicks float64 // at the start
	timerDelays           *hdrhistogram.Histogram
	stop                  chan struct{}
	stopped               chan struct{}
}

// The bounds of a run that counts: the machine's idle share, and the lateness of timers at p99.
const (
	minIdleFraction = 0.10
	maxTimerDelay   = 20 * time.Millisecond
	timerInterval   = 10 * time.Millisecond
)

func startMachineMonitor() (*machineMonitor, error) {
	w := &machineMonitor{timerDelays: hdrhistogram.New(1, 60_000_000, 3), stop: make(chan struct{}), stopped: make(chan struct{})}
	var err error
	if w.idleTicks, w.totalTicks, err = machineTicks(); err != nil {
		return nil, err
	}
	go func() {
		defer close(w.stopped)
		for {
			due := time.Now().Add(timerInterval)
			select {
			case <-time.After(timerInterval):
				w.timerDelays.RecordValue(min(60_000_000, max(1, time.Since(due).Microseconds())))
			case <-w.stop:
				return
			}
		}
	}()
	return w, nil
}

// end says why what was watched does not count, if it does not.
func (w *machineMonitor) finish() (faults []string, err error) {
	close(w.stop)
	<-w.stopped
	idle, all, err := machineTicks()
	if err != nil {
		return nil, err
	}
	if share := (idle - w.idleTicks) / (all - w.totalTicks); share < minIdleFraction {
		faults = append(faults, fmt.Sprintf("the machine was idle for %.1f %% of its time, under %.0f %%", 100*share, 100*minIdleFraction))
	}
	if late := time.Duration(w.timerDelays.ValueAtQuantile(99)) * time.Microsecond; late > maxTimerDelay {
		faults = append(faults, fmt.Sprintf("this program's timers were late by %v at p99, over %v", late, maxTimerDelay))
	}
	return faults, nil
}

// machineTime is this machine's idle and whole processor time so far, in ticks (proc(5), stat).
func machineTicks() (idle, all float64, err error) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0, err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line)[1:] {
		var v float64
		if _, err := fmt.Sscan(field, &v); err != nil {
			return 0, 0, fmt.Errorf("/proc/stat: %q: %w", line, err)
		}
		if i < 8 { // what follows is in user and nice already
			all += v
		}
		if i == 3 || i == 4 { // idle, iowait
			idle += v
		}
	}
	if all == 0 {
		return 0, 0, errors.New("/proc/stat: no times")
	}
	return idle, all, nil
}
