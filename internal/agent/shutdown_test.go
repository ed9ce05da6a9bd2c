package agent

import (
	"fmt"
	"io"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/downstream"
)

// takeAllSlots leaves clients no slot for a connection until release is called, except for the one that
// Accept has already.
func takeAllSlots(t *testing.T, agent *testAgent) (release func()) {
	t.Helper()
	agent.wantNoneOpen(t) // nor does the connection that asked for /-/ready give one back later
	slots := agent.downstream.ConnSlots()
	taken := int64(0)
	for slots.TryAcquire(1) {
		taken++
	}
	return func() { slots.Release(taken) }
}

// A connection that waits to be accepted when the shutdown closes the listener has arrived: its request must
// be answered, also where there was no slot for it until then.
func TestShutdownAnswersTheAcceptQueue(t *testing.T) {
	t.Parallel()
	agent, _ := startWithServer(t, agenttest.RespondOK)
	release := takeAllSlots(t, agent)
	accepted := agent.dialKept() // takes the slot that Accept holds already
	agenttest.WaitUntil(t, "the last slot is taken", func() bool { return agent.downstream.OpenConns() > 0 })
	waiting := agent.dialKept()
	fmt.Fprint(waiting, timedRequest(timeoutMs, "x"))
	agent.stop()
	time.AfterFunc(downstream.DrainAcceptTime+testDelay, release)
	if status := agenttest.FinalStatus(t, waiting); status != 200 && status != 503 {
		t.Errorf("answered %d", status)
	}
	accepted.Close()
}

// First requests of new connections have their response at each moment of the shutdown, and those of earlier
// connections too.
func TestFirstRequestDuringShutdownIsAnswered(t *testing.T) {
	t.Parallel()
	agent, server := startWithServer(t, agenttest.RespondOK)
	type moment struct{ dial, send time.Duration } // after the signal; 0: before it
	var ended []chan int
	begin := time.Now()
	for _, m := range []moment{{0, 50 * time.Millisecond}, {0, downstream.DrainAcceptTime + 20*time.Millisecond},
		{0, downstream.ShutdownAdmitTime + 100*time.Millisecond}, {0, 1500 * time.Millisecond},
		{200 * time.Millisecond, 200 * time.Millisecond}, {300 * time.Millisecond, downstream.DrainAcceptTime},
		{300 * time.Millisecond, downstream.ShutdownAdmitTime}, {300 * time.Millisecond, time.Second}} {
		status := make(chan int, 1)
		ended = append(ended, status)
		dial := func() {
			client := agent.dialKept()
			time.AfterFunc(time.Until(begin.Add(m.send)), func() {
				fmt.Fprint(client, timedRequest(timeoutMs, "x"))
				status <- client.Status()
			})
		}
		if m.dial == 0 {
			dial()
		} else {
			time.AfterFunc(m.dial, dial)
		}
	}
	agenttest.WaitUntil(t, "those that came before are accepted", func() bool { return agent.downstream.OpenConns() >= 4 })
	agent.stop()
	served := 0
	for i, status := range ended {
		switch got := <-status; got {
		case 200:
			served++
		case 503:
		default:
			t.Errorf("connection %d: answered %d", i, got)
		}
	}
	if server.Count() != served {
		t.Errorf("%d arrivals, %d served", server.Count(), served)
	}
}

// A connection that never brought a request is closed before the process may be killed: a request on it could
// come too late to be answered.
func TestSilentConnectionsCloseBeforeTheKill(t *testing.T) {
	t.Parallel()
	agent := startAgent(t, agenttest.NewDiscovery(t, agenttest.Endpoint("s-1", agenttest.NewServer(t, agenttest.RespondOK).Addr)), func(cfg *config.Config) {
		for i := range cfg.Settings.Classes {
			cfg.Settings.Classes[i].TotalTimeoutMs = 300
		}
	})
	client := agent.dialKept()
	agenttest.WaitUntil(t, "it is accepted", func() bool { return agent.downstream.OpenConns() > 0 })
	stopped := time.Now()
	agent.stop()
	if n, err := io.Copy(io.Discard, client); n > 0 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	// 0.85 s after the signal; without a request it has headTime otherwise.
	if took := time.Since(stopped); took > downstream.RequestHeadTimeout-time.Second/2 {
		t.Errorf("ended %v after the signal", took)
	}
}
