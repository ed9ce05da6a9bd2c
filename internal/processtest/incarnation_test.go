package processtest

import (
	"testing"
)

func TestClusterRecordsIncarnations(t *testing.T) {
	const name = "sleeper"
	cluster, err := New(Config{
		Binary: "/bin/sleep",
		Names:  []string{name},
		Dir:    t.TempDir(),
		Args:   func(*Cluster, string) []string { return []string{"60"} },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	for _, step := range []func(string) error{cluster.Start, cluster.Kill, cluster.Start, cluster.Term, cluster.Start} {
		if err := step(name); err != nil {
			t.Fatal(err)
		}
	}
	incarnations := cluster.Incarnations(name)
	if len(incarnations) != 3 {
		t.Fatalf("%d incarnations, want 3: %v", len(incarnations), incarnations)
	}
	killed, ended, running := incarnations[0], incarnations[1], incarnations[2]
	if !killed.EndedBefore(ended) || !ended.EndedBefore(running) || running.EndedBefore(killed) {
		t.Errorf("the incarnations are out of order: %v", incarnations)
	}
	if killed.IsRunning() || killed.Graceful || ended.IsRunning() || !ended.Graceful || !running.IsRunning() {
		t.Errorf("the killed, terminated and running incarnations are recorded as %v", incarnations)
	}
	if got := cluster.Incarnations("unknown"); got != nil {
		t.Errorf("an unknown process has incarnations %v", got)
	}
}
