package emulator

import (
	"context"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// watchPause is a time after which a watch has usually started to wait. Each round of the test adds another one.
	watchPause = 20 * time.Millisecond
	// answerTimeout bounds the wait for an answer that is due immediately.
	answerTimeout = time.Second
)

// TestOutageDoesNotDelayEarlierChange checks that a waiting watch gets a change that has reached the agent's view, even
// if an outage begins at that moment, because the agent already counts as notified. The test can't tell whether the
// watch is waiting yet, so it makes several attempts. One answered watch is enough: without the rule, none is answered.
func TestOutageDoesNotDelayEarlierChange(t *testing.T) {
	const rounds = 10
	for round := range rounds {
		if isAnsweredInOutage(t, watchPause*time.Duration(round+1)) {
			return
		}
	}
	t.Errorf("no watch was answered during an outage in %d rounds", rounds)
}

// isAnsweredInOutage opens a watch, publishes a removal after a pause, and begins an outage before the watch can see
// the removal. It reports whether the watch is answered.
func isAnsweredInOutage(t *testing.T, pause time.Duration) bool {
	t.Helper()
	list := newEndpointList(&Emulator{config: smallConfig(), startTime: time.Now()})
	view := &agentView{agent: "a001", entries: map[string]listEntry{}, changed: make(chan struct{})}
	ctx, stop := context.WithTimeout(t.Context(), pause+answerTimeout)
	defer stop()
	answered := make(chan bool, 1)
	go func() {
		answer, ok := list.awaitList(ctx, view, listQuery{watch: true, wait: time.Minute})
		answered <- ok && len(answer.Servers) == 1
	}()
	time.Sleep(pause)
	list.mu.Lock()
	list.version++
	list.schedule(view, endpoint.Endpoint{ID: "s-1", State: endpoint.StateRemoved}, 0)
	list.restored = make(chan struct{})
	list.mu.Unlock()
	if len(list.removals) != 1 {
		t.Fatalf("removal notifications: %+v, want one", list.removals)
	}
	return <-answered
}
