package membershiptest

import (
	"slices"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
	"fernbeam.example/fernbeam/internal/processtest"
)

// startTime is the start of the valid history.
var startTime = time.UnixMicro(1_000_000_000)

// at returns the time that is the given number of seconds after the start of the valid history.
func at(seconds int) time.Time { return startTime.Add(time.Duration(seconds) * time.Second) }

// unixUs returns the same time as at in the format of membership.Change.UnixUs.
func unixUs(seconds int) int64 { return at(seconds).UnixMicro() }

// testIncarnations returns the incarnations of the processes in the valid history.
func testIncarnations() []*ProcessIncarnation {
	return []*ProcessIncarnation{
		{Name: "b", Process: "b1", Incarnation: processtest.Incarnation{Start: at(0), End: at(5)}},
		{Name: "b", Process: "b2", Incarnation: processtest.Incarnation{Start: at(7)}},
		{Name: "c", Process: "c1", Incarnation: processtest.Incarnation{Start: at(0)}},
		{Name: "d", Process: "d1", Incarnation: processtest.Incarnation{Start: at(0), End: at(4), Graceful: true}},
	}
}

// validChanges returns changes without violations, given partition as an exemption.
func validChanges() []membership.Change {
	const alive, suspect, dead, left = membership.Alive, membership.Suspect, membership.Dead, membership.Left
	return []membership.Change{
		{Number: 1, UnixUs: unixUs(1), Name: "b", Process: "b1", To: alive, Incarnation: 3},
		{Number: 1, UnixUs: unixUs(1), Name: "c", Process: "c1", To: alive, Incarnation: 3},
		{Number: 2, UnixUs: unixUs(2), Name: "c", Process: "c1", From: alive, To: suspect, Incarnation: 3},
		{Number: 3, UnixUs: unixUs(3), Name: "c", Process: "c1", From: suspect, To: alive, Incarnation: 4},
		{Number: 4, UnixUs: unixUs(4), Name: "d", Process: "d1", From: alive, To: left, Incarnation: 2},
		{Number: 5, UnixUs: unixUs(6), Name: "b", Process: "b1", From: alive, To: dead, Incarnation: 3},
		{Number: 6, UnixUs: unixUs(8), Name: "b", Process: "b2", To: alive, Incarnation: 9},
		{Number: 7, UnixUs: unixUs(9), Name: "c", Process: "c1", From: alive, To: dead, Incarnation: 4},
	}
}

// partition exempts the death of c for the observer a.
var partition = processtest.Exemption{
	From:    at(8),
	To:      at(10),
	Applies: func(observer, member string) bool { return observer == "a" && member == "c" },
}

// violatedRules returns the rules that the given changes, as seen by the observer a, violate.
func violatedRules(changes []membership.Change, exemptions ...processtest.Exemption) []processtest.Rule {
	var rules []processtest.Rule
	records := []*Record{{Observer: "a", Process: "a1", Changes: changes}}
	for _, violation := range Check(testIncarnations(), records, exemptions) {
		rules = append(rules, violation.Rule)
	}
	return rules
}

// TestCheckerFindsEachViolatedRule checks that the checker accepts a valid history, and that it reports the violated
// rule after a change to that history that violates it.
func TestCheckerFindsEachViolatedRule(t *testing.T) {
	if got := violatedRules(validChanges(), partition); got != nil {
		t.Fatalf("violations in a valid history: %v", got)
	}
	for _, test := range []struct {
		name    string
		rule    processtest.Rule
		violate func(c []membership.Change)
	}{
		{"a number is skipped", RuleNumber, func(c []membership.Change) { c[7].Number = 9 }},
		{"an incarnation decreases", RuleIncarnation, func(c []membership.Change) { c[3].Incarnation = 2 }},
		{"a replaced process returns", RuleReturn, func(c []membership.Change) {
			c[7].Name, c[7].Process, c[7].To = "b", "b1", membership.Suspect
		}},
		{"an earlier process replaces a later one", RuleReturn, func(c []membership.Change) {
			c[0].Process, c[6].Process = "b2", "b1"
		}},
		{"a leaver is suspected", RuleLeaver, func(c []membership.Change) {
			c[5].Name, c[5].Process, c[5].To = "d", "d1", membership.Suspect
		}},
		{"a running process is declared dead", RuleFalseDeath, func(c []membership.Change) { c[5].UnixUs = unixUs(4) }},
	} {
		changes := validChanges()
		test.violate(changes)
		if got := violatedRules(changes, partition); !slices.Contains(got, test.rule) {
			t.Errorf("%s: Check reported the rules %v, want %q", test.name, got, test.rule)
		}
	}
	if got := violatedRules(validChanges()); !slices.Equal(got, []processtest.Rule{RuleFalseDeath}) {
		t.Errorf("without its exemption, the death across the partition violates %v, want only the rule on false deaths", got)
	}
}
