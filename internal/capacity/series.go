package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Figure is a line of the page: what of a role is measured, and what an agent may take of it.
type Metric struct {
	Name, Unit string
	// Rate tells that it comes with what happens, so that a hurried day's is more of it. What is
	// kept isn't: a hurried day's is taken as it is.
	Rate       bool
	agentsOnly bool     // list instances have none of it
	parts      []string // the figures of a role, summed
	factor     float64
	budget     func(*Target) float64 // of an agent; nil: none was told
}

// Figures are those of each role, in the page's order.
var Metrics = []Metric{
	{Name: "state", Unit: "entries", parts: []string{Members, Servers}, factor: 1},
	{Name: "messages", Unit: "a second", Rate: true, parts: []string{MessagesIn, MessagesOut}, factor: 1},
	{Name: "bytes", Unit: "a second", Rate: true, parts: []string{BytesIn, BytesOut}, factor: 1, budget: func(t *Target) float64 { return t.Agent.BytesPerS }},
	{Name: "of these the fleet view's", Unit: "bytes a second", Rate: true, agentsOnly: true, parts: []string{ViewBytes}, factor: 1},
	{Name: "of these discovery's", Unit: "bytes a second", Rate: true, agentsOnly: true, parts: []string{ListBytes}, factor: 1},
	{Name: "processor", Unit: "% of a core", Rate: true, parts: []string{CPU}, factor: 100, budget: func(t *Target) float64 { return 100 * t.Agent.ControlCPU }},
	{Name: "memory", Unit: "MB resident", parts: []string{ResidentMB}, factor: 1, budget: func(t *Target) float64 { return t.Agent.MemoryMB }},
	{Name: "live heap", Unit: "MB", parts: []string{HeapMB}, factor: 1},
}

// value is the figure of one run's role, its mean over the members.
func (f Metric) value(r *Run, role string) (float64, bool) {
	sum := 0.0
	for _, part := range f.parts {
		v, there := r.Roles[role].Mean[part]
		if !there {
			return 0, false
		}
		sum += v * f.factor
	}
	return sum, r.Roles[role].Count > 0
}

// Counted leaves out the runs that do not count, and of the plays of one plan, commit, day, size,
// hurry, repeat and seed all but the last.
func ValidRuns(runs []*Run) []*Run {
	type play struct {
		plan, commit, day string
		size, repeat      int
		hurry             float64
		seed              uint64
	}
	last := map[play]int{}
	key := func(r *Run) play { return play{r.Plan, r.Commit, r.Day, r.Size, r.Repeat, r.RateFactor, r.Seed} }
	for i, r := range runs {
		last[key(r)] = i
	}
	var out []*Run
	for i, r := range runs {
		if last[key(r)] == i && len(r.Invalid) == 0 {
			out = append(out, r)
		}
	}
	return out
}

// of are the runs of a day.
func runsOnDay(runs []*Run, day string) (out []*Run) {
	for _, r := range runs {
		if r.Day == day {
			out = append(out, r)
		}
	}
	return out
}

func collectPoints(runs []*Run, value func(*Run) (float64, bool)) (out []Point) {
	for _, r := range runs {
		if v, there := value(r); there {
			out = append(out, Point{Size: r.Size, Changes: float64(r.Changes) / r.Seconds, Value: v})
		}
	}
	return out
}

// Ratio is hollow agents' figure over the real ones' of the same runs: the geometric mean and its
// 95 % interval (Student's t on the logarithms).
type Ratio struct {
	Mean     float64
	Interval Interval
	Runs     int
	Stable   bool // the mean of no size is over 1.25 times another's, so that it may be told at other sizes
}

// The hollow figure stands for the real one where their ratio is between these.
const minUsableRatio, maxUsableRatio = 0.8, 1.25

// ratioOf is not ok without two runs in which both were measured and above zero.
func hollowRatio(runs []*Run, f Metric) (Ratio, bool) {
	var logs []float64
	bySize := map[int][]float64{}
	for _, r := range runs {
		hollow, there := f.value(r, RoleHollow)
		real, too := f.value(r, RoleReal)
		if there && too && hollow > 0 && real > 0 {
			l := math.Log(hollow / real)
			logs, bySize[r.Size] = append(logs, l), append(bySize[r.Size], l)
		}
	}
	if len(logs) < 2 {
		return Ratio{}, false
	}
	mean, sd := stat.MeanStdDev(logs, nil)
	n := float64(len(logs))
	half := studentQuantile(n-1) * sd / math.Sqrt(n)
	least, most := math.Inf(1), math.Inf(-1)
	for _, ls := range bySize {
		least, most = math.Min(least, stat.Mean(ls, nil)), math.Max(most, stat.Mean(ls, nil))
	}
	return Ratio{math.Exp(mean), Interval{math.Exp(mean - half), math.Exp(mean + half)}, len(logs), most-least <= math.Log(maxUsableRatio)}, true
}

// Source says which agents a figure was taken from.
type Source struct {
	Role        string
	Corrected   bool // hollow, divided by the ratio
	Description string
	Ratio       Ratio
	HasRatio    bool
}

// source chooses between hollow and real agents for a day's figure: hollow where their ratio is
// near one, hollow divided by the ratio where that is steady over the sizes and known to a quarter,
// else real.
func selectSource(runs []*Run, f Metric) Source {
	s := Source{Role: RoleHollow}
	s.Ratio, s.HasRatio = hollowRatio(runs, f)
	real := collectPoints(runs, func(r *Run) (float64, bool) { return f.value(r, RoleReal) })
	hollow := collectPoints(runs, func(r *Run) (float64, bool) { return f.value(r, RoleHollow) })
	r := s.Ratio
	switch {
	case len(hollow) == 0 && len(real) == 0:
		s.Description = "not measured"
	case len(hollow) == 0:
		s.Role, s.Description = RoleReal, "real; hollow not measured"
	case !s.HasRatio && allZero(hollow) && allZero(real) && len(real) > 0:
		s.Description = "hollow; both 0"
	case !s.HasRatio && len(real) > 0:
		s.Role, s.Description = RoleReal, "real; no ratio to hollow"
	case !s.HasRatio:
		s.Description = "hollow, not held to real"
	case r.Mean >= minUsableRatio && r.Mean <= maxUsableRatio:
		s.Description = "hollow"
	case r.Stable && r.Interval.Hi/r.Interval.Lo <= maxUsableRatio:
		s.Corrected, s.Description = true, fmt.Sprintf("hollow ÷ %s", formatNumber(r.Mean))
	default:
		s.Role, s.Description = RoleReal, "real; hollow not used"
	}
	return s
}

func allZero(points []Point) bool {
	return !slices.ContainsFunc(points, func(p Point) bool { return p.Value != 0 })
}

// points of the source's agents.
func (s Source) collectPoints(runs []*Run, f Metric) []Point {
	return collectPoints(runs, func(r *Run) (float64, bool) {
		v, there := f.value(r, s.Role)
		if s.Corrected {
			v /= s.Ratio.Mean
		}
		return v, there
	})
}

// perAgent is the rate of changes of the runs for one agent, without the hurry.
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

// hurries are by how much the days were hurried, each once.
func rateFactors(runs []*Run) []float64 {
	set := map[float64]bool{}
	for _, r := range runs {
		set[r.RateFactor] = true
	}
	return slices.Sorted(maps.Keys(set))
}
