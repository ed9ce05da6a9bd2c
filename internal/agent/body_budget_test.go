package agent

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/message"
)

// exhaust acquires a budget until less than 1 KiB of it is left.
func exhaust(budget message.Quota) {
	const piece = 1 << 10
	for taken := true; taken; {
		taken = budget.TryAcquire(piece)
	}
}

// A request body for which the buffer budget has no space left is streamed instead of buffered.
func TestBodiesBeyondTheBudgetAreStreamed(t *testing.T) {
	agent, server := startWithServer(t, hashResponder)
	for _, budget := range agent.bodyBudgets() {
		exhaust(budget)
	}
	body := variedBytes(100)
	response := agent.do(agenttest.NewRequest(agent.addr, "order", string(body)))
	agenttest.WantStatus(t, response.Status, http.StatusOK)
	got := response.Body
	if got != digest(body) || server.Count() != 1 {
		t.Errorf("server received %s in %d requests, want the whole body in 1", got, server.Count())
	}
}

// The bytes that bodies have reserved in the budget are released once the bodies have been forwarded.
func TestBodyBudgetIsReleased(t *testing.T) {
	agent, _ := startWithServer(t, func(conn net.Conn, _ *http.Request, n int) bool {
		if n%2 == 0 {
			return agenttest.SendResponse(conn, http.StatusOK, "", strings.Repeat("x", 100*(n+1)))
		}
		_, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n")
		return err == nil
	})
	for range 10 {
		status := agent.do(agenttest.NewRequest(agent.addr, "order", "some body")).Status
		agenttest.WantStatus(t, status, http.StatusOK)
	}
	const budget = int64(192) << 20 / 6
	// A handler releases its bytes only after it has sent the last byte of the response.
	agenttest.WaitUntil(t, "both budgets are completely free", func() bool {
		requests, responses := agent.bodyBudgets()[0], agent.bodyBudgets()[1]
		return requests.TryAcquire(budget) && responses.TryAcquire(budget)
	})
}
