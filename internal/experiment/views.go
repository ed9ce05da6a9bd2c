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

// ViewRange is the least and the greatest number of agents that any of the sampled agents sees; both 0: none answered.
type ViewRange [2]int

// least returns the least number.
func (v *ViewRange) least() int { return v[0] }

// add adds the number that one more agent sees.
func (v *ViewRange) add(seen int) {
	if *v == (ViewRange{}) {
		v[0] = seen
	}
	v[0] = min(v[0], seen)
	v[1] = max(v[1], seen)
}

// sampleViews queries some agents each second for the number of agents they see, until the traffic has ended.
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

// sampleView returns what the sampled agents see; agents that are down or paused do not count.
func (r *armRun) sampleView(ctx context.Context) (view ViewRange) {
	for i := range min(sampledAgents, len(r.names)) {
		name := r.names[i*len(r.names)/sampledAgents%len(r.names)]
		if seen := r.agentsSeen(ctx, name); seen > 0 {
			view.add(seen)
		}
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
