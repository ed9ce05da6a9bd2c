package agent

import (
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

// Clients are served whatever accepts fail, and the failures are counted.
func TestFailedAcceptsDoNotEndTheAgent(t *testing.T) {
	b := agenttest.NewServer(t, agenttest.RespondOK)
	a := startAgentOn(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", b.Addr)), agenttest.NewFlakyListener(t), nil)
	for range 3 {
		status, _, _ := a.do(agenttest.NewRequest(a.addr, "order", "x"))
		agenttest.WantStatus(t, status, http.StatusOK)
	}
	if got, least := a.metricsNow().AcceptFailures, 3*len(agenttest.AcceptErrnos); got < least {
		t.Errorf("%d failed accepts counted, want at least %d", got, least)
	}
}
