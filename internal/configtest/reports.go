package configtest

import (
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// agentReport is the latest report of an agent, with the instance that received it.
type agentReport struct {
	server.AgentReport
	instance string
}

// agentReports returns the latest report of each agent by the agent's name.
func (h *Harness) agentReports() map[string]agentReport {
	reports := map[string]agentReport{}
	for _, instance := range h.Instances {
		var reported server.AgentReports
		if h.get(instance, endpoint.AgentReportsPath(service), &reported) != nil {
			continue // an instance that is down is skipped
		}
		for _, agent := range reported.Agents {
			if old, ok := reports[agent.Agent]; !ok || agent.SilentMs < old.SilentMs {
				reports[agent.Agent] = agentReport{agent, instance}
			}
		}
	}
	return reports
}

// instanceUse is an instance with the number of agents that use it.
type instanceUse struct {
	instance string
	agents   int
}

// busiestInstance returns the follower that most agents use, or the leader if all agents use the leader. An agent uses
// the instance that received its last call. (A resumed instance also receives the calls sent while it was paused.) It
// returns an error if not all agents call within retryTimeout.
func (h *Harness) busiestInstance() (instanceUse, error) {
	agentsOf, err := h.awaitCalls()
	leader := h.leader()
	var busiest instanceUse
	for _, name := range h.Instances {
		agents := agentsOf[name]
		if agents == 0 {
			continue
		}
		isBusierFollower := agents > busiest.agents && name != leader
		if isBusierFollower || busiest.instance == leader || busiest.agents == 0 {
			busiest = instanceUse{instance: name, agents: agents}
		}
	}
	return busiest, err
}

// awaitCalls waits until each agent has called an instance, and counts the agents by the instance called last.
func (h *Harness) awaitCalls() (map[string]int, error) {
	startedAt := time.Now()
	agentsOf := map[string]int{}
	err := processtest.Await(retryTimeout, "calls of all agents", func() bool {
		reports := h.agentReports()
		for _, report := range reports {
			if report.SilentMs >= time.Since(startedAt).Milliseconds() {
				return false
			}
		}
		for _, report := range reports {
			agentsOf[report.instance]++
		}
		return true
	})
	return agentsOf, err
}

// rejected reports whether the agent rejected the version because of the missing key and has none of the service's
// versions in force.
func (r agentReport) rejected(version uint64) bool {
	return r.Rejected == version && r.InForce == 0 && strings.Contains(r.Reason, missingKey)
}
