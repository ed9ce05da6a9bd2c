package capacity

import (
	"math"
	"slices"
	"testing"
)

func TestRanking(t *testing.T) {
	_, p := renderTables(t, syntheticRuns(t), "testdata/made-up-path.txt")
	ranked, unranked := p.Ranked()
	if len(ranked) < 5 || ranked[0].Name() != "in force/ordinary/settings" || ranked[1].Name() != "in force/zone/list" {
		t.Fatalf("ranked first: %v, %v", ranked[0].Name(), ranked[1].Name())
	}
	previous := math.Inf(1)
	for _, r := range ranked[2:] {
		use := r.Use()
		if !use.Known || use.Fraction > previous {
			t.Errorf("%s has use %+v, ranked after %v", r.Name(), use, previous)
		}
		previous = use.Fraction
	}
	for _, r := range unranked {
		if r.Known {
			t.Errorf("%s has a known value and is not ranked", r.Name())
		}
	}
	// Once the settings have a mechanism, they are ranked like all other rows.
	for _, r := range p.rows {
		r.Mechanism = "watch"
	}
	settings := p.rowNamed(t, "in force/ordinary/settings")
	if ranked, unranked := p.Ranked(); ranked[0].Name() != "in force/zone/list" || !slices.Contains(unranked, settings) {
		t.Errorf("with a mechanism: %s is first", ranked[0].Name())
	}
}

// TestUseOverBudgetAtMeasuredSize checks that a metric that exceeds its budget at a measured size is
// ranked without a fit.
func TestUseOverBudgetAtMeasuredSize(t *testing.T) {
	runs := []*Run{validRun()}
	runs[0].Roles[RoleReal].Mean[ResidentMB] = 128
	_, p := renderTables(t, runs)
	if r := p.rowNamed(t, "agent/quiet/memory"); r.Known || r.usageCell() != "2 at 50 already" {
		t.Errorf("%q, use %q", r.targetCell(), r.usageCell())
	}
	if ranked, _ := p.Ranked(); ranked[1].Name() != "agent/quiet/memory" {
		t.Errorf("%s is second", ranked[1].Name())
	}
}
