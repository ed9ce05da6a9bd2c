package membershiptest

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
)

// TestHardCases plays every case on one fleet of 24 agents of the real program, one after
// another; the checker judges all that the processes saw.
func TestHardCases(t *testing.T) {
	dir := t.TempDir()
	bin := filepath.Join(dir, "agent")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/agent").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	l, err := New(Config{Binary: bin, Dir: dir, N: 24, Seeds: 3, Seed: 1, Log: t.Logf,
		Fleet: membership.Config{ProbeIntervalMs: 150, SuspectTimeoutMs: 3000, SettleMs: 500, ForgetMs: 2000, ReclaimMs: 1000, ReconnectMs: 1000}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	scale := Scale{Cut: time.Second, Long: 12 * time.Second, Pause: 1200 * time.Millisecond, Faulty: 3 * time.Second,
		Loss: 5 * time.Second, Within: 60 * time.Second}
	for _, c := range Cases {
		if !t.Run(c.Name, func(t *testing.T) {
			if _, err := l.Play(c, scale); err != nil {
				t.Fatal(err)
			}
		}) {
			return
		}
	}
}
