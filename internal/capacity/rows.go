package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Row is one need of the page: a figure of a subject on a day, what it comes to at the target,
// what it may, and what carries it.
type Row struct {
	Subject, Day, Metric, Unit string
	Budget                     float64 // 0: none was told
	Mechanism                  string
	RequiredDaily              bool // a need of every ordinary day that has to be carried by something

	Known           bool // Value is one at the target
	Value           float64
	Interval        Interval
	Extrapolated    bool
	UnknownReason   string  // there is none at the target
	LargestSize     int     // the largest size measured, and the mean there; 0: none
	LargestSizeMean float64 //
	NeverInForce    int64   // pairs of change and agent that it never came to
	Fit             *Fit
	Runs            int
	Source          string // agents and day that it was taken from
}

// Name is what mechanisms name the row by.
func (r *Row) Name() string { return r.Subject + "/" + r.Day + "/" + r.Metric }

// Carried tells whether anything carries it.
func (r *Row) HasMechanism() bool { return r.Mechanism != noMechanism }

// Use is the part of the budget that is used: at the target, or where it is over the budget at the
// largest size already, there (and then the size is given).
func (r *Row) Use() (use float64, at int, ok bool) {
	switch {
	case r.Budget <= 0:
		return 0, 0, false
	case r.Known:
		return r.Value / r.Budget, 0, true
	case r.LargestSize > 0 && r.LargestSizeMean > r.Budget:
		return r.LargestSizeMean / r.Budget, r.LargestSize, true
	}
	return 0, 0, false
}

// The subjects of rows.
const (
	subjectAgent    = "agent"
	subjectInForce  = "in force"
	subjectDataPath = "data path"
)

// Page is all that the tables hold.
type Page struct {
	Target        *Target
	Mechanisms    *Mechanisms
	Records       []Record
	Runs          []*Run // of all records, counted
	firstPlanRuns []*Run // of these the plan's that comes first: roles are not told from plans mixed
	Benches       []*BenchmarkFile
	Command       string // that prints the page

	rows []*Row
}

// Record is one file of runs.
type Record struct {
	Path string
	Runs []*Run // as read

	valid []*Run
}

// agentDays and listDays are the days that the page has for a role.
var (
	agentDays     = []string{"quiet", "ordinary", "rollout", "zone", "region"}
	discoveryDays = []string{"quiet", "ordinary", "rollout", "zone", "region", "control"}
	inForceDays   = []string{"ordinary", "rollout", "zone", "region", "control"}
	changeKinds   = []string{"settings", "list"}
)

// NewPage makes the rows of records, benchmarks and mechanisms; what is missing makes rows that
// say so. The error is a mechanism that names no row.
func NewPage(t *Target, m *Mechanisms, records []Record, benches []*BenchmarkFile) (*Page, error) {
	p := &Page{Target: t, Mechanisms: m, Benches: benches}
	for _, rec := range records {
		rec.valid = ValidRuns(rec.Runs)
		p.Runs = append(p.Runs, rec.valid...)
		p.Records = append(p.Records, rec)
	}
	p.firstPlanRuns = slices.DeleteFunc(slices.Clone(p.Runs), func(r *Run) bool { return r.Plan != p.Runs[0].Plan })
	for _, day := range agentDays {
		for _, f := range Metrics {
			p.rows = append(p.rows, p.agentRow(day, f))
		}
	}
	for _, role := range []string{RoleLeader, RoleFollower} {
		for _, day := range discoveryDays {
			for _, f := range Metrics {
				if !f.agentsOnly {
					p.rows = append(p.rows, p.discoveryRow(role, day, f))
				}
			}
		}
	}
	for _, kind := range changeKinds {
		for _, day := range inForceDays {
			p.rows = append(p.rows, p.inForceRow(kind, day))
		}
	}
	p.rows = append(p.rows, p.dataPathRows()...)
	for _, r := range p.rows {
		r.Mechanism = m.forRow(r.Name())
	}
	return p, m.checkPatterns(p.rows)
}

// agent is an agent's row, of hollow or real agents (source).
func (p *Page) agentRow(day string, f Metric) *Row {
	r := &Row{Subject: subjectAgent, Day: day, Metric: f.Name, Unit: f.Unit}
	if f.budget != nil {
		r.Budget = f.budget(p.Target)
	}
	p.measure(r, f, func(runs []*Run) ([]Point, Source) {
		s := selectSource(runs, f)
		return s.collectPoints(runs, f), s
	})
	return r
}

// list is a row of an instance of the list service.
func (p *Page) discoveryRow(role, day string, f Metric) *Row {
	r := &Row{Subject: role, Day: day, Metric: f.Name, Unit: f.Unit}
	p.measure(r, f, func(runs []*Run) ([]Point, Source) {
		return collectPoints(runs, func(run *Run) (float64, bool) { return f.value(run, role) }), Source{}
	})
	return r
}

// force is the time after which the last agent has a change in force.
func (p *Page) inForceRow(kind, day string) *Row {
	r := &Row{Subject: subjectInForce, Day: day, Metric: kind, Unit: "s, the last agent", Budget: p.Target.Changes.InForceS, RequiredDaily: day == "ordinary"}
	p.measure(r, Metric{}, func(runs []*Run) ([]Point, Source) {
		return collectPoints(runs, func(run *Run) (float64, bool) {
			t := run.InForce[kind]
			return t.Max / 1000, t.Count > 0
		}), Source{}
	})
	for _, run := range runsOnDay(p.Runs, day) {
		r.NeverInForce += run.InForce[kind].NeverInForce
	}
	return r
}

// played are the runs of a day, of one hurry, and this hurry: 1 on a quiet day, which has nothing to
// hurry. They are the first plan's where roles are told; changes in force come from all plans.
func (p *Page) comparableRuns(subject, day string) ([]*Run, float64) {
	runs := runsOnDay(p.firstPlanRuns, day)
	if subject == subjectInForce {
		runs = runsOnDay(p.Runs, day)
	}
	if day == "quiet" {
		return runs, 1
	}
	return mostCommonRateFactor(runs)
}

// measure fills a row from the runs of its day. A rate of a hurried ordinary day is scaled to the
// target's: the quiet day's, and of what the hurried day adds to it the part that the hurry is. What
// another day has is its own trouble and hurried changes, which can't be told apart, and is taken as it is.
func (p *Page) measure(r *Row, f Metric, take func([]*Run) ([]Point, Source)) {
	runs, hurry := p.comparableRuns(r.Subject, r.Day)
	points, s := take(runs)
	r.Source, r.Runs = s.Description, len(points)
	r.setLargest(points)
	if len(points) == 0 {
		r.UnknownReason = "not measured"
		return
	}
	fit, err := NewFit(points)
	if err != nil {
		r.UnknownReason = fmt.Sprintf("no fit: %v", err)
		return
	}
	n := float64(p.Target.Fleet.Agents)
	r.Fit, r.Known = fit, true
	r.Extrapolated = r.LargestSize < p.Target.Fleet.Agents
	r.Value, r.Interval = s.widen(fit.Predict(n, changesPerAgent(runs)*n*hurry))
	if hurry == 1 {
		return
	}
	if !f.Rate || r.Day != "ordinary" {
		r.appendSource(fmt.Sprintf("at ×%s the rates", formatNumber(hurry)))
		return
	}
	quiet := runsOnDay(p.firstPlanRuns, "quiet")
	calm, of := take(quiet)
	base, err := NewFit(calm)
	if err != nil {
		r.appendSource(fmt.Sprintf("at ×%s the rates, as the quiet day has no fit", formatNumber(hurry)))
		return
	}
	v, in := of.widen(base.Predict(n, changesPerAgent(quiet)*n))
	r.Value, r.Interval = rescaleToTarget(v, in, r.Value, r.Interval, hurry)
	r.appendSource(fmt.Sprintf("scaled from ×%s the rates", formatNumber(hurry)))
}

// calmer is a day's rate without its hurry, of the quiet day's and the hurried one's.
func rescaleToTarget(quiet float64, q Interval, hurried float64, h Interval, hurry float64) (float64, Interval) {
	part := 1 / hurry
	v := math.Max(quiet*(1-part)+hurried*part, 0)
	lo := math.Hypot((1-part)*(quiet-q.Lo), part*(hurried-h.Lo))
	hi := math.Hypot((1-part)*(q.Hi-quiet), part*(h.Hi-hurried))
	return v, Interval{math.Max(v-lo, 0), v + hi}
}

// widen adds to an interval what is not known of the ratio that the points were divided by.
func (s Source) widen(v float64, in Interval) (float64, Interval) {
	if !s.Corrected {
		return v, in
	}
	lo, hi := 1-s.Ratio.Mean/s.Ratio.Interval.Hi, s.Ratio.Mean/s.Ratio.Interval.Lo-1
	return v, Interval{math.Max(v-math.Hypot(v-in.Lo, v*lo), 0), v + math.Hypot(in.Hi-v, v*hi)}
}

func (r *Row) appendSource(text string) {
	if r.Source != "" {
		r.Source += "; "
	}
	r.Source += text
}

func (r *Row) setLargest(points []Point) {
	sum, count := 0.0, 0
	for _, p := range points {
		r.LargestSize = max(r.LargestSize, p.Size)
	}
	for _, p := range points {
		if p.Size == r.LargestSize {
			sum, count = sum+p.Value, count+1
		}
	}
	if count > 0 {
		r.LargestSizeMean = sum / float64(count)
	}
}

// oneHurry are the runs of the hurry that most have, the least of these.
func mostCommonRateFactor(runs []*Run) ([]*Run, float64) {
	hurry, most := 1.0, 0
	for _, h := range rateFactors(runs) {
		if n := len(slices.DeleteFunc(slices.Clone(runs), func(r *Run) bool { return r.RateFactor != h })); n > most {
			hurry, most = h, n
		}
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r *Run) bool { return r.RateFactor != hurry }), hurry
}

// The benchmarks of the data path, and the states of a decision.
const pathBenchmark, decisionBenchmark = "Path", "Decision"

var decisionStates = []string{"calm", "crowded", "demoted"}

func (p *Page) estimate(name, unit string) (Estimate, bool) {
	for _, b := range p.Benches {
		if e, ok := b.Estimate(name, unit); ok {
			return e, true
		}
	}
	return Estimate{}, false
}

// path are the rows of the data path at the target's servers: nothing is extrapolated there.
func (p *Page) dataPathRows() []*Row {
	servers := p.Target.Fleet.Backends
	budget := 1000 * p.Target.Agent.AddedP99MS
	row := func(day, figure, unit, name, of string, times float64) *Row {
		r := &Row{Subject: subjectDataPath, Day: day, Metric: figure, Unit: unit, Budget: budget, UnknownReason: "not measured"}
		if e, ok := p.estimate(name, of); ok {
			r.Known, r.Value, r.Interval, r.Runs = true, math.Max(times*e.Mean, 0), Interval{times * e.Interval.Lo, times * e.Interval.Hi}, e.Runs
		}
		return r
	}
	rows := []*Row{row("calm", "added", "µs at p99", fmt.Sprintf("%s/servers=%d", pathBenchmark, servers), "added-p99-us", 1)}
	for _, s := range decisionStates {
		rows = append(rows, row(s, "decision", "µs a request", fmt.Sprintf("%s/servers=%d/state=%s", decisionBenchmark, servers, s), "sec/op", 1e6))
	}
	return rows
}

// Ranked are the rows with a budget or that every ordinary day needs, worst first: needs of every
// ordinary day that nothing carries, then changes that some agents never had, then by use over
// budget. Rows that can't be ranked, as nothing was measured, are the rest.
func (p *Page) Ranked() (ranked, rest []*Row) {
	for _, r := range p.rows {
		_, _, known := r.Use()
		switch {
		case r.RequiredDaily && !r.HasMechanism(), r.NeverInForce > 0, known:
			ranked = append(ranked, r)
		case r.Budget > 0:
			rest = append(rest, r)
		}
	}
	order := func(r *Row) (int, float64) {
		use, _, _ := r.Use()
		switch {
		case r.RequiredDaily && !r.HasMechanism():
			return 0, -use
		case r.NeverInForce > 0:
			return 1, -use
		}
		return 2, -use
	}
	slices.SortStableFunc(ranked, func(a, b *Row) int {
		ga, ua := order(a)
		gb, ub := order(b)
		if ga != gb {
			return ga - gb
		}
		switch {
		case ua < ub:
			return -1
		case ua > ub:
			return 1
		}
		return 0
	})
	return ranked, rest
}
