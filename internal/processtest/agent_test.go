package processtest

import (
	"encoding/json"
	"testing"
)

func TestAgentSettingsOmitUnsetKeys(t *testing.T) {
	type decoded struct {
		Index    *int
		Contract map[string]int
		Limits   struct{ MaxAttempts int }
	}
	index := 7
	for name, test := range map[string]struct {
		settings AgentSettings
		index    bool
		coldMs   int
	}{
		"service": {settings: AgentSettings{MaxAttempts: 3}},
		"agent":   {settings: AgentSettings{MaxAttempts: 3, Index: &index, SlowStartMs: 8000}, index: true, coldMs: 8000},
	} {
		text, err := json.Marshal(test.settings)
		if err != nil {
			t.Fatal(err)
		}
		var got decoded
		if err := json.Unmarshal(text, &got); err != nil {
			t.Fatal(err)
		}
		coldMs, hasColdMs := got.Contract["coldMs"]
		if (got.Index != nil) != test.index || coldMs != test.coldMs || hasColdMs != (test.coldMs != 0) {
			t.Errorf("%s: %s", name, text)
		}
		if got.Limits.MaxAttempts != test.settings.MaxAttempts {
			t.Errorf("%s: %d attempts", name, got.Limits.MaxAttempts)
		}
	}
}
