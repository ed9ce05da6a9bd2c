package balancer

import (
	"strings"
	"testing"
)

// Unknown keys are ignored; invalid JSON and a value of the wrong type are errors.
func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(
		`{"classes": [{"name": "x", "aimMs": 5, "effect": "free", "novel": 1}], "roundMs": 5, "strange": {}}`))
	if err != nil || len(s.Classes) != 1 || s.Classes[0].LatencyObjectiveMs != 5 || s.RoundTripMs != 5 {
		t.Errorf("settings with unknown keys: got %+v, error %v", s, err)
	}
	if _, err := ParseSettings([]byte("classes:")); err == nil {
		t.Error("no error for invalid JSON")
	}
	if _, err := ParseSettings([]byte(`{"roundMs": "five"}`)); err == nil || !strings.Contains(err.Error(), "roundMs") {
		t.Errorf("got error %v, want one that names roundMs", err)
	}
}
