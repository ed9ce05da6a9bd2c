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
	// missingKey is what the reason of a rejected change names.
	missingKey = "contract.coldMs: missing"
	// writers and writesPerWriter are those of twoWriters.
	writers         = 2
	writesPerWriter = 10
	// burstParts is the number of parts of a burst; the leader is killed after the first.
	burstParts = 3
	// regions is the number of regions, each with as many agents.
	regions = 3
	// regionChanges are the changes that are made while a region is cut off.
	regionChanges = 3
	// cutGrace is how long after a cut an agent may still put in force what was sent to it before.
	cutGrace = time.Second
	// peakWindow is the time over which calls are counted.
	peakWindow = 100 * time.Millisecond
)

// halfReject: a change lacks a key that half of the agents have in force. They keep what they have and are reported
// with the reason; the next change reaches all.
func (h *Harness) halfReject() (processtest.Metrics, error) {
	write, err := h.Change(settingsWithoutSlowStart, h.Instances...)
	if err != nil {
		return nil, err
	}
	rejected := 0
	err = processtest.Await(h.cfg.Within, "all agents reported with the result of the change", func() bool {
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

// leaderKilled: the leader is killed in the middle of a burst of changes, and starts again after it.
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

// fault injects a fault into an instance; end ends it.
type fault func(instance string) (end func() error, err error)

// setPaused sets the instance that is paused; "": none.
func (h *Harness) setPaused(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pausedInstance = instance
}

// pause is the fault that stops an instance by SIGSTOP.
func (h *Harness) pause(instance string) (end func() error, err error) {
	h.setPaused(instance)
	resume := func() error {
		h.setPaused("")
		return h.discovery.Resume(instance)
	}
	return resume, h.discovery.Pause(instance)
}

// kill is the fault that ends an instance by SIGKILL.
func (h *Harness) kill(instance string) (end func() error, err error) {
	start := func() error { return h.discovery.Start(instance) }
	return start, h.discovery.Kill(instance)
}

// cutOff is the fault that separates an instance from the other instances and the agents.
func (h *Harness) cutOff(instance string) (end func() error, err error) {
	h.discovery.Partition([]string{instance}, append(h.discovery.Others(instance), h.Agents...))
	heal := func() error {
		h.discovery.Heal()
		return nil
	}
	return heal, nil
}

// instanceGone: an instance that agents use is gone, and settings change as soon as the others take a write.
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

// twoWriters: two writers write at once, at different instances, ten times.
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

// regionCut: an instance and a third of the agents are cut off from the rest while settings change: the others have the
// changes in time, these keep the last they had and have the newest in time after the heal.
func (h *Harness) regionCut() (processtest.Metrics, error) {
	region, err := h.drawFollower()
	if err != nil {
		return nil, err
	}
	rest := h.discovery.Others(region)
	regionSize := len(h.Agents) / regions
	regionAgents, restAgents := h.Agents[:regionSize], h.Agents[regionSize:]
	cutAt := time.Now()
	h.discovery.Partition(append([]string{region}, regionAgents...), append(slices.Clone(rest), restAgents...))
	for range regionChanges {
		time.Sleep(h.cfg.Outage / regionChanges) // the changes are spread over the outage
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

// checkCutOff checks that no running process of the agents observed a version, or a newer one, after a time.
func checkCutOff(history *History, agents []string, version uint64, after time.Time) error {
	for _, p := range history.Incarnations {
		if !slices.Contains(agents, p.Agent) || !p.IsRunning() {
			continue
		}
		crossed := slices.ContainsFunc(p.Observations, func(o Observation) bool {
			return o.At.After(after) && o.Version >= version
		})
		if crossed {
			return fmt.Errorf("%s, which was cut off, has a change that was made on the other side", p.Agent)
		}
	}
	return nil
}

// allDown: all instances are killed, and a tenth of the agents restarts meanwhile; once they run again, the agents call
// one by one. The change is made then.
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
		return metrics, fmt.Errorf("too many calls within %v of %d agents: %v", peakWindow, len(h.Agents), metrics)
	}
	return metrics, nil
}

// restartTenthDuringOutage restarts a tenth of the agents in the middle of an outage, and checks that all agents run at
// its end.
func (h *Harness) restartTenthDuringOutage() error {
	const tenths = 10
	const halves = 2
	time.Sleep(h.cfg.Outage / halves) // the agents' backoff has grown by then
	restarted := h.Agents[:max(1, len(h.Agents)/tenths)]
	if err := processtest.Each(restarted, h.agents.Restart); err != nil {
		return err
	}
	time.Sleep(h.cfg.Outage / halves) // the rest of the outage
	for _, agent := range h.Agents {
		if !h.agents.Running(agent) {
			return fmt.Errorf("%s does not run any more", agent)
		}
	}
	return nil
}

// peakCalls returns the number of calls of the instances in the peakWindow with the most of them. Each call counted is
// a connection of its own: after a failure no connection is kept.
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

// mostWithin returns the largest number of times that are within a window.
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
