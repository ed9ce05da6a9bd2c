package scaletest

import (
	"math"
	"math/rand/v2"
	"testing"

	"fernbeam.example/fernbeam/internal/capacity"
)

// TestTargetRates checks how the target's rate of changes and number of services are scaled to a fleet size.
func TestTargetRates(t *testing.T) {
	target, err := capacity.LoadTarget(targetFile)
	if err != nil {
		t.Fatal(err)
	}
	// The target has 4,800 changes per day with 1,500 agents. With 150 agents at 100 times the rate that is 5.6 in 10 s.
	got := expectedEvents(target, target.Changes.PerDay, 150, &Plan{Seconds: 10, RateFactor: 100})
	if math.Abs(got-5.5556) > 0.001 {
		t.Errorf("%v changes, want 5.5556", got)
	}
	for size, want := range map[int]int{1500: 150, 70: 7, 3: 1} {
		if got := servicesAt(target, size); got != want {
			t.Errorf("%d services of %d agents, want %d", got, size, want)
		}
	}
}

// TestNextChangeIsSettings checks that a plan without changes of settings draws no random number for them, and that a
// plan with a fraction of such changes draws that fraction.
func TestNextChangeIsSettings(t *testing.T) {
	f := &fleet{plan: DefaultPlan(), random: rand.New(rand.NewPCG(1, 2))}
	for _, c := range []struct {
		fraction float64
		least    int
		most     int
	}{{0, 0, 0}, {0.3, 2700, 3300}, {1, 10_000, 10_000}} {
		f.plan.SettingsFraction = c.fraction
		n := 0
		for range 10_000 {
			if f.nextChangeIsSettings() {
				n++
			}
		}
		if n < c.least || n > c.most {
			t.Errorf("fraction %v: %d of 10,000 changes are of settings", c.fraction, n)
		}
		if first := rand.New(rand.NewPCG(1, 2)).Uint64(); c.fraction == 0 && f.random.Uint64() != first {
			t.Error("a plan without changes of settings draws a random number for them")
		}
	}
}
