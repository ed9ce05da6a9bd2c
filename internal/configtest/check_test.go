package configtest

import (
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// testWithin is the maximum time from the acknowledgement of a change until it is in force.
const testWithin = 11 * time.Second

// at returns the time that is the given number of seconds after the start of the valid history.
func at(seconds float64) time.Time {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// validHistory returns a history without violations.
func validHistory() *History {
	return &History{
		Writes: []Write{
			{Marker: 101, Version: 10, AckedAt: at(10)},
			{Marker: 102, Version: 12, AckedAt: at(40)},
			{Marker: 103},
			{Marker: 104, Version: 20, AckedAt: at(60)},
		},
		Stored: []StoredVersion{{10, 101}, {12, 102}, {15, 103}, {20, 104}},
		Incarnations: []*ProcessIncarnation{
			{Agent: "a1", Incarnation: processtest.Incarnation{Start: at(0)}, Observations: []Observation{
				{At: at(11), Version: 10, Marker: 101},
				{At: at(41), Version: 12, Marker: 102},
				{At: at(50), Version: 15, Marker: 103},
				{At: at(61), Version: 20, Marker: 104},
			}},
			{Agent: "a2", Incarnation: processtest.Incarnation{Start: at(0), End: at(30)}, Observations: []Observation{
				{At: at(20.9), Version: 10, Marker: 101},
			}},
			{Agent: "a2", Incarnation: processtest.Incarnation{Start: at(35)}, Observations: []Observation{
				{At: at(36), Version: 10, Marker: 101},
				{At: at(41), Version: 12, Rejected: true},
				{At: at(62), Version: 20, Marker: 104},
			}},
			{Agent: "a3", Incarnation: processtest.Incarnation{Start: at(0)}, Observations: []Observation{
				{At: at(9.9), Version: 10, Marker: 101},
				{At: at(79), Version: 20, Marker: 104},
			}},
		},
		Exemptions: []processtest.Exemption{
			{From: at(39), To: at(70), Applies: processtest.Observers("a3")},
		},
	}
}

// TestCheckerFindsSeededViolations checks that the checker accepts a valid history, and that it reports the violated
// rule after a change to that history that violates it.
func TestCheckerFindsSeededViolations(t *testing.T) {
	if violations := Check(validHistory(), testWithin); len(violations) > 0 {
		t.Fatalf("violations in a valid history: %v", violations)
	}
	observations := func(h *History, incarnation int) []Observation { return h.Incarnations[incarnation].Observations }
	for name, test := range map[string]struct {
		rule    processtest.Rule
		violate func(h *History)
	}{
		"version goes back": {RuleBack, func(h *History) {
			observations(h, 0)[2].Version, observations(h, 0)[2].Marker = 10, 101
		}},
		"same version twice": {RuleBack, func(h *History) {
			observations(h, 0)[2] = observations(h, 0)[1]
		}},
		"version in force that was never accepted": {RuleUnaccepted, func(h *History) {
			observations(h, 0)[2].Version = 16
		}},
		"settings in force differ from those written": {RuleUnaccepted, func(h *History) {
			observations(h, 0)[2].Marker = 107
		}},
		"agent lacks the last change": {RuleLate, func(h *History) {
			h.Incarnations[0].Observations = observations(h, 0)[:3]
		}},
		"agent has no change": {RuleLate, func(h *History) {
			h.Incarnations[3].Observations = nil
		}},
		"change arrives too late": {RuleLate, func(h *History) {
			observations(h, 0)[3].At = at(71.1)
		}},
		"change arrives too late after an exemption": {RuleLate, func(h *History) {
			observations(h, 3)[1].At = at(81.1)
		}},
		"restarted agent has no settings": {RuleLate, func(h *History) {
			h.Incarnations[2].Observations = observations(h, 2)[2:]
		}},
		"acknowledged change is lost": {RuleLost, func(h *History) {
			h.Stored = append(h.Stored[:1:1], h.Stored[2:]...)
		}},
		"two changes with the same version": {RuleOrder, func(h *History) {
			h.Writes[3].Version, h.Writes[3].Marker = 12, 104
		}},
	} {
		history := validHistory()
		test.violate(history)
		rules := map[processtest.Rule]bool{}
		for _, violation := range Check(history, testWithin) {
			rules[violation.Rule] = true
		}
		if !rules[test.rule] {
			t.Errorf("%s: Check reported the rules %v, want %q", name, rules, test.rule)
		}
	}
	if delays := validHistory().Delays(at(0)); len(delays) != 8 || delays[0] != 0 || delays[7] != 10900*time.Millisecond {
		t.Errorf("Delays returned %v, want 8 delays from 0 to 10.9s", delays)
	}
}
