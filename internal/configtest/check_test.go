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
			Writes: []Write{{Mark: 101, Version: 10, Acked: at(10)}, {Mark: 102, Version: 12, Acked: at(40)}, {Mark: 103}, {Mark: 104, Version: 20, Acked: at(60)}},
			Kept:   []Kept{{10, 101}, {12, 102}, {15, 103}, {20, 104}},
			Lives: []*Life{
				{Agent: "a1", From: at(0), Seen: []Seen{{At: at(11), Version: 10, Mark: 101}, {At: at(41), Version: 12, Mark: 102}, {At: at(50), Version: 15, Mark: 103}, {At: at(61), Version: 20, Mark: 104}}},
				{Agent: "a2", From: at(0), To: at(30), Seen: []Seen{{At: at(20.9), Version: 10, Mark: 101}}},
				{Agent: "a2", From: at(35), Seen: []Seen{{At: at(36), Version: 10, Mark: 101}, {At: at(41), Version: 12, Refused: true}, {At: at(62), Version: 20, Mark: 104}}},
				{Agent: "a3", From: at(0), Seen: []Seen{{At: at(9.9), Version: 10, Mark: 101}, {At: at(79), Version: 20, Mark: 104}}},
			},
			Excuses: []Excuse{{From: at(39), To: at(70), Agents: []string{"a3"}}},
		}
	}
	if found := Check(good(), 11*time.Second); len(found) > 0 {
		t.Fatalf("a good history breaks rules: %v", found)
	}
	for name, c := range map[string]struct {
		rule string
		seed func(h *History)
	}{
		"a version that goes back":                  {"back", func(h *History) { h.Lives[0].Seen[2].Version, h.Lives[0].Seen[2].Mark = 10, 101 }},
		"the same version again":                    {"back", func(h *History) { h.Lives[0].Seen[2] = h.Lives[0].Seen[1] }},
		"in force what was never accepted":          {"unaccepted", func(h *History) { h.Lives[0].Seen[2].Version = 16 }},
		"in force other settings than were written": {"unaccepted", func(h *History) { h.Lives[0].Seen[2].Mark = 107 }},
		"an agent that lacks the last":              {"late", func(h *History) { h.Lives[0].Seen = h.Lives[0].Seen[:3] }},
		"an agent that has nothing":                 {"late", func(h *History) { h.Lives[3].Seen = nil }},
		"a change that comes too late":              {"late", func(h *History) { h.Lives[0].Seen[3].At = at(71.1) }},
		"a change too late after an excuse":         {"late", func(h *History) { h.Lives[3].Seen[1].At = at(81.1) }},
		"a restarted agent without settings":        {"late", func(h *History) { h.Lives[2].Seen = h.Lives[2].Seen[2:] }},
		"an acknowledged change that is lost":       {"lost", func(h *History) { h.Kept = append(h.Kept[:1:1], h.Kept[2:]...) }},
		"one version of two changes":                {"order", func(h *History) { h.Writes[3].Version, h.Writes[3].Mark = 12, 104 }},
	} {
		h := good()
		c.seed(h)
		rules := map[string]bool{}
		for _, v := range Check(h, 11*time.Second) {
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
