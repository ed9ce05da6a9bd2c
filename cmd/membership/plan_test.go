package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An error about a plan names the key.
func TestLoadPlanErrorsNameTheKey(t *testing.T) {
	for text, key := range map[string]string{
		"agentz = 5":            "agentz",
		"agents = 4":            "agents",
		"seeds = 24":            "seeds",
		"runs = -1":             "runs",
		`cases = ["no such"]`:   "cases",
		"pause = \"two hours\"": "pause",
	} {
		path := filepath.Join(t.TempDir(), "plan.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := loadPlan(path); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v does not name %s", text, err, key)
		}
	}
}
