package configtest

import (
	"testing"
	"time"
)

// TestCheckerFindsSeededBugs breaks each rule in a history that keeps all of them.
func TestCheckerFindsSeededBugs(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	good := func() *History {
		return &History{
			Writes: []Write{{Marker: 101, Version: 10, AckedAt: at(10)}, {Marker: 102, Version: 12, AckedAt: at(40)}, {Marker: 103}, {Marker: 104, Version: 20, AckedAt: at(60)}},
			Stored: []StoredVersion{{10, 101}, {12, 102}, {15, 103}, {20, 104}},
			Incarnations: []*ProcessIncarnation{
				{Agent: "a1", From: at(0), Observations: []Observation{{At: at(11), Version: 10, Marker: 101}, {At: at(41), Version: 12, Marker: 102}, {At: at(50), Version: 15, Marker: 103}, {At: at(61), Version: 20, Marker: 104}}},
				{Agent: "a2", From: at(0), To: at(30), Observations: []Observation{{At: at(20.9), Version: 10, Marker: 101}}},
				{Agent: "a2", From: at(35), Observations: []Observation{{At: at(36), Version: 10, Marker: 101}, {At: at(41), Version: 12, Refused: true}, {At: at(62), Version: 20, Marker: 104}}},
				{Agent: "a3", From: at(0), Observations: []Observation{{At: at(9.9), Version: 10, Marker: 101}, {At: at(79), Version: 20, Marker: 104}}},
			},
			Exemptions: []Exemption{{From: at(39), To: at(70), Agents: []string{"a3"}}},
		}
	}
	if found := Check(good(), 11*time.Second); len(found) > 0 {
		t.Fatalf("a good history breaks rules: %v", found)
	}
	for name, c := range map[string]struct {
		rule string
		seed func(history *History)
	}{
		"a version that goes back": {"back", func(history *History) {
			history.Incarnations[0].Observations[2].Version, history.Incarnations[0].Observations[2].Marker = 10, 101
		}},
		"the same version again": {"back", func(history *History) {
			history.Incarnations[0].Observations[2] = history.Incarnations[0].Observations[1]
		}},
		"in force what was never accepted":          {"unaccepted", func(history *History) { history.Incarnations[0].Observations[2].Version = 16 }},
		"in force other settings than were written": {"unaccepted", func(history *History) { history.Incarnations[0].Observations[2].Marker = 107 }},
		"an agent that lacks the last": {"late", func(history *History) {
			history.Incarnations[0].Observations = history.Incarnations[0].Observations[:3]
		}},
		"an agent that has nothing":         {"late", func(history *History) { history.Incarnations[3].Observations = nil }},
		"a change that comes too late":      {"late", func(history *History) { history.Incarnations[0].Observations[3].At = at(71.1) }},
		"a change too late after an excuse": {"late", func(history *History) { history.Incarnations[3].Observations[1].At = at(81.1) }},
		"a restarted agent without settings": {"late", func(history *History) {
			history.Incarnations[2].Observations = history.Incarnations[2].Observations[2:]
		}},
		"an acknowledged change that is lost": {"lost", func(history *History) { history.Stored = append(history.Stored[:1:1], history.Stored[2:]...) }},
		"one version of two changes":          {"order", func(history *History) { history.Writes[3].Version, history.Writes[3].Marker = 12, 104 }},
	} {
		history := good()
		c.seed(history)
		rules := map[string]bool{}
		for _, v := range Check(history, 11*time.Second) {
			rules[v.Rule] = true
		}
		if !rules[c.rule] {
			t.Errorf("%s: the checker found %v, want %q", name, rules, c.rule)
		}
	}
	if took := good().Delays(at(0)); len(took) != 8 || took[0] != 0 || took[7] != 10900*time.Millisecond {
		t.Errorf("delays %v", took)
	}
}
