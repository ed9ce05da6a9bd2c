package processtest

import (
	"encoding/json"
	"os"
	"testing"
	"time"
)

func TestQuantile(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4}
	for q, want := range map[float64]time.Duration{0: 1, 0.5: 3, 0.99: 4, 1: 4} {
		if got := Quantile(sorted, q); got != want {
			t.Errorf("quantile %g is %d, want %d", q, got, want)
		}
	}
	if got := Quantile([]float64(nil), 0.5); got != 0 {
		t.Errorf("the quantile of no values is %g, want 0", got)
	}
}

func TestProcessUsageOfThisProcess(t *testing.T) {
	usage, err := ProcessUsage(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if usage.RSS == 0 || usage.Descriptors == 0 || usage.Threads == 0 {
		t.Errorf("%+v", usage)
	}
}

func TestAgentSettingsLeaveOutUnsetKeys(t *testing.T) {
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
