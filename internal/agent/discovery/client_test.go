package discovery

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/agent/agenttest"
)

const (
	// responseBuffer is the capacity of the tests' response channels.
	responseBuffer = 100
	// rateMeasurementTime is how long the rate of calls is measured for.
	rateMeasurementTime = 500 * time.Millisecond
)

// If discovery stops responding to a watch, the watch is opened again on a new connection, as an idle connection may
// have failed together with the first one.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	addr, calls := agenttest.StartScriptedDiscovery(t, func(_ int, call agenttest.WatchCall) string {
		if call.Index == "" {
			return `{"version":7,"full":true,"servers":[]}`
		}
		return "" // no watch call gets a response
	})
	client := newTestClient(addr, 7, func(Response) {})
	keepWatch(t, client)
	first := agenttest.NextCall(t, calls)
	silentSince := time.Now()
	client.Fetch(t.Context()) // on another connection, which is idle afterwards
	second := agenttest.NextCall(t, calls)
	if first.Conn == second.Conn {
		t.Fatal("the fetch used the connection of the watch")
	}
	third := agenttest.NextCall(t, calls)
	if third.Index != "7" || third.Conn == first.Conn || third.Conn == second.Conn {
		t.Errorf("the call after the timeout is %+v, want index 7 on a new connection", third)
	}
	if took := time.Since(silentSince); took > agenttest.MaxNotifyDelay {
		t.Errorf("the watch was opened again too late, after %v", took)
	}
}

// After a move the full list is requested from the new address until a call succeeds, and never the changes since a
// version of the old address.
func TestMovedDiscoveryIsPolledForTheFullList(t *testing.T) {
	t.Parallel()
	old, oldCalls := agenttest.StartScriptedDiscovery(t, func(int, agenttest.WatchCall) string { return "" })
	moved, calls := agenttest.StartScriptedDiscovery(t, func(n int, _ agenttest.WatchCall) string {
		if n < 2 {
			return "no list"
		}
		return `{"version":3,"full":true,"servers":[]}`
	})
	responses := make(chan Response, responseBuffer)
	client := newTestClient(old, 41, func(response Response) { responses <- response })
	keepWatch(t, client)
	if call := agenttest.NextCall(t, oldCalls); call.Index != "41" {
		t.Errorf("the first call is %+v, want index 41, the known version", call)
	}
	client.MoveTo(moved)
	for i, want := range []string{"", "", "", "3"} {
		if call := agenttest.NextCall(t, calls); call.Index != want {
			t.Errorf("call %d has index %q, want %q", i, call.Index, want)
		}
	}
	for response := range responses {
		if response.Err == nil {
			if !response.Complete || response.List.Version != 3 {
				t.Errorf("response %+v, want the full list at version 3", response)
			}
			break
		}
	}
}

// A refused call is repeated in time, however many calls have failed before.
func TestFailedCallsAreRetriedInTime(t *testing.T) {
	t.Parallel()
	refusing := agenttest.Listen(t)
	if err := refusing.Close(); err != nil {
		t.Fatal(err)
	}
	responses := make(chan Response, responseBuffer)
	client := newTestClient(refusing.Addr().String(), 1, func(response Response) { responses <- response })
	keepWatch(t, client)
	last := time.Now()
	for range 6 { // enough for the wait to reach its maximum
		response := <-responses
		if response.Err == nil || errors.Is(response.Err, errMoved) {
			t.Fatalf("response %+v, want a failed call", response)
		}
		if wait := time.Since(last); wait > agenttest.MaxNotifyDelay-watchWait-callGrace {
			t.Errorf("a failed call was repeated too late, after %v", wait)
		}
		last = time.Now()
	}
}

// However often calls have failed, a change is known in time once discovery responds again: the longest wait leaves
// time for the call that is open when discovery stops responding to time out, and for the next call to complete.
func TestLongestWaitLeavesTimeForTheNextCall(t *testing.T) {
	const draws, failures = 300, 15
	const longestWait = agenttest.MaxNotifyDelay - (watchWait + callGrace) - callGrace
	for range draws {
		backoff := new(singleAddressBackoff)
		for failure := range failures {
			if wait := backoff.nextDelay(1); wait > longestWait {
				t.Fatalf("the wait after failure %d is %v, want %v at most", failure+1, wait, longestWait)
			}
		}
	}
}

// Discovery that answers each watch call immediately is not called in a tight loop.
func TestDiscoveryCallsAreRateLimited(t *testing.T) {
	var calls atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = io.WriteString(w, `{"version":1,"full":false,"servers":[]}`)
	}))
	defer busy.Close()
	client := newTestClient(busy.Listener.Addr().String(), 1, func(Response) {})
	ctx, cancel := context.WithTimeout(t.Context(), rateMeasurementTime)
	defer cancel()
	startedAt := time.Now()
	client.Watch(ctx)
	maxCalls := maxCallBurst + int64(maxCallsPerSecond*time.Since(startedAt).Seconds()) + 1
	if count := calls.Load(); count < 2 || count > maxCalls {
		t.Errorf("%d calls, want 2 to %d", count, maxCalls)
	}
}
