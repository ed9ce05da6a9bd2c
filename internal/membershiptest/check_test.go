package membershiptest

import (
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/membership"
)

// TestCheckerFindsEachBrokenRule seeds one bug a rule in a history that keeps them all.
func TestCheckerFindsEachBrokenRule(t *testing.T) {
	t0 := time.UnixMicro(1_000_000_000)
	at := func(s int) int64 { return t0.Add(time.Duration(s) * time.Second).UnixMicro() }
	lives := []*ProcessIncarnation{{Name: "b", Process: "b1", Start: t0, End: t0.Add(5 * time.Second)},
		{Name: "b", Process: "b2", Start: t0.Add(7 * time.Second)},
		{Name: "c", Process: "c1", Start: t0}, {Name: "d", Process: "d1", Start: t0, End: t0.Add(4 * time.Second), Left: true}}
	kept := func() []membership.Change {
		return []membership.Change{
			{Number: 1, UnixUs: at(1), Name: "b", Process: "b1", To: membership.Alive, Incarnation: 3},
			{Number: 1, UnixUs: at(1), Name: "c", Process: "c1", To: membership.Alive, Incarnation: 3},
			{Number: 2, UnixUs: at(2), Name: "c", Process: "c1", From: membership.Alive, To: membership.Suspect, Incarnation: 3},
			{Number: 3, UnixUs: at(3), Name: "c", Process: "c1", From: membership.Suspect, To: membership.Alive, Incarnation: 4},
			{Number: 4, UnixUs: at(4), Name: "d", Process: "d1", From: membership.Alive, To: membership.Left, Incarnation: 2},
			{Number: 5, UnixUs: at(6), Name: "b", Process: "b1", From: membership.Alive, To: membership.Dead, Incarnation: 3},
			{Number: 6, UnixUs: at(8), Name: "b", Process: "b2", To: membership.Alive, Incarnation: 9},
			{Number: 7, UnixUs: at(9), Name: "c", Process: "c1", From: membership.Alive, To: membership.Dead, Incarnation: 4},
		}
	}
	cut := Exemption{From: t0.Add(8 * time.Second), To: t0.Add(10 * time.Second),
		Pair: func(observer, member string) bool { return observer == "a" && member == "c" }}
	check := func(changes []membership.Change, excuses ...Exemption) (rules []string) {
		for _, v := range Check(lives, []*Record{{Observer: "a", Process: "a1", Changes: changes}}, excuses) {
			rules = append(rules, v.Rule)
		}
		return rules
	}
	if got := check(kept(), cut); got != nil {
		t.Fatalf("a history that keeps the rules breaks %v", got)
	}
	for rule, seed := range map[string]func(c []membership.Change){
		"number":      func(c []membership.Change) { c[7].Number = 9 },
		"incarnation": func(c []membership.Change) { c[3].Incarnation = 2 },
		"return":      func(c []membership.Change) { c[7].Name, c[7].Process, c[7].To = "b", "b1", membership.Suspect },
		"return " /* of the earlier in place of the later */ : func(c []membership.Change) {
			c[0].Process, c[6].Process = "b2", "b1"
		},
		"leaver":      func(c []membership.Change) { c[5].Name, c[5].Process, c[5].To = "d", "d1", membership.Suspect },
		"false death": func(c []membership.Change) { c[5].UnixUs = at(4) },
	} {
		c := kept()
		seed(c)
		if got := check(c, cut); !slices.Contains(got, strings.TrimSpace(rule)) {
			t.Errorf("the bug seeded for %q was found as %v", rule, got)
		}
	}
	if got := check(kept()); !slices.Equal(got, []string{"false death"}) {
		t.Errorf("without its excuse the death across the cut is %v", got)
	}
}
