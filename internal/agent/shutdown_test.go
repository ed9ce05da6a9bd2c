package agent

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// takeAllSlots leaves clients no slot for a connection until release is called, but for the
// one that Accept holds already.
func takeAllSlots(t *testing.T, a *testAgent) (release func()) {
	t.Helper()
	a.noneOpen(t) // nor does the connection that asked for /-/ready give one back later
	slots := a.front.conns.slots
	taken := int64(0)
	for slots.TryAcquire(1) {
		taken++
	}
	return func() { slots.Release(taken) }
}

// A connection that waits to be accepted when the shutdown closes the listener has come: its
// request is owed an answer, also where there was no slot for it until then.
func TestShutdownAnswersWhatWaitsToBeAccepted(t *testing.T) {
	t.Parallel()
	a, _ := one(t, serving)
	release := takeAllSlots(t, a)
	accepted := a.dial() // takes the slot that Accept holds already
	until(t, "the last slot is taken", func() bool { return a.front.conns.size() > 0 })
	waiting := a.dial()
	fmt.Fprint(waiting, timed(timeoutMs, "x"))
	a.stop()
	time.AfterFunc(linger+testDelay, release)
	if status := finalStatus(t, waiting); status != 200 && status != 503 {
		t.Errorf("answered %d", status)
	}
	accepted.Close()
}

// First requests of new connections have their answer at each moment of the shutdown, and
// those that were connected before it too.
func TestFirstRequestDuringShutdownIsAnswered(t *testing.T) {
	t.Parallel()
	a, b := one(t, serving)
	type moment struct{ dial, send time.Duration } // after the signal; 0: before it
	var ended []chan int
	begin := time.Now()
	for _, m := range []moment{{0, 50 * time.Millisecond}, {0, linger + 20*time.Millisecond},
		{0, takenFor + 100*time.Millisecond}, {0, 1500 * time.Millisecond},
		{200 * time.Millisecond, 200 * time.Millisecond}, {300 * time.Millisecond, linger},
		{300 * time.Millisecond, takenFor}, {300 * time.Millisecond, time.Second}} {
		status := make(chan int, 1)
		ended = append(ended, status)
		dial := func() {
			c := a.dial()
			time.AfterFunc(time.Until(begin.Add(m.send)), func() {
				fmt.Fprint(c, timed(timeoutMs, "x"))
				status <- c.status()
			})
		}
		if m.dial == 0 {
			dial()
		} else {
			time.AfterFunc(m.dial, dial)
		}
	}
	until(t, "those that came before are accepted", func() bool { return a.front.conns.size() >= 4 })
	a.stop()
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
	if b.count() != served {
		t.Errorf("%d arrivals, %d served", b.count(), served)
	}
}

// A connection that never brought a request ends before the process may be killed: a request
// on it could come too late to be answered.
func TestSilentConnectionsEndBeforeTheKill(t *testing.T) {
	t.Parallel()
	a := startAgent(t, newDiscoveryServer(t, target("s-1", newBackend(t, serving).addr)), func(c *Config) {
		for i := range c.Settings.Classes {
			c.Settings.Classes[i].TotalTimeoutMs = 300
		}
	})
	c := a.dial()
	until(t, "it is accepted", func() bool { return a.front.conns.size() > 0 })
	stopped := time.Now()
	a.stop()
	if n, err := io.Copy(io.Discard, c); n > 0 || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	// 0.85 s after the signal; without a request it has headTime otherwise.
	if took := time.Since(stopped); took > headTime-time.Second/2 {
		t.Errorf("ended %v after the signal", took)
	}
}
