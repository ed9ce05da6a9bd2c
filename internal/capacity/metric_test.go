package capacity

import (
	"slices"
	"testing"
)

func TestValidRunsKeepsLastRepeat(t *testing.T) {
	first, again, other, late := validRun(), validRun(), validRun(), validRun()
	other.Repeat, late.Repeat, late.Invalid = 2, 3, []string{"late"}
	if got := ValidRuns([]*Run{first, other, again, late}); !slices.Equal(got, []*Run{other, again}) {
		t.Errorf("got %d valid runs, want repeat 2 and the last run of repeat 1", len(got))
	}
}
