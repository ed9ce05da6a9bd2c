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
	// sampledAgents is how many agents are queried for their views each second.
	sampledAgents = 8
	// joinTimeout bounds the time until all agents see each other; it is checked every joinPollInterval.
	joinTimeout      = time.Minute
	joinPollInterval = 100 * time.Millisecond
	// viewTimeout bounds a call for an agent's view.
	viewTimeout = 200 * time.Millisecond
	// viewQuery asks for the numbers alone: no members, and no changes, as none has a number so high.
	viewQuery = "members=none&since=4611686018427387904"
)

// sampleViews queries some agents each second for the number of agents they see, until the traffic has ended. It
// returns the least and the greatest number of each second.
func (r *armRun) sampleViews(ctx context.Context) (views [][2]int) {
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

// sampleView returns the least and the greatest number of agents that the sampled agents see; agents that are down or
// paused do not count.
func (r *armRun) sampleView(ctx context.Context) (view [2]int) {
	for i := range min(sampledAgents, len(r.names)) {
		name := r.names[i*len(r.names)/sampledAgents%len(r.names)]
		seen := r.agentsSeen(ctx, name)
		if seen == 0 {
			continue
		}
		if view[0] == 0 || seen < view[0] {
			view[0] = seen
		}
		view[1] = max(view[1], seen)
	}
	return view
}

// agentsSeen returns how many agents an agent sees; 0: it does not answer.
func (r *armRun) agentsSeen(ctx context.Context, name string) int {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	status, err := membership.FetchStatus(ctx, r.emulator.Address(r.agentIndex[name], emulator.AdminPort), viewQuery)
	if err != nil {
		return 0
	}
	return status.Present
}

// awaitMembership waits until every agent sees all agents, for joinTimeout at most. It also returns without an error at
// the end of the context.
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
			return fmt.Errorf("the agents do not see each other within %v", joinTimeout)
		case <-ctx.Done():
			return nil
		}
	}
}

// membershipComplete tells whether every agent sees all agents.
func (r *armRun) membershipComplete(ctx context.Context) bool {
	incomplete := func(name string) bool { return r.agentsSeen(ctx, name) != len(r.names) }
	return !slices.ContainsFunc(r.names, incomplete)
}
