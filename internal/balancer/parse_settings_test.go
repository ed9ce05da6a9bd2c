package balancer

import (
	"strings"
	"testing"
)

// Unknown keys are ignored; text that is no JSON, or a value of a wrong type, is an error.
func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(
		`{"classes": [{"name": "x", "aimMs": 5, "effect": "free", "novel": 1}], "roundMs": 5, "strange": {}}`))
	if err != nil || len(s.Classes) != 1 || s.Classes[0].LatencyObjectiveMs != 5 || s.RoundTripMs != 5 {
		t.Errorf("%+v, %v", s, err)
	}
	if _, err := ParseSettings([]byte("classes:")); err == nil {
		t.Error("no JSON, and no error")
	}
	if _, err := ParseSettings([]byte(`{"roundMs": "five"}`)); err == nil || !strings.Contains(err.Error(), "roundMs") {
		t.Errorf("error %v does not name roundMs", err)
	}
}
