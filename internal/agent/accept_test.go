package agent

import (
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// Clients are served whatever accepts fail, and the failures are counted.
func TestFailedAcceptsDoNotEndTheAgent(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent := startAgentOn(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", server.Addr)), agenttest.NewFlakyListener(t), nil)
	for range 3 {
		status, _, _ := agent.do(agenttest.NewRequest(agent.addr, "order", "x"))
		agenttest.WantStatus(t, status, http.StatusOK)
	}
	if got, least := agent.metricsNow().AcceptFailures, 3*len(agenttest.AcceptErrnos); got < least {
		t.Errorf("%d failed accepts counted, want at least %d", got, least)
	}
}
