package processtest

import (
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
