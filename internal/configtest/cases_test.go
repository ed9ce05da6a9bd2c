package configtest

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// TestFaultCases runs every case on one harness with three discovery instances and 12 agents, all of them processes of
// the real programs. With CONFIGTEST_LONG=1, outages of instances and regions last 30 s instead of 6 s.
func TestFaultCases(t *testing.T) {
	dir := t.TempDir()
	if err := processtest.Build(t.Context(), dir, "agent", "discovery"); err != nil {
		t.Fatal(err)
	}
	outage := 6 * time.Second
	if os.Getenv("CONFIGTEST_LONG") != "" {
		outage = 30 * time.Second
	}
	h, err := New(Config{
		AgentBinary:     filepath.Join(dir, "agent"),
		DiscoveryBinary: filepath.Join(dir, "discovery"),
		Dir:             dir,
		Agents:          12,
		Seed:            1,
		Within:          11 * time.Second,
		Outage:          outage,
		Burst:           100,
		Log:             t.Logf,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	for _, c := range Cases {
		passed := t.Run(c.Name, func(t *testing.T) {
			if err := h.RunCase(c); err != nil {
				t.Fatal(err)
			}
		})
		if !passed {
			return
		}
	}
}
