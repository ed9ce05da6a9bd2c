package capacity

import (
	"maps"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Metric is a metric of a role, which has one row for each load profile in the page's tables.
type Metric struct {
	Name, Unit string
	// Rate is set if the metric grows with the rate of events. A run with accelerated changes then has a
	// higher value than the target's rate of changes would give. Other metrics are not rescaled.
	Rate       bool
	agentsOnly bool                  // discovery instances don't have this metric
	parts      []MetricKey           // the recorded metrics that are summed
	factor     float64               // from the parts' unit to Unit
	budget     func(*Target) float64 // budget of an agent; nil if there is none
}

// Metrics lists the metrics of each role, in the page's order.
var Metrics = []Metric{
	{Name: "state", Unit: "entries", parts: []MetricKey{Members, Servers}, factor: 1},
	{Name: "messages", Unit: "a second", Rate: true, parts: []MetricKey{MessagesIn, MessagesOut}, factor: 1},
	{Name: "bytes", Unit: "a second", Rate: true, parts: []MetricKey{BytesIn, BytesOut}, factor: 1, budget: bytesBudget},
	{Name: "of these membership's", Unit: "bytes a second", Rate: true, agentsOnly: true,
		parts: []MetricKey{MembershipBytes}, factor: 1},
	{Name: "of these discovery's", Unit: "bytes a second", Rate: true, agentsOnly: true,
		parts: []MetricKey{DiscoveryBytes}, factor: 1},
	{Name: "processor", Unit: "% of a core", Rate: true, parts: []MetricKey{CPU}, factor: percent, budget: cpuBudget},
	{Name: "memory", Unit: "MB resident", parts: []MetricKey{ResidentMB}, factor: 1, budget: memoryBudget},
	{Name: "live heap", Unit: "MB", parts: []MetricKey{HeapMB}, factor: 1},
}

// percent converts a fraction to a percentage.
const percent = 100

// The budgets of an agent, in the units of the metrics.
func bytesBudget(t *Target) float64  { return t.Agent.BytesPerS }
func cpuBudget(t *Target) float64    { return percent * t.Agent.ControlCPU }
func memoryBudget(t *Target) float64 { return t.Agent.MemoryMB }

// value returns the mean of the metric over the members of a role in one run. It returns false if the
// metric was not measured.
func (m Metric) value(r *Run, role Role) (float64, bool) {
	sum := 0.0
	for _, part := range m.parts {
		v, ok := r.Roles[role].Mean[part]
		if !ok {
			return 0, false
		}
		sum += v * m.factor
	}
	return sum, r.Roles[role].Count > 0
}

// ValidRuns first selects the last of the runs that have the same plan, commit, profile, size, rate factor,
// repeat and seed. Of the selected runs it returns those that are not marked invalid. An invalid last run
// therefore also excludes the earlier runs, even if they are valid.
func ValidRuns(runs []*Run) []*Run {
	type identity struct {
		plan, commit string
		profile      Profile
		size, repeat int
		rateFactor   float64
		seed         uint64
	}
	identityOf := func(r *Run) identity {
		return identity{r.Plan, r.Commit, r.Profile, r.Size, r.Repeat, r.RateFactor, r.Seed}
	}
	last := map[identity]int{}
	for i, r := range runs {
		last[identityOf(r)] = i
	}
	var valid []*Run
	for i, r := range runs {
		if last[identityOf(r)] == i && len(r.Invalid) == 0 {
			valid = append(valid, r)
		}
	}
	return valid
}

// runsOfProfile returns the runs of a load profile.
func runsOfProfile(runs []*Run, profile Profile) []*Run {
	var selected []*Run
	for _, r := range runs {
		if r.Profile == profile {
			selected = append(selected, r)
		}
	}
	return selected
}

// collectPoints returns a point for each run that has a value.
func collectPoints(runs []*Run, value func(*Run) (float64, bool)) []Point {
	var points []Point
	for _, r := range runs {
		if v, ok := value(r); ok {
			points = append(points, Point{Size: r.Size, Changes: float64(r.Changes) / r.Seconds, Value: v})
		}
	}
	return points
}

// changesPerAgent returns the mean rate of changes per agent over the runs, in changes per second
// without the acceleration.
func changesPerAgent(runs []*Run) float64 {
	var rates []float64
	for _, r := range runs {
		rates = append(rates, float64(r.Changes)/r.Seconds/float64(r.Size)/r.RateFactor)
	}
	if len(rates) == 0 {
		return 0
	}
	return stat.Mean(rates, nil)
}

// rateFactors returns the distinct rate factors of the runs in ascending order.
func rateFactors(runs []*Run) []float64 {
	factors := map[float64]bool{}
	for _, r := range runs {
		factors[r.RateFactor] = true
	}
	return slices.Sorted(maps.Keys(factors))
}

// runsWithRateFactor returns the runs with the given rate factor.
func runsWithRateFactor(runs []*Run, factor float64) []*Run {
	return slices.DeleteFunc(slices.Clone(runs), func(r *Run) bool { return r.RateFactor != factor })
}

// mostCommonRateFactor returns the runs with the most common rate factor, and that factor. If several
// factors are equally common, it selects the smallest.
func mostCommonRateFactor(runs []*Run) ([]*Run, float64) {
	factor := 1.0
	most := 0
	for _, candidate := range rateFactors(runs) {
		if n := len(runsWithRateFactor(runs, candidate)); n > most {
			factor = candidate
			most = n
		}
	}
	return runsWithRateFactor(runs, factor), factor
}
