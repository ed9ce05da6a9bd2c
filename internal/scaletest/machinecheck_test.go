package scaletest

import (
	"context"
	"os"
	"strings"
	"testing"

	"fernbeam.example/fernbeam/internal/capacity"
)

// TestCheckMachine checks that a size that the machine can't run is rejected before anything is started, by an error of
// one line that says what the size needs.
func TestCheckMachine(t *testing.T) {
	limits := machineLimits{memoryMB: 12_000, freeMemoryMB: 12_000, descriptors: 20_000}
	for _, c := range []struct {
		hollow, real, host int
		want               string
	}{
		{20_000, 20, 500, "MB, but half of this machine's memory is 12000 MB"},
		{100, 400, 50, "need 406 processes with the runner, but only 300 are allowed"},
		{600, 20, 600, "descriptors per process, but only 20000 are allowed"},
	} {
		p := DefaultPlan()
		p.Real, p.AgentsPerHost = c.real, c.host
		err := p.checkSize(c.hollow, limits)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%+v: %v, want %s", c, err, c.want)
		}
	}
	p := DefaultPlan()
	if err := p.checkSize(400, limits); err != nil {
		t.Errorf("400 hollow agents within 12,000 MB: %v", err)
	}
	limits.freeMemoryMB = 500
	if err := p.checkSize(400, limits); err == nil || !strings.Contains(err.Error(), "but only 500 MB are free") {
		t.Errorf("with 500 MB free: %v", err)
	}
	dir := t.TempDir()
	p.Sizes = []int{50, 1_000_000}
	err := Run(context.Background(), Config{
		Plan:        p,
		Target:      &capacity.Target{},
		Directory:   dir,
		Agent:       "none",
		Discovery:   "none",
		HostCommand: []string{"none"},
		OnRun:       func(*capacity.Run) error { t.Error("a run was made"); return nil },
	})
	if err == nil || !strings.Contains(err.Error(), "1000000 hollow agents") {
		t.Errorf("a million agents: %v", err)
	}
	if left, _ := os.ReadDir(dir); len(left) > 0 {
		t.Errorf("a rejected plan left %v", left)
	}
}
