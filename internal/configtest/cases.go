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
	run  func(l *Lab) (figures string, err error)
}

// Cases are played on one lab in this order: the first needs agents that have their files' settings.
var Cases = []Case{
	{"half refuse", (*Lab).halfRefuse},
	{"leader killed in a burst", (*Lab).leaderKilled},
	{"instance paused", func(l *Lab) (string, error) { return l.instanceGone((*Lab).paused) }},
	{"instance cut off", func(l *Lab) (string, error) { return l.instanceGone((*Lab).cutOff) }},
	{"instance killed", func(l *Lab) (string, error) { return l.instanceGone((*Lab).killed) }},
	{"two writers", (*Lab).twoWriters},
	{"region cut", (*Lab).regionCut},
	{"all down", (*Lab).allDown},
}

// Play plays a case, waits until all that was changed is in force where it must be, and judges all
// that was seen so far. The error tells what broke, or the rules that the history breaks.
func (l *Lab) Play(c Case) error {
	begun := time.Now()
	figures, err := c.run(l)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Name, err)
	}
	err = l.settle()
	h, err2 := l.History()
	if err = errors.Join(err, err2); err != nil {
		return fmt.Errorf("%s: %w", c.Name, err)
	}
	took := h.Delays(begun)
	l.cfg.Log("%s: %.1f s; in force after p50 %v, p99 %v, worst %v, of %d%s", c.Name, time.Since(begun).Seconds(),
		Quantile(took, 0.5), Quantile(took, 0.99), Quantile(took, 1), len(took), figures)
	if found := Check(h, l.cfg.Within); len(found) > 0 {
		return fmt.Errorf("%s: %d rules broken, such as %v", c.Name, len(found), found[:min(len(found), 5)])
	}
	return nil
}

// settle returns once each agent that runs knows the last change, or this was due.
func (l *Lab) settle() error {
	for end := time.Now().Add(l.cfg.Within + time.Second); ; time.Sleep(50 * time.Millisecond) {
		h, err := l.seen()
		if err != nil {
			return err
		}
		last := slices.MaxFunc(h.Writes, func(a, b Write) int { return cmp.Compare(a.Version, b.Version) })
		lacks := slices.ContainsFunc(h.Lives, func(life *Life) bool {
			return life.To.IsZero() && !life.knew(last.Version, time.Now())
		})
		if !lacks || time.Now().After(end) {
			return nil
		}
	}
}

// halfRefuse: a change that lacks a key which half of the agents have in force. They keep what they
// have and are named with why; the next change reaches all.
func (l *Lab) halfRefuse() (string, error) {
	w, err := l.Change(func(mark int) string { return settings(mark, "") }, l.Instances...)
	if err != nil {
		return "", err
	}
	refused := 0
	err = processtest.Await(l.cfg.Within, "all agents named with what became of the change", func() bool {
		refused = 0
		told := l.heard()
		for i, agent := range l.Agents {
			switch r := told[agent]; {
			case i%2 == 0 && r.InForce != w.Version:
				return false
			case i%2 == 0:
			case r.Rejected != w.Version || r.InForce != 0 || !strings.Contains(r.Reason, "contract.coldMs: missing"):
				return false
			default:
				refused++
			}
		}
		return true
	})
	if err != nil {
		return "", fmt.Errorf("%w: %v", err, l.heard())
	}
	_, err = l.Change(good, l.Instances...)
	return fmt.Sprintf("; %d refused", refused), err
}

// heardAt is what was last heard of an agent, and where.
type heardAt struct {
	server.AgentReport
	instance string
}

// heard is what the service has heard of each agent, from the instance that heard it last.
func (l *Lab) heard() map[string]heardAt {
	out := map[string]heardAt{}
	for _, instance := range l.Instances {
		var h server.AgentReports
		if err := l.ask(instance, "GET", "/v1/settings/"+service+"/heard", "", &h); err != nil {
			continue
		}
		for _, a := range h.Agents {
			if old, ok := out[a.Agent]; !ok || a.SilentMs < old.SilentMs {
				out[a.Agent] = heardAt{a, instance}
			}
		}
	}
	return out
}

// leaderKilled: the leader is killed in the middle of a burst of changes, and comes back after it.
func (l *Lab) leaderKilled() (_ string, err error) {
	for i := range l.cfg.Burst {
		if i == l.cfg.Burst/3 {
			lead := l.leader()
			if err := l.svc.Kill(lead); err != nil {
				return "", err
			}
			defer func() { err = errors.Join(err, l.svc.Start(lead)) }()
		}
		if _, err := l.Change(good, l.Instances...); err != nil {
			return "", err
		}
	}
	return "", nil
}

func (l *Lab) setPaused(instance string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pausedNow = instance
}

func (l *Lab) paused(instance string) (end func() error, err error) {
	l.setPaused(instance)
	return func() error { l.setPaused(""); return l.svc.Resume(instance) }, l.svc.Pause(instance)
}

func (l *Lab) killed(instance string) (end func() error, err error) {
	return func() error { return l.svc.Start(instance) }, l.svc.Kill(instance)
}

func (l *Lab) cutOff(instance string) (end func() error, err error) {
	others := slices.DeleteFunc(slices.Clone(l.Instances), func(n string) bool { return n == instance })
	l.svc.Partition([]string{instance}, append(others, l.Agents...))
	return func() error { l.svc.Heal(); return nil }, nil
}

// instanceGone: an instance on which agents hang is gone, and settings change as soon as the
// others take a write.
func (l *Lab) instanceGone(how func(*Lab, string) (func() error, error)) (string, error) {
	instance, agents, err := l.hung()
	if err != nil {
		return "", err
	}
	others := slices.DeleteFunc(slices.Clone(l.Instances), func(n string) bool { return n == instance })
	lead := l.leader() == instance
	end, err := how(l, instance)
	if err != nil {
		return "", err
	}
	_, err = l.Change(good, others...)
	if err == nil {
		err = l.settle()
	}
	return fmt.Sprintf("; %d agents hung on it, it led: %v", agents, lead), errors.Join(err, end())
}

// twoWriters: two writers at one moment, at different instances, ten times.
func (l *Lab) twoWriters() (string, error) {
	var group sync.WaitGroup
	errs := make([]error, 2)
	for w := range errs {
		group.Add(1)
		go func() {
			defer group.Done()
			for range 10 {
				_, err := l.Change(good, l.Instances[w:]...)
				errs[w] = errors.Join(errs[w], err)
			}
		}()
	}
	group.Wait()
	return "", errors.Join(errs...)
}

// regionCut: an instance and a third of the agents are cut off from the rest while settings change: the
// others have them in time, these keep the last they had and have the newest in time after the heal.
func (l *Lab) regionCut() (string, error) {
	away, err := l.follower()
	if err != nil {
		return "", err
	}
	here := slices.DeleteFunc(slices.Clone(l.Instances), func(n string) bool { return n == away })
	third := l.Agents[:len(l.Agents)/3]
	cut := time.Now()
	l.svc.Partition(append([]string{away}, third...), append(slices.Clone(here), l.Agents[len(third):]...))
	for i := 0; i < 3 && err == nil; i++ {
		time.Sleep(l.cfg.Outage / 3)
		_, err = l.Change(good, here...)
	}
	h, err2 := l.seen()
	if err = errors.Join(err, err2); err != nil {
		return "", err
	}
	for _, life := range h.Lives {
		if slices.Contains(third, life.Agent) && life.To.IsZero() && slices.ContainsFunc(life.Seen, func(s Seen) bool {
			return s.At.After(cut.Add(time.Second)) && s.Version >= h.Writes[len(h.Writes)-3].Version
		}) {
			err = fmt.Errorf("%s, which was cut off, has a change that was made on the other side", life.Agent)
		}
	}
	l.svc.Heal()
	l.excuse(cut, third...)
	return "", err
}

// allDown: all instances are killed, and a tenth of the agents is restarted meanwhile; when they are
// back, the agents come one by one. The change is made once they are.
func (l *Lab) allDown() (string, error) {
	fall := time.Now()
	if err := processtest.Each(l.Instances, l.svc.Kill); err != nil {
		return "", err
	}
	time.Sleep(l.cfg.Outage / 2)
	tenth := l.Agents[:max(1, len(l.Agents)/10)]
	if err := processtest.Each(tenth, l.restart); err != nil {
		return "", err
	}
	time.Sleep(l.cfg.Outage / 2)
	for _, agent := range l.Agents {
		if !l.agents.Running(agent) {
			return "", fmt.Errorf("%s does not run any more", agent)
		}
	}
	back := time.Now()
	if err := processtest.Each(l.Instances, l.svc.Start); err != nil {
		return "", err
	}
	_, err := l.Change(good, l.Instances...)
	l.excuse(fall)
	if err == nil {
		err = l.settle()
	}
	if err != nil {
		return "", err
	}
	down, err := l.peak(fall, back)
	after, err2 := l.peak(back, back.Add(l.cfg.Within))
	if err = errors.Join(err, err2); err == nil && max(down, after) >= len(l.Agents) {
		err = fmt.Errorf("%d of %d agents called in 100 ms while all were down, %d after their return", down, len(l.Agents), after)
	}
	return fmt.Sprintf("; most calls in 100 ms of %d agents: %d while down, %d after the return", len(l.Agents), down, after), err
}

// peak is how many calls came to the instances in the 100 ms that had the most, where each call comes on
// a connection of its own: after a failure nothing is kept.
func (l *Lab) peak(from, to time.Time) (most int, err error) {
	var calls []time.Time
	for _, agent := range l.Agents {
		for _, instance := range l.Instances {
			link, err := l.svc.Link(agent, instance, "http")
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
