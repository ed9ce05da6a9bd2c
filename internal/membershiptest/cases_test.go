package membershiptest

import (
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// TestFaultCases runs every case in turn on one cluster of 24 processes of the real agent, and checks the histories of
// all processes after each case.
func TestFaultCases(t *testing.T) {
	dir := t.TempDir()
	if err := processtest.Build(t.Context(), dir, "agent"); err != nil {
		t.Fatal(err)
	}
	h, err := New(Config{
		Binary: filepath.Join(dir, "agent"),
		Dir:    dir,
		Agents: 24,
		Seeds:  3,
		Seed:   1,
		Log:    t.Logf,
		Membership: membership.Config{
			ProbeIntervalMs:  150,
			SuspectTimeoutMs: 3000,
			SettleMs:         500,
			ForgetMs:         2000,
			ReclaimMs:        1000,
			ReconnectMs:      1000,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	scale := Scale{
		ShortPartition: time.Second,
		LongPartition:  12 * time.Second,
		Pause:          1200 * time.Millisecond,
		FaultTime:      3 * time.Second,
		LossTime:       5 * time.Second,
		ConvergeWithin: 60 * time.Second,
	}
	for _, c := range Cases {
		passed := t.Run(c.Name, func(t *testing.T) {
			if _, err := h.RunCase(t.Context(), c, scale); err != nil {
				t.Fatal(err)
			}
		})
		if !passed {
			return
		}
	}
}
