package capacity

import (
	"slices"
	"testing"
)

func TestValidRunsKeepsLastRepeat(t *testing.T) {
	first, again, other, invalid := validRun(), validRun(), validRun(), validRun()
	other.Repeat, invalid.Repeat, invalid.Invalid = 2, 3, []string{"late"}
	if got := ValidRuns([]*Run{first, other, again, invalid}); !slices.Equal(got, []*Run{other, again}) {
		t.Errorf("got %d valid runs, want repeat 2 and the last run of repeat 1", len(got))
	}
}
