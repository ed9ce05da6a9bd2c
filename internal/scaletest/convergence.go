package scaletest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// convergenceTimeout is how long a fleet may take to converge on one membership snapshot and the newest versions.
	convergenceTimeout = 60 * time.Second
	// convergencePollInterval is the pause between two observations. Each observation runs a garbage collection in
	// every host process.
	convergencePollInterval = time.Second
)

// observation is what a member reports about its membership snapshot and the versions in force.
type observation struct {
	digest          string
	settled         bool // the snapshot has not changed for the settle time
	listVersion     uint64
	settingsVersion uint64
}

// fleetState counts the running members by what they report.
type fleetState struct {
	running     int
	silent      string         // a member that does not report; empty if all do
	byDigest    map[string]int // members by the digest of their membership snapshots
	oldList     int            // members without the newest list
	oldSettings int            // members without the newest settings of their service
	unsettled   int            // members whose snapshots still change
}

// divergence describes how the members' snapshots differ, or which newest version they lack. It is empty if the fleet
// has converged.
func (s *fleetState) divergence() string {
	switch {
	case s.silent != "":
		return s.silent + " does not report its view"
	case len(s.byDigest) > 1:
		return fmt.Sprintf("%d of %d agents do not see the fleet that most see",
			s.running-largest(s.byDigest), s.running)
	case s.oldList > 0:
		return fmt.Sprintf("%d of %d agents do not have the last list", s.oldList, s.running)
	case s.oldSettings > 0:
		return fmt.Sprintf("%d of %d agents do not have their last settings", s.oldSettings, s.running)
	}
	return ""
}

// divergenceOrChange returns the divergence if the fleet has not converged. If it has, but some members' snapshots
// still change, it returns how many. Otherwise it returns "".
func (s *fleetState) divergenceOrChange() string {
	problem := s.divergence()
	if problem == "" && s.unsettled > 0 {
		return fmt.Sprintf("the views of %d of %d agents still change", s.unsettled, s.running)
	}
	return problem
}

// awaitConvergence waits until all running members have the newest list, the newest settings of their service and the
// same membership snapshot. If they don't within convergenceTimeout, problem describes the divergence; otherwise it is
// empty.
func (f *fleet) awaitConvergence(ctx context.Context) (problem string, err error) {
	return f.awaitState(ctx, (*fleetState).divergence)
}

// awaitSettled is like awaitConvergence, and also waits until no member's snapshot has changed for the settle time.
func (f *fleet) awaitSettled(ctx context.Context) (problem string, err error) {
	return f.awaitState(ctx, (*fleetState).divergenceOrChange)
}

// awaitState waits until describe finds no problem in the fleet's state. After convergenceTimeout it returns the
// problem that is left.
func (f *fleet) awaitState(ctx context.Context, describe func(*fleetState) string) (problem string, err error) {
	deadline := time.Now().Add(convergenceTimeout)
	for {
		state, err := f.state(ctx)
		if err != nil {
			return "", err
		}
		problem := describe(state)
		if problem == "" || time.Now().After(deadline) {
			return problem, nil
		}
		select {
		case <-time.After(convergencePollInterval):
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// state observes all running members and counts them by what they report.
func (f *fleet) state(ctx context.Context) (*fleetState, error) {
	observations, err := f.observe(ctx)
	if err != nil {
		return nil, err
	}
	running := f.runningMembers()
	state := &fleetState{running: len(running), byDigest: map[string]int{}}
	for _, m := range running {
		o, ok := observations[m.name]
		if !ok {
			state.silent = m.name
			return state, nil
		}
		state.byDigest[o.digest]++
		if o.listVersion < f.trackers[kindList].latestVersion(m.name) {
			state.oldList++
		}
		if o.settingsVersion < f.trackers[kindSettings].latestVersion(m.name) {
			state.oldSettings++
		}
		if !o.settled {
			state.unsettled++
		}
	}
	return state, nil
}

// largest returns the largest of the counts.
func largest(counts map[string]int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// observe returns the observations of all running members by name. A real agent that does not respond is left out.
func (f *fleet) observe(ctx context.Context) (map[string]observation, error) {
	var mu sync.Mutex
	observations := map[string]observation{}
	group, ctx := errgroup.WithContext(ctx)
	f.requestReports(ctx, group, &mu, func(_ string, r *HostReport) {
		for name, a := range r.Agents {
			observations[name] = observation{a.Digest, a.Settled, a.ListVersion, a.SettingsVersion}
		}
	})
	for _, m := range f.runningMembers() {
		if m.hollow() {
			continue
		}
		group.Go(func() error {
			status, err := f.realAgents.status(ctx, m.address(adminPort))
			if err != nil {
				return nil // the agent is left out of the observations
			}
			if err := f.realAgents.readLog(m.name); err != nil {
				return err
			}
			state := f.realAgents.state(m.name)
			mu.Lock()
			defer mu.Unlock()
			observations[m.name] = observation{status.Digest, status.Settled, state.listVersion, state.settingsVersion}
			return nil
		})
	}
	return observations, group.Wait()
}

// requestReports requests a report from each host in a goroutine of the group, and calls handle with each report while
// it holds mu.
func (f *fleet) requestReports(
	ctx context.Context, group *errgroup.Group, mu *sync.Mutex, handle func(host string, r *HostReport),
) {
	for _, h := range f.hosts {
		group.Go(func() error {
			r, err := h.report(ctx)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			handle(h.name, r)
			return nil
		})
	}
}
