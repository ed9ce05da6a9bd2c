package membershiptest

import (
	"slices"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
)

// TestCheckerFindsEachBrokenRule breaks one rule at a time in a history that keeps them all.
func TestCheckerFindsEachBrokenRule(t *testing.T) {
	t0 := time.UnixMicro(1_000_000_000)
	at := func(s int) int64 { return t0.Add(time.Duration(s) * time.Second).UnixMicro() }
	incarnations := []*ProcessIncarnation{
		{Name: "b", Process: "b1", Start: t0, End: t0.Add(5 * time.Second)},
		{Name: "b", Process: "b2", Start: t0.Add(7 * time.Second)},
		{Name: "c", Process: "c1", Start: t0},
		{Name: "d", Process: "d1", Start: t0, End: t0.Add(4 * time.Second), Left: true},
	}
	const alive, suspect, dead, left = membership.Alive, membership.Suspect, membership.Dead, membership.Left
	valid := func() []membership.Change {
		return []membership.Change{
			{Number: 1, UnixUs: at(1), Name: "b", Process: "b1", To: alive, Incarnation: 3},
			{Number: 1, UnixUs: at(1), Name: "c", Process: "c1", To: alive, Incarnation: 3},
			{Number: 2, UnixUs: at(2), Name: "c", Process: "c1", From: alive, To: suspect, Incarnation: 3},
			{Number: 3, UnixUs: at(3), Name: "c", Process: "c1", From: suspect, To: alive, Incarnation: 4},
			{Number: 4, UnixUs: at(4), Name: "d", Process: "d1", From: alive, To: left, Incarnation: 2},
			{Number: 5, UnixUs: at(6), Name: "b", Process: "b1", From: alive, To: dead, Incarnation: 3},
			{Number: 6, UnixUs: at(8), Name: "b", Process: "b2", To: alive, Incarnation: 9},
			{Number: 7, UnixUs: at(9), Name: "c", Process: "c1", From: alive, To: dead, Incarnation: 4},
		}
	}
	partition := Exemption{
		From: t0.Add(8 * time.Second),
		To:   t0.Add(10 * time.Second),
		Pair: func(observer, member string) bool { return observer == "a" && member == "c" },
	}
	check := func(changes []membership.Change, exemptions ...Exemption) []Rule {
		var rules []Rule
		records := []*Record{{Observer: "a", Process: "a1", Changes: changes}}
		for _, violation := range Check(incarnations, records, exemptions) {
			rules = append(rules, violation.Rule)
		}
		return rules
	}
	if got := check(valid(), partition); got != nil {
		t.Fatalf("a history that keeps the rules breaks %v", got)
	}
	for _, test := range []struct {
		name    string
		rule    Rule
		breakIt func(c []membership.Change)
	}{
		{"a number is skipped", RuleNumber, func(c []membership.Change) { c[7].Number = 9 }},
		{"an incarnation decreases", RuleIncarnation, func(c []membership.Change) { c[3].Incarnation = 2 }},
		{"a replaced process returns", RuleReturn, func(c []membership.Change) {
			c[7].Name, c[7].Process, c[7].To = "b", "b1", suspect
		}},
		{"an earlier process replaces a later one", RuleReturn, func(c []membership.Change) {
			c[0].Process, c[6].Process = "b2", "b1"
		}},
		{"a leaver is suspected", RuleLeaver, func(c []membership.Change) {
			c[5].Name, c[5].Process, c[5].To = "d", "d1", suspect
		}},
		{"a running process is declared dead", RuleFalseDeath, func(c []membership.Change) { c[5].UnixUs = at(4) }},
	} {
		changes := valid()
		test.breakIt(changes)
		if got := check(changes, partition); !slices.Contains(got, test.rule) {
			t.Errorf("%s: the checker found %v, want %q", test.name, got, test.rule)
		}
	}
	if got := check(valid()); !slices.Equal(got, []Rule{RuleFalseDeath}) {
		t.Errorf("without its exemption the death across the partition is %v", got)
	}
}
