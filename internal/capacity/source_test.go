package capacity

import (
	"math"
	"slices"
	"testing"
)

func TestSelectSource(t *testing.T) {
	cpu := Metrics[slices.IndexFunc(Metrics, func(m Metric) bool { return m.Name == "processor" })]
	run := func(size int, hollowCPU, realCPU float64) *Run {
		r := validRun()
		r.Size, r.Hollow = size, size-r.Real
		r.Roles = map[Role]RoleMetrics{}
		if hollowCPU >= 0 {
			r.Roles[RoleHollow] = RoleMetrics{Count: r.Hollow, Mean: map[MetricKey]float64{CPU: hollowCPU}}
		}
		if realCPU >= 0 {
			r.Roles[RoleReal] = RoleMetrics{Count: r.Real, Mean: map[MetricKey]float64{CPU: realCPU}}
		}
		return r
	}
	for _, c := range []struct {
		runs        []*Run
		description string
		role        Role
	}{
		{nil, "not measured", RoleHollow},
		{[]*Run{run(50, -1, 1), run(50, -1, 1)}, "real; hollow not measured", RoleReal},
		{[]*Run{run(50, 1, -1)}, "hollow, not compared with real", RoleHollow},
		{[]*Run{run(50, 1, 1)}, "real; no ratio to hollow", RoleReal},
		{[]*Run{run(50, 0, 0), run(100, 0, 0)}, "hollow; both 0", RoleHollow},
		{[]*Run{run(50, 1, 1.1), run(100, 2, 1.9)}, "hollow", RoleHollow},
		{[]*Run{run(50, 1, 2), run(50, 1, 2.01), run(100, 2, 4)}, "hollow ÷ 0.499", RoleHollow},
		{[]*Run{run(50, 1, 2), run(50, 1, 2), run(100, 1, 4), run(100, 1, 4)}, "real; hollow not used", RoleReal},
	} {
		if s := selectSource(c.runs, cpu); s.Description != c.description || s.Role != c.role {
			t.Errorf("source %q, role %s; want %q, role %s", s.Description, s.Role, c.description, c.role)
		}
	}
}

// TestCorrectionWidensInterval checks that the interval includes the uncertainty of the ratio that the
// hollow agents' metrics are divided by.
func TestCorrectionWidensInterval(t *testing.T) {
	s := Source{Corrected: true, Ratio: Ratio{Mean: 0.5, Interval: Interval{0.4, 0.625}}}
	got := s.widen(Prediction{10, Interval{10, 10}})
	if got.Value != 10 || math.Abs(got.Interval.Lo-8) > 1e-9 || math.Abs(got.Interval.Hi-12.5) > 1e-9 {
		t.Errorf("%+v", got)
	}
	_, p := renderTables(t, syntheticRuns(t))
	r := p.rowNamed(t, "agent/rollout/processor")
	runs, _ := p.comparableRuns(subjectAgent, "rollout")
	plain := r.Fit.Predict(1500, changesPerAgent(runs)*1500*200).Interval
	if r.Interval.Lo >= plain.Lo || r.Interval.Hi <= plain.Hi {
		t.Errorf("%v is not wider than %v", r.Interval, plain)
	}
}
