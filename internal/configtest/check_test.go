package configtest

import (
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// testWithin is the time that a change may take.
const testWithin = 11 * time.Second

// at returns a time of the valid history, in seconds.
func at(seconds float64) time.Time {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// validHistory keeps all rules.
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

// TestCheckerFindsSeededViolations breaks each rule in a history that keeps all of them.
func TestCheckerFindsSeededViolations(t *testing.T) {
	if violations := Check(validHistory(), testWithin); len(violations) > 0 {
		t.Fatalf("a valid history breaks rules: %v", violations)
	}
	observations := func(h *History, incarnation int) []Observation { return h.Incarnations[incarnation].Observations }
	for name, test := range map[string]struct {
		rule    processtest.Rule
		breakIt func(h *History)
	}{
		"a version that goes back": {RuleBack, func(h *History) {
			observations(h, 0)[2].Version, observations(h, 0)[2].Marker = 10, 101
		}},
		"the same version twice": {RuleBack, func(h *History) {
			observations(h, 0)[2] = observations(h, 0)[1]
		}},
		"in force what was never accepted": {RuleUnaccepted, func(h *History) {
			observations(h, 0)[2].Version = 16
		}},
		"in force other settings than were written": {RuleUnaccepted, func(h *History) {
			observations(h, 0)[2].Marker = 107
		}},
		"an agent that lacks the last": {RuleLate, func(h *History) {
			h.Incarnations[0].Observations = observations(h, 0)[:3]
		}},
		"an agent that has nothing": {RuleLate, func(h *History) {
			h.Incarnations[3].Observations = nil
		}},
		"a change that comes too late": {RuleLate, func(h *History) {
			observations(h, 0)[3].At = at(71.1)
		}},
		"a change too late after an exemption": {RuleLate, func(h *History) {
			observations(h, 3)[1].At = at(81.1)
		}},
		"a restarted agent without settings": {RuleLate, func(h *History) {
			h.Incarnations[2].Observations = observations(h, 2)[2:]
		}},
		"an acknowledged change that is lost": {RuleLost, func(h *History) {
			h.Stored = append(h.Stored[:1:1], h.Stored[2:]...)
		}},
		"one version of two changes": {RuleOrder, func(h *History) {
			h.Writes[3].Version, h.Writes[3].Marker = 12, 104
		}},
	} {
		history := validHistory()
		test.breakIt(history)
		rules := map[processtest.Rule]bool{}
		for _, violation := range Check(history, testWithin) {
			rules[violation.Rule] = true
		}
		if !rules[test.rule] {
			t.Errorf("%s: the checker found %v, want %q", name, rules, test.rule)
		}
	}
	if delays := validHistory().Delays(at(0)); len(delays) != 8 || delays[0] != 0 || delays[7] != 10900*time.Millisecond {
		t.Errorf("delays %v", delays)
	}
}
