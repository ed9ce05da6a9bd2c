package configtest

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
)

// Case is one hard case. Its run returns once the last change is acknowledged and all faults are over;
// what it returns of figures is for the log.
type Case struct {
	Name string
	run  func(h *Harness) (figures string, err error)
}

// Cases are played on one lab in this order: the first needs agents that have their files' settings.
var Cases = []Case{
	{"half refuse", (*Harness).halfRefuse},
	{"leader killed in a burst", (*Harness).leaderKilled},
	{"instance paused", func(h *Harness) (string, error) { return h.instanceGone((*Harness).pause) }},
	{"instance cut off", func(h *Harness) (string, error) { return h.instanceGone((*Harness).cutOff) }},
	{"instance killed", func(h *Harness) (string, error) { return h.instanceGone((*Harness).kill) }},
	{"two writers", (*Harness).twoWriters},
	{"region cut", (*Harness).regionCut},
	{"all down", (*Harness).allDown},
}

// Play plays a case, waits until all that was changed is in force where it must be, and judges all
// that was seen so far. The error tells what broke, or the rules that the history breaks.
func (h *Harness) RunCase(c Case) error {
	begun := time.Now()
	figures, err := c.run(h)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Name, err)
	}
	err = h.awaitLastChange()
	history, err2 := h.History()
	if err = errors.Join(err, err2); err != nil {
		return fmt.Errorf("%s: %w", c.Name, err)
	}
	took := history.Delays(begun)
	h.cfg.Log("%s: %.1f s; in force after p50 %v, p99 %v, worst %v, of %d%s", c.Name, time.Since(begun).Seconds(),
		Quantile(took, 0.5), Quantile(took, 0.99), Quantile(took, 1), len(took), figures)
	if found := Check(history, h.cfg.Within); len(found) > 0 {
		return fmt.Errorf("%s: %d rules broken, such as %v", c.Name, len(found), found[:min(len(found), 5)])
	}
	return nil
}

// settle returns once each agent that runs knows the last change, or this was due.
func (h *Harness) awaitLastChange() error {
	for end := time.Now().Add(h.cfg.Within + time.Second); ; time.Sleep(50 * time.Millisecond) {
		history, err := h.observed()
		if err != nil {
			return err
		}
		last := slices.MaxFunc(history.Writes, func(a, b Write) int { return cmp.Compare(a.Version, b.Version) })
		lacks := slices.ContainsFunc(history.Incarnations, func(incarnation *ProcessIncarnation) bool {
			return incarnation.To.IsZero() && !incarnation.knew(last.Version, time.Now())
		})
		if !lacks || time.Now().After(end) {
			return nil
		}
	}
}

// halfRefuse: a change that lacks a key which half of the agents have in force. They keep what they
// have and are named with why; the next change reaches all.
func (h *Harness) halfRefuse() (string, error) {
	w, err := h.Change(func(mark int) string { return settings(mark, "") }, h.Instances...)
	if err != nil {
		return "", err
	}
	refused := 0
	err = processtest.Await(h.cfg.Within, "all agents named with what became of the change", func() bool {
		refused = 0
		told := h.agentReports()
		for i, agent := range h.Agents {
			switch r := told[agent]; {
			case i%2 == 0 && r.InForce != w.Version:
				return false
			case i%2 == 0:
			case r.Refused != w.Version || r.InForce != 0 || !strings.Contains(r.Why, "contract.coldMs: missing"):
				return false
			default:
				refused++
			}
		}
		return true
	})
	if err != nil {
		return "", fmt.Errorf("%w: %v", err, h.agentReports())
	}
	_, err = h.Change(validSettings, h.Instances...)
	return fmt.Sprintf("; %d refused", refused), err
}

// heardAt is what was last heard of an agent, and where.
type agentReport struct {
	server.HeardAgent
	instance string
}

// heard is what the service has heard of each agent, from the instance that heard it last.
func (h *Harness) agentReports() map[string]agentReport {
	out := map[string]agentReport{}
	for _, instance := range h.Instances {
		var heard server.Heard
		if err := h.callAdmin(instance, "GET", "/v1/settings/"+service+"/heard", "", &heard); err != nil {
			continue
		}
		for _, a := range heard.Agents {
			if old, ok := out[a.Agent]; !ok || a.SilentMs < old.SilentMs {
				out[a.Agent] = agentReport{a, instance}
			}
		}
	}
	return out
}

// leaderKilled: the leader is killed in the middle of a burst of changes, and comes back after it.
func (h *Harness) leaderKilled() (_ string, err error) {
	for i := range h.cfg.Burst {
		if i == h.cfg.Burst/3 {
			lead := h.leader()
			if err := h.discovery.Kill(lead); err != nil {
				return "", err
			}
			defer func() { err = errors.Join(err, h.discovery.Start(lead)) }()
		}
		if _, err := h.Change(validSettings, h.Instances...); err != nil {
			return "", err
		}
	}
	return "", nil
}

func (h *Harness) setPaused(instance string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pausedInstance = instance
}

func (h *Harness) pause(instance string) (end func() error, err error) {
	h.setPaused(instance)
	return func() error { h.setPaused(""); return h.discovery.Resume(instance) }, h.discovery.Pause(instance)
}

func (h *Harness) kill(instance string) (end func() error, err error) {
	return func() error { return h.discovery.Start(instance) }, h.discovery.Kill(instance)
}

func (h *Harness) cutOff(instance string) (end func() error, err error) {
	others := slices.DeleteFunc(slices.Clone(h.Instances), func(n string) bool { return n == instance })
	h.discovery.Partition([]string{instance}, append(others, h.Agents...))
	return func() error { h.discovery.Heal(); return nil }, nil
}

// instanceGone: an instance on which agents hang is gone, and settings change as soon as the
// others take a write.
func (h *Harness) instanceGone(how func(*Harness, string) (func() error, error)) (string, error) {
	instance, agents, err := h.busiestInstance()
	if err != nil {
		return "", err
	}
	others := slices.DeleteFunc(slices.Clone(h.Instances), func(n string) bool { return n == instance })
	lead := h.leader() == instance
	end, err := how(h, instance)
	if err != nil {
		return "", err
	}
	_, err = h.Change(validSettings, others...)
	if err == nil {
		err = h.awaitLastChange()
	}
	return fmt.Sprintf("; %d agents hung on it, it led: %v", agents, lead), errors.Join(err, end())
}

// twoWriters: two writers at one moment, at different instances, ten times.
func (h *Harness) twoWriters() (string, error) {
	var group sync.WaitGroup
	errs := make([]error, 2)
	for w := range errs {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 10 {
				_, err := h.Change(validSettings, h.Instances[w:]...)
				errs[w] = errors.Join(errs[w], err)
			}
		}()
	}
	group.Wait()
	return "", errors.Join(errs...)
}

// regionCut: an instance and a third of the agents are cut off from the rest while settings change: the
// others have them in time, these keep the last they had and have the newest in time after the heal.
func (h *Harness) regionCut() (string, error) {
	away, err := h.drawFollower()
	if err != nil {
		return "", err
	}
	here := slices.DeleteFunc(slices.Clone(h.Instances), func(n string) bool { return n == away })
	third := h.Agents[:len(h.Agents)/3]
	cut := time.Now()
	h.discovery.Partition(append([]string{away}, third...), append(slices.Clone(here), h.Agents[len(third):]...))
	for i := 0; i < 3 && err == nil; i++ {
		time.Sleep(h.cfg.Outage / 3)
		_, err = h.Change(validSettings, here...)
	}
	history, err2 := h.observed()
	if err = errors.Join(err, err2); err != nil {
		return "", err
	}
	for _, incarnation := range history.Incarnations {
		if slices.Contains(third, incarnation.Agent) && incarnation.To.IsZero() && slices.ContainsFunc(incarnation.Observations, func(s Observation) bool {
			return s.At.After(cut.Add(time.Second)) && s.Version >= history.Writes[len(history.Writes)-3].Version
		}) {
			err = fmt.Errorf("%s, which was cut off, has a change that was made on the other side", incarnation.Agent)
		}
	}
	h.discovery.Heal()
	h.exempt(cut, third...)
	return "", err
}

// allDown: all instances are killed, and a tenth of the agents is restarted meanwhile; when they are
// back, the agents come one by one. The change is made once they are.
func (h *Harness) allDown() (string, error) {
	fall := time.Now()
	if err := processtest.Each(h.Instances, h.discovery.Kill); err != nil {
		return "", err
	}
	time.Sleep(h.cfg.Outage / 2)
	tenth := h.Agents[:max(1, len(h.Agents)/10)]
	if err := processtest.Each(tenth, h.restart); err != nil {
		return "", err
	}
	time.Sleep(h.cfg.Outage / 2)
	for _, agent := range h.Agents {
		if !h.agents.Running(agent) {
			return "", fmt.Errorf("%s does not run any more", agent)
		}
	}
	back := time.Now()
	if err := processtest.Each(h.Instances, h.discovery.Start); err != nil {
		return "", err
	}
	_, err := h.Change(validSettings, h.Instances...)
	h.exempt(fall)
	if err == nil {
		err = h.awaitLastChange()
	}
	if err != nil {
		return "", err
	}
	down, err := h.peakCalls(fall, back)
	after, err2 := h.peakCalls(back, back.Add(h.cfg.Within))
	if err = errors.Join(err, err2); err == nil && max(down, after) >= len(h.Agents) {
		err = fmt.Errorf("%d of %d agents called in 100 ms while all were down, %d after their return", down, len(h.Agents), after)
	}
	return fmt.Sprintf("; most calls in 100 ms of %d agents: %d while down, %d after the return", len(h.Agents), down, after), err
}

// peak is how many calls came to the instances in the 100 ms that had the most, where each call comes on
// a connection of its own: after a failure nothing is kept.
func (h *Harness) peakCalls(from, to time.Time) (most int, err error) {
	var calls []time.Time
	for _, agent := range h.Agents {
		for _, instance := range h.Instances {
			link, err := h.discovery.Link(agent, instance, "http")
			if err != nil {
				return 0, err
			}
			calls = append(calls, slices.DeleteFunc(link.Accepted(), func(at time.Time) bool { return at.Before(from) || at.After(to) })...)
		}
	}
	slices.SortFunc(calls, time.Time.Compare)
	for first, i := 0, 0; i < len(calls); i++ {
		for calls[i].Sub(calls[first]) > 100*time.Millisecond {
			first++
		}
		most = max(most, i-first+1)
	}
	return most, nil
}
