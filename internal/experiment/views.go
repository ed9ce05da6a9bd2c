package experiment

import (
	"context"
	"fmt"
	"slices"
	"time"

	"fernbeam.example/fernbeam/internal/emulator"
	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// sampledAgents is the number of agents that are queried for their views each second.
	sampledAgents = 8
	// joinTimeout bounds the time until all agents see each other, which is checked every joinPollInterval.
	joinTimeout      = time.Minute
	joinPollInterval = 100 * time.Millisecond
	// viewTimeout bounds the query of one agent's view.
	viewTimeout = 200 * time.Millisecond
	// viewQuery requests only the counts: no members, and no changes, because none has a number this high.
	viewQuery = "members=none&since=4611686018427387904"
)

// ViewRange holds the least and the greatest number of agents that a sampled agent sees. Both are 0 if no sampled
// agent responded.
type ViewRange [2]int

// least returns the least number of agents seen.
func (v *ViewRange) least() int { return v[0] }

// add extends the range to the number of agents that another sampled agent sees.
func (v *ViewRange) add(seen int) {
	if *v == (ViewRange{}) {
		v[0] = seen
	}
	v[0] = min(v[0], seen)
	v[1] = max(v[1], seen)
}

// sampleViews samples the agents' views every second until the traffic has ended.
func (r *armRun) sampleViews(ctx context.Context) (views []ViewRange) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			views = append(views, r.sampleView(ctx))
		case <-r.finished:
			return views
		}
	}
}

// sampleView queries the sampled agents. Agents that don't respond, such as paused ones, are left out.
func (r *armRun) sampleView(ctx context.Context) (view ViewRange) {
	for i := range min(sampledAgents, len(r.names)) {
		name := r.names[i*len(r.names)/sampledAgents%len(r.names)]
		if seen := r.agentsSeen(ctx, name); seen > 0 {
			view.add(seen)
		}
	}
	return view
}

// agentsSeen returns the number of agents that an agent sees, or 0 if it does not respond.
func (r *armRun) agentsSeen(ctx context.Context, name string) int {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	status, err := membership.FetchStatus(ctx, r.emulator.Address(r.agentIndex[name], emulator.AdminPort), viewQuery)
	if err != nil {
		return 0
	}
	return status.Present
}

// awaitMembership waits until every agent sees all agents and returns an error after joinTimeout. If the context is
// cancelled, it returns nil.
func (r *armRun) awaitMembership(ctx context.Context) error {
	ticker := time.NewTicker(joinPollInterval)
	defer ticker.Stop()
	timeout := time.NewTimer(joinTimeout)
	defer timeout.Stop()
	for {
		select {
		case <-ticker.C:
			if r.membershipComplete(ctx) {
				return nil
			}
		case <-timeout.C:
			return fmt.Errorf("agents do not all see each other after %v", joinTimeout)
		case <-ctx.Done():
			return nil
		}
	}
}

// membershipComplete reports whether every agent sees all agents.
func (r *armRun) membershipComplete(ctx context.Context) bool {
	incomplete := func(name string) bool { return r.agentsSeen(ctx, name) != len(r.names) }
	return !slices.ContainsFunc(r.names, incomplete)
}
