package agent

import (
	"net"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/balancer"
)

// A reload applies settings without a restart. Added and removed classes, a changed idempotency and a lower number of
// attempts apply to requests that arrive after it. Open requests keep the rules under which they arrived.
func TestReloadAppliesSettings(t *testing.T) {
	arrived, respond := make(chan struct{}, 10), make(chan struct{})
	agent, server := startWithServer(t, func(conn net.Conn, req *http.Request, n int) bool {
		switch {
		case req.URL.Query().Has("blocks") && n == 0:
			arrived <- struct{}{}
			<-respond
			return agenttest.SendResponse(conn, http.StatusInternalServerError, "", "")
		case req.URL.Query().Has("fails"):
			return agenttest.SendResponse(conn, http.StatusInternalServerError, "", "")
		}
		return agenttest.RespondOK(conn, req, n)
	})
	request := func(class, query string) *http.Request {
		req := agenttest.NewRequest(agent.addr, class, "x")
		req.URL.RawQuery = query
		return req
	}
	status := func(class, query string) int { return agent.do(request(class, query)).Status }
	openRequest := agenttest.SendInBackground(t, request("read", "blocks"))
	<-arrived

	class := balancer.Class{
		Name:               "read",
		LatencyObjectiveMs: 1000,
		TotalTimeoutMs:     3000,
		Idempotency:        balancer.NonIdempotent,
		PriorityWeight:     1,
	}
	added := class
	added.Name = "fresh"
	cfg := *agent.cfg
	cfg.Settings.Limits.MaxAttempts = 1
	cfg.Settings.Classes = []balancer.Class{class, added}
	lines := agent.logLines()
	agent.reloads <- &cfg
	agenttest.WaitLine(t, lines, "settings applied")

	close(respond)
	// A second attempt serves the open request; new requests have only one.
	agenttest.WantStatus(t, (<-openRequest).Status, http.StatusOK)
	if server.Count() != 2 {
		t.Errorf("server received the open request %d times, want 2", server.Count())
	}
	agenttest.WantStatus(t, status("fresh", ""), http.StatusOK)
	agenttest.WantStatus(t, status("read", ""), http.StatusOK)
	agenttest.WantStatus(t, status("order", ""), http.StatusBadRequest)
	before := server.Count()
	agenttest.WantStatus(t, status("read", "fails"), http.StatusBadGateway)
	if server.Count() != before+1 {
		t.Errorf("%d attempts of a non-idempotent request, want 1", server.Count()-before)
	}
	agent.wantNoViolationsOrBackstops()
}
