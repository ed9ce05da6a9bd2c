package scaletest

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/capacity"
)

// event is an action that is carried out at a given fraction of a run's length.
type event struct {
	at float64
	do func(context.Context) error
}

// script has the events of a run, and notes on what the run can't measure of its load profile.
type script struct {
	events  []event
	missing []string
}

// add adds an event with an action at each of the given fractions of the run.
func (s *script) add(do func(context.Context) error, at ...float64) {
	for _, fraction := range at {
		s.events = append(s.events, event{fraction, do})
	}
}

// loadProfile returns the script of a load profile for a fleet.
type loadProfile func(f *fleet, t *capacity.Target) script

// loadProfiles has all load profiles. All but the quiet one change the endpoint list and settings at the target's rate,
// which is scaled to the size of the fleet and multiplied by the plan's rate factor.
var loadProfiles = map[capacity.Profile]loadProfile{
	capacity.ProfileQuiet:    quietProfile,
	capacity.ProfileOrdinary: ordinaryProfile,
	capacity.ProfileRollout:  rolloutProfile,
	capacity.ProfileZone:     zoneFailureProfile,
	capacity.ProfileControl:  leaderFailureProfile,
	capacity.ProfileRegion:   regionPartitionProfile,
}

// The fractions of a run at which faults begin and end.
const (
	faultBegins    = 0.2
	faultEnds      = 0.6
	partitionHeals = 0.7
	lastRestart    = 0.9 // latest restart or failure in an ordinary run
)

// regionPartition is the name of the partition between the regions.
const regionPartition = "region"

// rolloutParts is the number of parts of the fleet that a rollout restarts one after another.
const rolloutParts = 10

// Notes on what runs of some load profiles don't measure.
const (
	missingInRollout = "traffic of agents that end, from up to 0.2 s before the command on"
	missingInZone    = "the zone's discovery instance and its servers stay: only its agents are lost"
	missingInRegion  = "membership packets pass a relay of the runner's all the time, which takes processor time" +
		" that is no agent's"
)

// runEvents starts each event at its time without waiting for those before it. It returns once all events are done and
// the run's length is over.
func (f *fleet) runEvents(ctx context.Context, events []event) error {
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	length := time.Duration(f.plan.Seconds * float64(time.Second))
	start := time.Now()
	waitUntil := func(at float64) bool {
		due := start.Add(time.Duration(at * float64(length)))
		select {
		case <-time.After(time.Until(due)):
			return true
		case <-ctx.Done():
			return false
		}
	}
	var group sync.WaitGroup
	errs := make([]error, len(events))
	for i, e := range events {
		if !waitUntil(e.at) {
			break
		}
		group.Add(1)
		go func() {
			defer group.Done()
			errs[i] = e.do(ctx)
		}()
	}
	waitUntil(1)
	group.Wait()
	return errors.Join(append(errs, ctx.Err())...)
}

// randomRound rounds x up or down at random so that the expected value is x.
func (f *fleet) randomRound(x float64) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return int(math.Floor(x + f.random.Float64()))
}

// randomMoments returns n random fractions of a run from lo to hi.
func (f *fleet) randomMoments(n int, lo, hi float64) []float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var moments []float64
	for range n {
		moments = append(moments, lo+(hi-lo)*f.random.Float64())
	}
	return moments
}

// changeScript returns a script with the changes of a run. The plan's SettingsFraction of them are changes of settings.
func (f *fleet) changeScript(t *capacity.Target) script {
	var s script
	changes := f.randomRound(expectedEvents(t, t.Changes.PerDay, f.size, f.plan))
	for _, at := range f.randomMoments(changes, 0, 1) {
		if f.nextChangeIsSettings() {
			s.add(f.changeSettings, at)
		} else {
			s.add(f.changeServer, at)
		}
	}
	switch f.plan.SettingsFraction {
	case 0:
		s.missing = []string{"changes of settings: the plan has none"}
	case 1:
		s.missing = []string{"changes of the list: the plan has none"}
	}
	return s
}

// quietProfile returns a script without events.
func quietProfile(*fleet, *capacity.Target) script { return script{} }

// ordinaryProfile restarts random agents, and kills others as if their machine had failed. The killed agents are not
// started again.
func ordinaryProfile(f *fleet, t *capacity.Target) script {
	s := f.changeScript(t)
	expectedRestarts := expectedEvents(t, t.Daily.AgentsReplaced, f.size, f.plan)
	expectedFailures := expectedEvents(t, t.Daily.MachinesFailed, f.size, f.plan)
	restarts := f.randomRound(expectedRestarts)
	failures := f.randomRound(expectedFailures)
	s.add(f.onIdleMember(f.restartMember), f.randomMoments(restarts, 0, lastRestart)...)
	s.add(f.onIdleMember(f.killMember), f.randomMoments(failures, 0, lastRestart)...)
	if restarts == 0 {
		s.missing = append(s.missing, fmt.Sprintf("restarts: none was drawn, %.2f are due", expectedRestarts))
	}
	if failures == 0 {
		s.missing = append(s.missing, fmt.Sprintf("failed machines: none was drawn, %.2f are due", expectedFailures))
	}
	return s
}

// onIdleMember returns an action that calls do for a random idle member, if there is one.
func (f *fleet) onIdleMember(do func(context.Context, *member) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if m := f.takeIdleMember(); m != nil {
			return do(ctx, m)
		}
		return nil
	}
}

// rolloutProfile restarts all agents, a tenth at a time. Each part follows once the one before has restarted.
func rolloutProfile(f *fleet, t *capacity.Target) script {
	members := f.runningMembers()
	f.mu.Lock()
	f.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	f.mu.Unlock()
	s := f.changeScript(t)
	s.missing = append(s.missing, missingInRollout)
	turn := make(chan struct{}, 1)
	turn <- struct{}{}
	for i := range rolloutParts {
		part := members[i*len(members)/rolloutParts : (i+1)*len(members)/rolloutParts]
		s.add(func(ctx context.Context) error {
			select {
			case <-turn:
			case <-ctx.Done():
				return ctx.Err()
			}
			defer func() { turn <- struct{}{} }()
			return f.forEach(ctx, part, f.restartMember)
		}, float64(i)/rolloutParts)
	}
	return s
}

// zoneFailureProfile kills all agents of a random zone, and starts them again later.
func zoneFailureProfile(f *fleet, t *capacity.Target) script {
	f.mu.Lock()
	zone := f.random.IntN(len(zoneNames))
	f.mu.Unlock()
	killed := make(chan []*member, 1)
	s := f.changeScript(t)
	s.add(func(ctx context.Context) error {
		members := f.takeIdleInZone(zone)
		err := f.forEach(ctx, members, f.killMember)
		killed <- members
		return err
	}, faultBegins)
	s.add(func(ctx context.Context) error { return f.forEach(ctx, <-killed, f.startMember) }, faultEnds)
	s.missing = append(s.missing, missingInZone)
	return s
}

// leaderFailureProfile kills the discovery leader, and starts it again later.
func leaderFailureProfile(f *fleet, t *capacity.Target) script {
	killed := make(chan string, 1)
	s := f.changeScript(t)
	s.add(func(ctx context.Context) error {
		leader, err := f.killLeader(ctx)
		killed <- leader
		return err
	}, faultBegins)
	s.add(func(context.Context) error {
		if leader := <-killed; leader != "" {
			return f.discovery.Start(leader)
		}
		return nil
	}, faultEnds)
	return s
}

// killLeader kills the discovery leader after its counters were read, and returns its name. The name is empty if no
// instance was killed.
func (f *fleet) killLeader(ctx context.Context) (string, error) {
	leader, err := f.discovery.awaitLeader(ctx)
	if err != nil {
		return "", err
	}
	usage, err := f.instanceUsage(ctx, leader)
	if err != nil {
		return "", err
	}
	f.endedCounters[leader].add(usage.counters)
	if err := f.discovery.Kill(leader); err != nil {
		return "", err
	}
	return leader, nil
}

// regionPartitionProfile partitions the regions from each other and heals the partition later. It applies to membership
// traffic and to the Raft traffic between discovery instances, but not to the agents' calls to discovery.
func regionPartitionProfile(f *fleet, t *capacity.Target) script {
	members := make([][]string, len(regionNames))
	for _, m := range f.members {
		region := regionOf(m.zone)
		members[region] = append(members[region], m.name)
	}
	instances := f.instancesByRegion()
	s := f.changeScript(t)
	s.add(func(context.Context) error {
		f.packetRelay.Partition(regionPartition, members...)
		f.discovery.Partition(instances...)
		return nil
	}, faultBegins)
	s.add(func(context.Context) error {
		f.packetRelay.Heal(regionPartition)
		f.discovery.Heal()
		return nil
	}, partitionHeals)
	s.missing = append(s.missing, missingInRegion)
	return s
}
