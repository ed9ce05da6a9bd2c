package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// peerTimeout bounds how long status waits for the agent reports of another instance.
	peerTimeout = time.Second
	// silentAfter is how long ago an agent's last call was when status lists it as silent. Agents
	// call about once a second, and switch to another instance within a few seconds.
	silentAfter = 10 * time.Second
)

// settingsStatusCommand returns the command that shows which agents have which settings in force.
func settingsStatusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status SERVICE",
		Short: "which agents have which version in force; exit 1 while one lacks the newest",
		Args:  cobra.ExactArgs(1),
	}
	return withAdminFlag(cmd, func(cmd *cobra.Command, client adminClient, args []string) error {
		status, err := collectStatus(cmd.Context(), client, args[0])
		if err != nil {
			return err
		}
		if err := writeTable(cmd.OutOrStdout(), status.table()); err != nil {
			return err
		}
		return status.lackingError()
	})
}

// lackingError says that agents do not have the newest version in force.
type lackingError struct {
	lacking, agents int
	version         uint64
}

// Error says how many agents lack which version.
func (e *lackingError) Error() string {
	return fmt.Sprintf("%d of %d agents lack version %d", e.lacking, e.agents, e.version)
}

// settingsStatus is what all reachable instances know about the settings of a service's agents.
type settingsStatus struct {
	service     string
	version     uint64                        // of the newest settings at any instance
	agents      map[string]server.AgentReport // the last report of each agent, by name
	reached     int                           // instances
	unreachable []unreachableInstance
}

// unreachableInstance is an instance whose agent reports could not be read.
type unreachableInstance struct {
	id, address string
	err         error
}

// collectStatus requests the agent reports of the client's instance, and then those of its peers at once,
// for at most peerTimeout.
func collectStatus(ctx context.Context, client adminClient, service string) (*settingsStatus, error) {
	status := &settingsStatus{service: service, agents: map[string]server.AgentReport{}}
	path := endpoint.AgentReportsPath(service)
	var first server.AgentReports
	if err := client.getJSON(ctx, path, &first); err != nil {
		return nil, err
	}
	status.add(first)
	status.collectPeers(ctx, first.Peers, path)
	if status.version == 0 {
		return nil, fmt.Errorf("no settings of %q are kept", service)
	}
	return status, nil
}

// collectPeers requests the agent reports of the peers, given as addresses by id.
func (s *settingsStatus) collectPeers(ctx context.Context, peers map[string]string, path string) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	for id, address := range peers {
		requests.Add(1)
		go func() {
			defer requests.Done()
			var reports server.AgentReports
			err := newAdminClient(address, peerTimeout).getJSON(ctx, path, &reports)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				s.unreachable = append(s.unreachable, unreachableInstance{id: id, address: address, err: err})
				return
			}
			s.add(reports)
		}()
	}
	requests.Wait()
	byID := func(a, b unreachableInstance) int { return strings.Compare(a.id, b.id) }
	slices.SortFunc(s.unreachable, byID)
}

// add adds the reports of one instance. Of two reports of an agent the later one remains.
func (s *settingsStatus) add(reports server.AgentReports) {
	s.reached++
	s.version = max(s.version, reports.Version)
	for _, report := range reports.Agents {
		known, ok := s.agents[report.Agent]
		if !ok || report.SilentMs < known.SilentMs {
			s.agents[report.Agent] = report
		}
	}
}

// selectAgents returns the reports that fulfil a condition, ordered by the agent's name.
func (s *settingsStatus) selectAgents(condition func(server.AgentReport) bool) []server.AgentReport {
	var selected []server.AgentReport
	for _, name := range slices.Sorted(maps.Keys(s.agents)) {
		if report := s.agents[name]; condition(report) {
			selected = append(selected, report)
		}
	}
	return selected
}

// lacking returns the reports of the agents that do not have the newest version in force.
func (s *settingsStatus) lacking() []server.AgentReport {
	return s.selectAgents(func(report server.AgentReport) bool { return report.InForce < s.version })
}

// silent returns the reports that are older than silentAfter.
func (s *settingsStatus) silent() []server.AgentReport {
	return s.selectAgents(func(report server.AgentReport) bool { return silence(report) >= silentAfter })
}

// lackingError returns a lackingError if agents lack the newest version, or nil.
func (s *settingsStatus) lackingError() error {
	lacking := len(s.lacking())
	if lacking == 0 {
		return nil
	}
	return &lackingError{lacking: lacking, agents: len(s.agents), version: s.version}
}
