package configtest

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// missingKey is the error that the reason of a rejected change must contain.
	missingKey = "contract.coldMs: missing"
	// writers and writesPerWriter are the numbers of concurrent writers and of their writes in twoWriters.
	writers         = 2
	writesPerWriter = 10
	// burstParts is the number of parts of a burst; the leader is killed after the first part.
	burstParts = 3
	// regions is the number of regions; the agents are divided equally among them.
	regions = 3
	// regionChanges is the number of changes made while a region is cut off.
	regionChanges = 3
	// cutGrace is the time after the start of a partition in which an agent may still put in force settings that were
	// sent to it before the partition.
	cutGrace = time.Second
	// peakWindow is the length of the time window in which peakCalls counts calls.
	peakWindow = 100 * time.Millisecond
)

// halfReject writes a change that lacks a key that half of the agents have in force. These agents must keep their
// settings in force and report the rejection with its reason. The next change must reach all agents.
func (h *Harness) halfReject() (processtest.Metrics, error) {
	write, err := h.Change(settingsWithoutSlowStart, h.Instances...)
	if err != nil {
		return nil, err
	}
	rejected := 0
	err = processtest.Await(h.cfg.Within, "reports of all agents with the result of the change", func() bool {
		reports := h.agentReports()
		rejected = 0
		for i, agent := range h.Agents {
			report := reports[agent]
			hasKey := hasSlowStartInFile(i)
			if hasKey && !report.rejected(write.Version) || !hasKey && report.InForce != write.Version {
				return false
			}
			if hasKey {
				rejected++
			}
		}
		return true
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %v", err, h.agentReports())
	}
	return processtest.Metrics{"agents that rejected": float64(rejected)}, h.change(h.Instances...)
}

// leaderKilled kills the leader during a burst of changes and starts it again after the burst.
func (h *Harness) leaderKilled() (_ processtest.Metrics, err error) {
	for i := range h.cfg.Burst {
		if i == h.cfg.Burst/burstParts {
			leader := h.leader()
			if err := h.discovery.Kill(leader); err != nil {
				return nil, err
			}
			defer func() { err = errors.Join(err, h.discovery.Start(leader)) }()
		}
		if err := h.change(h.Instances...); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// fault injects a fault into an instance. The function end that it returns ends the fault.
type fault func(instance string) (end func() error, err error)

// setPaused records which instance is paused; an empty name means none.
func (h *Harness) setPaused(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pausedInstance = instance
}

// pause is a fault that stops an instance with SIGSTOP.
func (h *Harness) pause(instance string) (end func() error, err error) {
	h.setPaused(instance)
	resume := func() error {
		h.setPaused("")
		return h.discovery.Resume(instance)
	}
	return resume, h.discovery.Pause(instance)
}

// kill is a fault that ends an instance with SIGKILL.
func (h *Harness) kill(instance string) (end func() error, err error) {
	start := func() error { return h.discovery.Start(instance) }
	return start, h.discovery.Kill(instance)
}

// cutOff is a fault that partitions an instance from the other instances and from the agents.
func (h *Harness) cutOff(instance string) (end func() error, err error) {
	h.discovery.Partition([]string{instance}, append(h.discovery.Others(instance), h.Agents...))
	heal := func() error {
		h.discovery.Heal()
		return nil
	}
	return heal, nil
}

// instanceGone injects a fault into an instance that agents use. Settings change as soon as the other instances accept
// a write, and the change must reach the agents while the fault lasts.
func (h *Harness) instanceGone(inject fault) (processtest.Metrics, error) {
	use, err := h.busiestInstance()
	if err != nil {
		return nil, err
	}
	instance := use.instance
	wasLeader := 0.0
	if h.leader() == instance {
		wasLeader = 1
	}
	end, err := inject(instance)
	if err != nil {
		return nil, err
	}
	err = h.change(h.discovery.Others(instance)...)
	if err == nil {
		err = h.awaitLastChange()
	}
	metrics := processtest.Metrics{"agents that used it": float64(use.agents), "was the leader": wasLeader}
	return metrics, errors.Join(err, end())
}

// twoWriters makes concurrent changes by two writers, which start at different instances.
func (h *Harness) twoWriters() (processtest.Metrics, error) {
	var group sync.WaitGroup
	errs := make([]error, writers)
	for writer := range errs {
		group.Add(1)
		go func() {
			defer group.Done()
			for range writesPerWriter {
				errs[writer] = errors.Join(errs[writer], h.change(h.Instances[writer:]...))
			}
		}()
	}
	group.Wait()
	return nil, errors.Join(errs...)
}

// regionCut partitions a region, one instance and a third of the agents, from the rest while settings change. The
// changes must reach the other agents in time. The agents in the region must keep the settings they have, and must have
// the newest ones in time after the partition heals.
func (h *Harness) regionCut() (processtest.Metrics, error) {
	instance, err := h.randomFollower()
	if err != nil {
		return nil, err
	}
	rest := h.discovery.Others(instance)
	regionSize := len(h.Agents) / regions
	regionAgents, restAgents := h.Agents[:regionSize], h.Agents[regionSize:]
	cutAt := time.Now()
	h.discovery.Partition(append([]string{instance}, regionAgents...), append(slices.Clone(rest), restAgents...))
	for range regionChanges {
		time.Sleep(h.cfg.Outage / regionChanges) // spreads the changes over the outage
		if err := h.change(rest...); err != nil {
			return nil, err
		}
	}
	history, err := h.observed()
	if err != nil {
		return nil, err
	}
	firstChange := history.Writes[len(history.Writes)-regionChanges].Version
	err = checkCutOff(history, regionAgents, firstChange, cutAt.Add(cutGrace))
	h.discovery.Heal()
	h.exemptUntilNow(cutAt, regionAgents)
	return nil, err
}

// checkCutOff checks that no running process of the given agents observed the given version or a newer one after the
// given time.
func checkCutOff(history *History, agents []string, version uint64, after time.Time) error {
	for _, p := range history.Incarnations {
		if !slices.Contains(agents, p.Agent) || !p.IsRunning() {
			continue
		}
		received := slices.ContainsFunc(p.Observations, func(o Observation) bool {
			return o.At.After(after) && o.Version >= version
		})
		if received {
			return fmt.Errorf("%s received a change made on the other side of the partition", p.Agent)
		}
	}
	return nil
}

// allDown kills all instances and restarts a tenth of the agents during the outage. Then it starts the instances again
// and makes a change. The agents must spread their calls, both during and after the outage: the number of calls within
// any peakWindow must be smaller than the number of agents.
func (h *Harness) allDown() (processtest.Metrics, error) {
	downAt := time.Now()
	if err := processtest.Each(h.Instances, h.discovery.Kill); err != nil {
		return nil, err
	}
	if err := h.restartTenthDuringOutage(); err != nil {
		return nil, err
	}
	backAt := time.Now()
	if err := processtest.Each(h.Instances, h.discovery.Start); err != nil {
		return nil, err
	}
	err := h.change(h.Instances...)
	h.exemptUntilNow(downAt, h.Agents)
	if err != nil {
		return nil, err
	}
	if err := h.awaitLastChange(); err != nil {
		return nil, err
	}
	whileDown, err := h.peakCalls(downAt, backAt)
	if err != nil {
		return nil, err
	}
	afterReturn, err := h.peakCalls(backAt, backAt.Add(h.cfg.Within))
	if err != nil {
		return nil, err
	}
	metrics := processtest.Metrics{
		"most calls at once while down":       float64(whileDown),
		"most calls at once after the return": float64(afterReturn),
	}
	if max(whileDown, afterReturn) >= len(h.Agents) {
		return metrics, fmt.Errorf("too many calls within %v for %d agents: %v", peakWindow, len(h.Agents), metrics)
	}
	return metrics, nil
}

// restartTenthDuringOutage waits for the length of an outage. In the middle of it, it restarts a tenth of the agents;
// at its end, it checks that all agents run.
func (h *Harness) restartTenthDuringOutage() error {
	const tenths = 10
	const halves = 2
	time.Sleep(h.cfg.Outage / halves) // lets the agents' backoff grow
	restarted := h.Agents[:max(1, len(h.Agents)/tenths)]
	if err := processtest.Each(restarted, h.agents.Restart); err != nil {
		return err
	}
	time.Sleep(h.cfg.Outage / halves) // the rest of the outage
	for _, agent := range h.Agents {
		if !h.agents.Running(agent) {
			return fmt.Errorf("%s is no longer running", agent)
		}
	}
	return nil
}

// peakCalls returns the largest number of calls to the instances within any peakWindow between two times. It counts
// connections: agents keep no connection after a failed call, so each call opens its own.
func (h *Harness) peakCalls(from, to time.Time) (int, error) {
	var calls []time.Time
	for _, agent := range h.Agents {
		for _, instance := range h.Instances {
			link, err := h.discovery.Link(agent, instance, processtest.HTTPPort)
			if err != nil {
				return 0, err
			}
			for _, at := range link.Accepted() {
				if !at.Before(from) && !at.After(to) {
					calls = append(calls, at)
				}
			}
		}
	}
	return mostWithin(calls, peakWindow), nil
}

// mostWithin returns the largest number of the given times that lie within one window.
func mostWithin(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
