package emulator

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestExhaustedDescriptorsAreReported checks that a run that cannot open connections has errors.
func TestExhaustedDescriptorsAreReported(t *testing.T) {
	e, err := New(Config{
		Seed:        1,
		Zones:       []string{"z"},
		Agents:      []Agent{{Name: "a", Share: 1}},
		Servers:     1,
		CellSize:    1,
		Models:      []Model{{Cores: 1, Speed: 1, Slots: 1, Queue: 100}},
		ModelShares: []float64{1},
		Classes: []Class{{
			Share:            1,
			Work:             time.Millisecond,
			LatencyObjective: time.Second,
			TotalTimeout:     time.Second,
			PriorityWeight:   1,
			Idempotency:      Idempotent,
		}},
		Rate:                100,
		Keys:                1,
		RequestTimeoutShare: 1,
		KeepAlive:           time.Minute,
		Direct:              true,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: 3, Max: limit.Max}); err != nil {
		t.Fatal(err)
	}
	result := e.Run(t.Context(), 200*time.Millisecond)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	if len(result.Errors) == 0 || !strings.Contains(result.Errors[0], "too many open files") {
		t.Errorf("errors: %v", result.Errors)
	}
}
