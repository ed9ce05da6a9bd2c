package scaletest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

// step is something that happens on a day, at a part of its length.
type step struct {
	at float64
	do func(context.Context) error
}

// day makes a day's steps, and says what of it this run can't play.
type day func(f *fleet, t *Target) (steps []step, missing []string)

// days are all that can be played. All but the quiet one have changes, of the list and of settings,
// at the target's rate, scaled to the size and hurried.
var days = map[string]day{
	"quiet":    quiet,
	"ordinary": ordinary,
	"rollout":  rollout,
	"zone":     zone,
	"control":  control,
	"region":   region,
}

// DayNames are the days, in order of their names.
func DayNames() []string { return slices.Sorted(maps.Keys(days)) }

// play carries out steps at their times and waits until all are done and the day is over.
func (f *fleet) runSteps(ctx context.Context, steps []step) error {
	slices.SortFunc(steps, func(a, b step) int {
		if a.at < b.at {
			return -1
		}
		return 1
	})
	length := time.Duration(f.plan.Seconds * float64(time.Second))
	began := time.Now()
	var group sync.WaitGroup
	errs := make([]error, len(steps))
	until := func(at float64) bool {
		select {
		case <-time.After(time.Until(began.Add(time.Duration(at * float64(length))))):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for i, s := range steps {
		if !until(s.at) {
			break
		}
		group.Add(1)
		go func() {
			defer group.Done()
			errs[i] = s.do(ctx)
		}()
	}
	until(1)
	group.Wait()
	return errors.Join(append(errs, ctx.Err())...)
}

// drawn is a whole number whose mean is x.
func (f *fleet) randomRound(x float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(math.Floor(x + f.random.Float64()))
}

// moments are so many drawn parts of a day, from lo to hi.
func (f *fleet) randomMoments(n int, lo, hi float64) (at []float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range n {
		at = append(at, lo+(hi-lo)*f.random.Float64())
	}
	return at
}

// changes are a day's changes, each of settings with the plan's share for it; missing says of which
// kind there can be none.
func (f *fleet) changeSteps(t *Target) (steps []step, missing []string) {
	for _, at := range f.randomMoments(f.randomRound(t.hurried(t.ChangesPerDay, f.size, f.plan)), 0, 1) {
		if f.nextChangeIsSettings() {
			steps = append(steps, step{at, f.changeSettings})
		} else {
			steps = append(steps, step{at, f.changeServer})
		}
	}
	switch f.plan.SettingsFraction {
	case 0:
		missing = []string{"changes of settings: the plan has none"}
	case 1:
		missing = []string{"changes of the list: the plan has none"}
	}
	return steps, missing
}

func quiet(*fleet, *Target) ([]step, []string) { return nil, nil }

// ordinary restarts agents in order and kills those whose machine fails, which stay away to the end.
func ordinary(f *fleet, t *Target) ([]step, []string) {
	steps, missing := f.changeSteps(t)
	restarts, failures := f.randomRound(t.hurried(t.AgentsReplaced, f.size, f.plan)), f.randomRound(t.hurried(t.MachinesFailed, f.size, f.plan))
	for _, at := range f.randomMoments(restarts, 0, 0.9) {
		steps = append(steps, step{at, func(ctx context.Context) error {
			if m := f.takeIdleMember(); m != nil {
				return f.restart(ctx, m)
			}
			return nil
		}})
	}
	for _, at := range f.randomMoments(failures, 0, 0.9) {
		steps = append(steps, step{at, func(ctx context.Context) error {
			if m := f.takeIdleMember(); m != nil {
				return f.stopMember(ctx, m, false)
			}
			return nil
		}})
	}
	if restarts == 0 {
		missing = append(missing, fmt.Sprintf("restarts: none was drawn, %.2f are due", t.hurried(t.AgentsReplaced, f.size, f.plan)))
	}
	if failures == 0 {
		missing = append(missing, fmt.Sprintf("failed machines: none was drawn, %.2f are due", t.hurried(t.MachinesFailed, f.size, f.plan)))
	}
	return steps, missing
}

// parts is how many parts a rollout has.
const rolloutParts = 10

// rollout restarts all agents, a tenth at a time, each once the one before has started again.
func rollout(f *fleet, t *Target) ([]step, []string) {
	all := f.membersRunning(true)
	f.mu.Lock()
	f.random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	f.mu.Unlock()
	steps, missing := f.changeSteps(t)
	missing = append(missing, "traffic of agents that end, from up to 0.2 s before the order on")
	turn := make(chan struct{}, 1)
	turn <- struct{}{}
	for i := range rolloutParts {
		part := all[i*len(all)/rolloutParts : (i+1)*len(all)/rolloutParts]
		steps = append(steps, step{float64(i) / rolloutParts, func(ctx context.Context) error {
			select {
			case <-turn:
			case <-ctx.Done():
				return ctx.Err()
			}
			defer func() { turn <- struct{}{} }()
			return f.forEach(ctx, part, f.restart)
		}})
	}
	return steps, missing
}

// zone kills the agents of one zone, and starts them again.
func zone(f *fleet, t *Target) ([]step, []string) {
	f.mu.Lock()
	lost := f.random.IntN(len(zoneNames))
	f.mu.Unlock()
	gone := make(chan []*member, 1)
	steps, missing := f.changeSteps(t)
	steps = append(steps, step{0.2, func(ctx context.Context) error {
		some := f.takeZone(lost)
		err := f.forEach(ctx, some, func(ctx context.Context, m *member) error { return f.stopMember(ctx, m, false) })
		gone <- some
		return err
	}}, step{0.6, func(ctx context.Context) error { return f.forEach(ctx, <-gone, f.startMember) }})
	return steps, append(missing, "the zone's instance of the list service, and its servers, stay: only its agents are lost")
}

// control kills the instance of the list service that leads, and starts it again.
func control(f *fleet, t *Target) ([]step, []string) {
	gone := make(chan string, 1)
	steps, missing := f.changeSteps(t)
	steps = append(steps, step{0.2, func(context.Context) error {
		lost, err := f.discovery.awaitLeader()
		gone <- lost
		if err != nil {
			return err
		}
		counted, _, err := f.instanceCounters(lost)
		if err != nil {
			return err
		}
		f.meters[lost].add(counted)
		return f.discovery.Kill(lost)
	}}, step{0.6, func(context.Context) error {
		if lost := <-gone; lost != "" {
			return f.discovery.Start(lost)
		}
		return nil
	}})
	return steps, missing
}

// region cuts the regions from each other, in the fleet view and between the instances of the
// list service, and heals that. No call to it is cut.
func region(f *fleet, t *Target) ([]step, []string) {
	sides := make([][]string, len(regionNames))
	for _, m := range f.members {
		sides[m.region()] = append(sides[m.region()], m.name)
	}
	instances := make([][]string, len(regionNames))
	for i, n := range f.discovery.Names() {
		instances[i%len(regionNames)] = append(instances[i%len(regionNames)], n)
	}
	steps, missing := f.changeSteps(t)
	steps = append(steps, step{0.2, func(context.Context) error {
		f.packetRelay.Partition("region", sides...)
		f.discovery.Partition(instances...)
		return nil
	}}, step{0.7, func(context.Context) error {
		f.packetRelay.Heal("region")
		f.discovery.Heal()
		return nil
	}})
	return steps, append(missing, "the fleet view's packets pass a relay of the runner's all day, which takes processor time that is no agent's")
}
