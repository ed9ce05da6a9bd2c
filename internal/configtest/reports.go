package configtest

import (
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// agentReport is the last report of an agent, and the instance that received it.
type agentReport struct {
	server.AgentReport
	instance string
}

// agentReports returns the last reports of the agents, by their names.
func (h *Harness) agentReports() map[string]agentReport {
	reports := map[string]agentReport{}
	for _, instance := range h.Instances {
		var reported server.AgentReports
		if h.get(instance, endpoint.AgentReportsPath(service), &reported) != nil {
			continue // an instance that is down has no reports
		}
		for _, agent := range reported.Agents {
			if old, ok := reports[agent.Agent]; !ok || agent.SilentMs < old.SilentMs {
				reports[agent.Agent] = agentReport{agent, instance}
			}
		}
	}
	return reports
}

// instanceUse is an instance and the number of agents that use it.
type instanceUse struct {
	instance string
	agents   int
}

// busiestInstance returns the follower that most agents use, or the leader where all use that: an agent uses the
// instance that received its last call. (An instance that was paused receives then what was sent to it meanwhile.) The
// error tells that not all agents have called within retryTimeout.
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

// awaitCalls waits until all agents have called an instance, and counts them by the instance that each called last.
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

// rejected tells whether an agent reported that it rejected a version for the missing key and has none in force.
func (r agentReport) rejected(version uint64) bool {
	return r.Rejected == version && r.InForce == 0 && strings.Contains(r.Reason, missingKey)
}
