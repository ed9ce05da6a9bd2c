package agent

import (
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// The agent keeps serving clients after failed accepts, and counts the failures.
func TestFailedAcceptsDoNotStopTheAgent(t *testing.T) {
	server := agenttest.NewServer(t, agenttest.RespondOK)
	agent := startAgentOn(t, discoveryWith(t, server.Addr), agenttest.NewFlakyListener(t), nil)
	for range 3 {
		agent.wantOrderStatus(http.StatusOK)
	}
	if got, least := agent.metricsNow().AcceptFailures, 3*len(agenttest.AcceptErrnos); got < least {
		t.Errorf("%d failed accepts counted, want at least %d", got, least)
	}
}
