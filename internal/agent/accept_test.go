package agent

import (
	"net/http"
	"testing"
)

// Clients are served whatever accepts fail, and the failures are counted.
func TestFailedAcceptsDoNotEndTheAgent(t *testing.T) {
	b := newFakeServer(t, respondOK)
	a := startAgentOn(t, newDiscoveryServer(t, target("s-1", b.addr)), newFlakyListener(t), nil)
	for range 3 {
		status, _, _ := a.do(newRequest(a.addr, "order", "x"))
		wantStatus(t, status, http.StatusOK)
	}
	if got, least := a.metricsNow().acceptFailures, 3*len(acceptErrnos); got < least {
		t.Errorf("%d failed accepts counted, want at least %d", got, least)
	}
}
