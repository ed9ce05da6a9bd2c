package scaletest

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// convergenceTimeout is how long a fleet may take to have one membership view and the last list.
	convergenceTimeout = 60 * time.Second
	// convergencePollInterval is the pause between two observations, each of which has the hosts collect
	// their garbage.
	convergencePollInterval = time.Second
)

// observation is what a member reports of its membership view and the versions in force.
type observation struct {
	digest          string
	settled         bool
	listVersion     uint64
	settingsVersion uint64
}

// awaitConvergence waits until all members that run have the last list, their last settings and the
// same membership view, and with settled also that no view has changed for its settle time. problem says
// which members have not after convergenceTimeout; it is empty if the fleet has converged.
func (f *fleet) awaitConvergence(ctx context.Context, settled bool) (problem string, err error) {
	deadline := time.Now().Add(convergenceTimeout)
	for {
		problem, err = f.divergence(ctx, settled)
		if err != nil || problem == "" {
			return problem, err
		}
		if time.Now().After(deadline) {
			return problem, nil
		}
		select {
		case <-time.After(convergencePollInterval):
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// divergence describes how the members that run differ; it is empty if they don't.
func (f *fleet) divergence(ctx context.Context, settled bool) (string, error) {
	observations, err := f.observe(ctx)
	if err != nil {
		return "", err
	}
	running := f.runningMembers()
	views := map[string]int{} // members by digest
	oldList := 0
	oldSettings := 0
	unsettled := 0
	for _, m := range running {
		o, ok := observations[m.name]
		if !ok {
			return m.name + " does not report its view", nil
		}
		views[o.digest]++
		if o.listVersion < f.trackers[kindList].latestVersion(m.name) {
			oldList++
		}
		if o.settingsVersion < f.trackers[kindSettings].latestVersion(m.name) {
			oldSettings++
		}
		if !o.settled {
			unsettled++
		}
	}
	switch {
	case len(views) > 1:
		return fmt.Sprintf("%d of %d agents do not see the fleet that most see",
			len(running)-largest(views), len(running)), nil
	case oldList > 0:
		return fmt.Sprintf("%d of %d agents do not have the last list", oldList, len(running)), nil
	case oldSettings > 0:
		return fmt.Sprintf("%d of %d agents do not have their last settings", oldSettings, len(running)), nil
	case settled && unsettled > 0:
		return fmt.Sprintf("the views of %d of %d agents still change", unsettled, len(running)), nil
	}
	return "", nil
}

// largest is the largest of some counts.
func largest(counts map[string]int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}

// observe observes all members that run. A real agent that does not answer is left out.
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
				return nil // the agent is missing from the observations then
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

// requestReports requests a report of each host, in the group, and calls handle with each, with mu
// locked.
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
