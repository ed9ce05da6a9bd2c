package capacity

import (
	"path/filepath"
	"testing"
)

func TestPlanArgument(t *testing.T) {
	file := writeFile(t, "plan.toml", "name = \"two\"\nsizes = [1]\n")
	record := filepath.Join(filepath.Dir(file), "r.jsonl")
	for plan, want := range map[string]string{"two": file, "small": "--small", "three": "three.toml"} {
		if got := planArgument(record, plan); got != want {
			t.Errorf("%q is %q, want %q", plan, got, want)
		}
	}
}
