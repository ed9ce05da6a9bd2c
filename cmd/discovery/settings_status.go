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
	// peerTimeout bounds the wait for the agent reports of another instance.
	peerTimeout = time.Second
	// silentAfter is the time since an agent's last call after which the agent is listed as silent.
	// Agents call about once a second, and switch to another instance within a few seconds.
	silentAfter = 10 * time.Second
)

// settingsStatusCommand returns the command that shows which agents have which settings in force.
func settingsStatusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "status SERVICE",
		Short: "show which agents have which version in force; exit code 1 if one lacks the newest",
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
		return status.outdatedError()
	})
}

// outdatedAgentsError reports that some agents do not have the newest version in force.
type outdatedAgentsError struct {
	outdated, agents int
	version          uint64
}

// Error returns the number of agents and the version that they lack.
func (e *outdatedAgentsError) Error() string {
	return fmt.Sprintf("%d of %d agents lack version %d", e.outdated, e.agents, e.version)
}

// settingsStatus combines the agent reports of all reachable instances for one service.
type settingsStatus struct {
	service          string
	version          uint64                        // of the newest settings at any instance
	lastReports      map[string]server.AgentReport // by agent name
	reachedInstances int                           // number of instances whose reports are included
	unreachable      []unreachableInstance
}

// unreachableInstance is an instance whose agent reports could not be read.
type unreachableInstance struct {
	id, address string
	err         error
}

// collectStatus requests the agent reports of the client's instance, and then concurrently those of its
// peers.
func collectStatus(ctx context.Context, client adminClient, service string) (*settingsStatus, error) {
	status := &settingsStatus{service: service, lastReports: map[string]server.AgentReport{}}
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

// collectPeers adds the agent reports of the peers, which are given as admin addresses by id. It waits at
// most peerTimeout.
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

// add adds the reports of one instance. Of two reports of the same agent, the later one is kept.
func (s *settingsStatus) add(reports server.AgentReports) {
	s.reachedInstances++
	s.version = max(s.version, reports.Version)
	for _, report := range reports.Agents {
		known, ok := s.lastReports[report.Agent]
		if !ok || report.SilentMs < known.SilentMs {
			s.lastReports[report.Agent] = report
		}
	}
}

// selectAgents returns the reports that satisfy a condition, ordered by agent name.
func (s *settingsStatus) selectAgents(condition func(server.AgentReport) bool) []server.AgentReport {
	var selected []server.AgentReport
	for _, name := range slices.Sorted(maps.Keys(s.lastReports)) {
		if report := s.lastReports[name]; condition(report) {
			selected = append(selected, report)
		}
	}
	return selected
}

// outdated returns the reports of the agents that do not have the newest version in force.
func (s *settingsStatus) outdated() []server.AgentReport {
	return s.selectAgents(func(report server.AgentReport) bool { return report.InForce < s.version })
}

// silent returns the reports of the agents whose last call was at least silentAfter ago.
func (s *settingsStatus) silent() []server.AgentReport {
	return s.selectAgents(func(report server.AgentReport) bool { return silence(report) >= silentAfter })
}

// outdatedError returns an outdatedAgentsError if agents lack the newest version, and nil otherwise.
func (s *settingsStatus) outdatedError() error {
	outdated := len(s.outdated())
	if outdated == 0 {
		return nil
	}
	return &outdatedAgentsError{outdated: outdated, agents: len(s.lastReports), version: s.version}
}
