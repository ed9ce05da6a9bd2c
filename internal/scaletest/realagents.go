package scaletest

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// realAgents are the processes of the real agent, with the state read from their logs.
type realAgents struct {
	*processtest.Cluster // nil if there are no real agents
	directory            string
	trackers             trackers
	client               *http.Client

	mu   sync.Mutex
	logs map[string]*agentLogState
}

const (
	// readyRequestTimeout is the timeout of a readiness request to an agent.
	readyRequestTimeout = time.Second
	// statusTimeout is the timeout of a request for an agent's membership status.
	statusTimeout = 3 * time.Second
	// statusQuery requests a status without members and changes: since is 2^62, which no snapshot number reaches.
	statusQuery = "members=none&since=4611686018427387904"
)

// newRealAgents prepares the processes without starting them. Each has its configuration in the file NAME.json in
// directory.
func newRealAgents(program, directory string, names []string, trackers trackers) (*realAgents, error) {
	r := &realAgents{
		directory: directory,
		trackers:  trackers,
		logs:      map[string]*agentLogState{},
		client: &http.Client{
			Timeout:   readyRequestTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
	for _, name := range names {
		r.logs[name] = &agentLogState{}
	}
	if len(names) == 0 {
		return r, nil
	}
	var err error
	r.Cluster, err = processtest.New(processtest.Config{
		Binary: program, Dir: directory, Names: names, Env: processtest.AgentEnv(directory),
	})
	return r, err
}

// start starts an agent and waits until it is ready at its client address.
func (r *realAgents) start(ctx context.Context, name, listen string) error {
	if err := r.Start(name); err != nil {
		return err
	}
	err := processtest.Await(agentTimeout, name+" is ready", func() bool {
		return ctx.Err() != nil || r.ready(ctx, listen)
	})
	r.trackers.forEach(func(t *tracker) { t.started(name) })
	return err
}

// ready reports whether the agent with a client address is ready.
func (r *realAgents) ready(ctx context.Context, listen string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listen+"/-/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := r.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status is used
	return response.StatusCode == http.StatusOK
}

// runningCount returns the number of running processes.
func (r *realAgents) runningCount() int {
	if r.Cluster == nil {
		return 0
	}
	count := 0
	for _, name := range r.Names() {
		if r.Running(name) {
			count++
		}
	}
	return count
}

// status requests an agent's membership status from its admin endpoint.
func (r *realAgents) status(ctx context.Context, adminAddress string) (*membership.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return membership.FetchStatus(ctx, adminAddress, statusQuery)
}

// close kills all processes.
func (r *realAgents) close() {
	if r.Cluster == nil {
		return
	}
	_ = processtest.Each(r.Names(), r.Kill) // Close ends any that could not be killed
	r.Close()
}
