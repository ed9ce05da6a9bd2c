package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/membershiptest"
)

// TestLoadPlanErrorsNameTheKey checks that the error about an invalid plan names the key that is invalid.
func TestLoadPlanErrorsNameTheKey(t *testing.T) {
	for text, key := range map[string]string{
		"agentz = 5":            "agentz",
		"agents = 4":            "agents",
		"seeds = 24":            "seeds",
		"runs = -1":             "runs",
		"seeds = 0":             "seeds",
		`cases = ["no such"]`:   "cases",
		"pause = \"two hours\"": "pause",
	} {
		path := filepath.Join(t.TempDir(), "plan.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := loadPlan(path); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("plan %q: error %v does not name the key %s", text, err, key)
		}
	}
}

// TestLoadPlanReadsTimes checks that the keys for times set the right fields, and that times without a key keep their
// defaults.
func TestLoadPlanReadsTimes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.toml")
	text := "cut = \"1s\"\nlong = \"2s\"\npause = \"3ms\"\nfaulty = \"4s\"\nwithin = \"6s\"\nprobe_interval = \"7ms\""
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := loadPlan(path)
	if err != nil {
		t.Fatal(err)
	}
	want := membershiptest.Scale{
		ShortPartition: time.Second,
		LongPartition:  2 * time.Second,
		Pause:          3 * time.Millisecond,
		FaultTime:      4 * time.Second,
		LossTime:       defaultLossTime,
		ConvergeWithin: 6 * time.Second,
	}
	if got.Scale != want || got.ProbeInterval != 7*time.Millisecond || got.Forget != defaultForget {
		t.Errorf("loadPlan returned %+v, want the times of the file and defaults for the others", got)
	}
}
