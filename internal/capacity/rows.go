package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Row is one need of the page: a figure of a subject on a day, what it comes to at the target,
// what it may, and what carries it.
type Row struct {
	Subject, Day, Figure, Unit string
	Budget                     float64 // 0: none was told
	Mechanism                  string
	Daily                      bool // a need of every ordinary day that has to be carried by something

	Known        bool // Value is one at the target
	Value        float64
	In           Interval
	Extrapolated bool
	Why          string  // there is none at the target
	Largest      int     // the largest size measured, and the mean there; 0: none
	AtLargest    float64 //
	Never        int64   // pairs of change and agent that it never came to
	Fit          *Fit
	Runs         int
	Source       string // agents and day that it was taken from
}

// Name is what mechanisms name the row by.
func (r *Row) Name() string { return r.Subject + "/" + r.Day + "/" + r.Figure }

// Carried tells whether anything carries it.
func (r *Row) Carried() bool { return r.Mechanism != none }

// Use is the part of the budget that is used: at the target, or where it is over the budget at the
// largest size already, there (and then the size is given).
func (r *Row) Use() (use float64, at int, ok bool) {
	switch {
	case r.Budget <= 0:
		return 0, 0, false
	case r.Known:
		return r.Value / r.Budget, 0, true
	case r.Largest > 0 && r.AtLargest > r.Budget:
		return r.AtLargest / r.Budget, r.Largest, true
	}
	return 0, 0, false
}

// The subjects of rows.
const (
	subjectAgent = "agent"
	subjectForce = "in force"
	subjectPath  = "data path"
)

// Page is all that the tables hold.
type Page struct {
	Target     *Target
	Mechanisms *Mechanisms
	Records    []Record
	Runs       []*Run // of all records, counted
	base       []*Run // of these the plan's that comes first: roles are not told from plans mixed
	Benches    []*Bench
	Command    string // that prints the page

	rows []*Row
}

// Record is one file of runs.
type Record struct {
	Path string
	Runs []*Run // as read

	counted []*Run
}

// agentDays and listDays are the days that the page has for a role.
var (
	agentDays = []string{"quiet", "ordinary", "rollout", "zone", "region"}
	listDays  = []string{"quiet", "ordinary", "rollout", "zone", "region", "control"}
	forceDays = []string{"ordinary", "rollout", "zone", "region", "control"}
	kinds     = []string{"settings", "list"}
)

// NewPage makes the rows of records, benchmarks and mechanisms; what is missing makes rows that
// say so. The error is a mechanism that names no row.
func NewPage(t *Target, m *Mechanisms, records []Record, benches []*Bench) (*Page, error) {
	p := &Page{Target: t, Mechanisms: m, Benches: benches}
	for _, rec := range records {
		rec.counted = Counted(rec.Runs)
		p.Runs = append(p.Runs, rec.counted...)
		p.Records = append(p.Records, rec)
	}
	p.base = slices.DeleteFunc(slices.Clone(p.Runs), func(r *Run) bool { return r.Plan != p.Runs[0].Plan })
	for _, day := range agentDays {
		for _, f := range Figures {
			p.rows = append(p.rows, p.agent(day, f))
		}
	}
	for _, role := range []string{RoleLeader, RoleFollower} {
		for _, day := range listDays {
			for _, f := range Figures {
				if !f.agents {
					p.rows = append(p.rows, p.list(role, day, f))
				}
			}
		}
	}
	for _, kind := range kinds {
		for _, day := range forceDays {
			p.rows = append(p.rows, p.force(kind, day))
		}
	}
	p.rows = append(p.rows, p.path()...)
	for _, r := range p.rows {
		r.Mechanism = m.of(r.Name())
	}
	return p, m.check(p.rows)
}

// agent is an agent's row, of hollow or real agents (source).
func (p *Page) agent(day string, f Figure) *Row {
	r := &Row{Subject: subjectAgent, Day: day, Figure: f.Name, Unit: f.Unit}
	if f.budget != nil {
		r.Budget = f.budget(p.Target)
	}
	p.measure(r, f, func(runs []*Run) ([]Point, Source) {
		s := source(runs, f)
		return s.points(runs, f), s
	})
	return r
}

// list is a row of an instance of the list service.
func (p *Page) list(role, day string, f Figure) *Row {
	r := &Row{Subject: role, Day: day, Figure: f.Name, Unit: f.Unit}
	p.measure(r, f, func(runs []*Run) ([]Point, Source) {
		return points(runs, func(run *Run) (float64, bool) { return f.value(run, role) }), Source{}
	})
	return r
}

// force is the time after which the last agent has a change in force.
func (p *Page) force(kind, day string) *Row {
	r := &Row{Subject: subjectForce, Day: day, Figure: kind, Unit: "s, the last agent", Budget: p.Target.Changes.InForceS, Daily: day == "ordinary"}
	p.measure(r, Figure{}, func(runs []*Run) ([]Point, Source) {
		return points(runs, func(run *Run) (float64, bool) {
			t := run.InForce[kind]
			return t.Worst / 1000, t.N > 0
		}), Source{}
	})
	for _, run := range ofDay(p.Runs, day) {
		r.Never += run.InForce[kind].Absent
	}
	return r
}

// played are the runs of a day, of one hurry, and this hurry: 1 on a quiet day, which has nothing to
// hurry. They are the first plan's where roles are told; changes in force come from all plans.
func (p *Page) played(subject, day string) ([]*Run, float64) {
	runs := ofDay(p.base, day)
	if subject == subjectForce {
		runs = ofDay(p.Runs, day)
	}
	if day == "quiet" {
		return runs, 1
	}
	return oneHurry(runs)
}

// measure fills a row from the runs of its day. A rate of a hurried ordinary day is scaled to the
// target's: the quiet day's, and of what the hurried day adds to it the part that the hurry is. What
// another day has is its own trouble and hurried changes, which can't be told apart, and is taken as it is.
func (p *Page) measure(r *Row, f Figure, take func([]*Run) ([]Point, Source)) {
	runs, hurry := p.played(r.Subject, r.Day)
	points, s := take(runs)
	r.Source, r.Runs = s.Why, len(points)
	r.largest(points)
	if len(points) == 0 {
		r.Why = "not measured"
		return
	}
	fit, err := NewFit(points)
	if err != nil {
		r.Why = fmt.Sprintf("no fit: %v", err)
		return
	}
	n := float64(p.Target.Fleet.Agents)
	r.Fit, r.Known = fit, true
	r.Extrapolated = r.Largest < p.Target.Fleet.Agents
	r.Value, r.In = s.widen(fit.At(n, perAgent(runs)*n*hurry))
	if hurry == 1 {
		return
	}
	if !f.Rate || r.Day != "ordinary" {
		r.note(fmt.Sprintf("at ×%s the rates", num(hurry)))
		return
	}
	quiet := ofDay(p.base, "quiet")
	calm, of := take(quiet)
	base, err := NewFit(calm)
	if err != nil {
		r.note(fmt.Sprintf("at ×%s the rates, as the quiet day has no fit", num(hurry)))
		return
	}
	v, in := of.widen(base.At(n, perAgent(quiet)*n))
	r.Value, r.In = calmer(v, in, r.Value, r.In, hurry)
	r.note(fmt.Sprintf("scaled from ×%s the rates", num(hurry)))
}

// calmer is a day's rate without its hurry, of the quiet day's and the hurried one's.
func calmer(quiet float64, q Interval, hurried float64, h Interval, hurry float64) (float64, Interval) {
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
	lo, hi := 1-s.Ratio.Mean/s.Ratio.In.Hi, s.Ratio.Mean/s.Ratio.In.Lo-1
	return v, Interval{math.Max(v-math.Hypot(v-in.Lo, v*lo), 0), v + math.Hypot(in.Hi-v, v*hi)}
}

func (r *Row) note(text string) {
	if r.Source != "" {
		r.Source += "; "
	}
	r.Source += text
}

func (r *Row) largest(points []Point) {
	sum, count := 0.0, 0
	for _, p := range points {
		r.Largest = max(r.Largest, p.Size)
	}
	for _, p := range points {
		if p.Size == r.Largest {
			sum, count = sum+p.Value, count+1
		}
	}
	if count > 0 {
		r.AtLargest = sum / float64(count)
	}
}

// oneHurry are the runs of the hurry that most have, the least of these.
func oneHurry(runs []*Run) ([]*Run, float64) {
	hurry, most := 1.0, 0
	for _, h := range hurries(runs) {
		if n := len(slices.DeleteFunc(slices.Clone(runs), func(r *Run) bool { return r.Hurry != h })); n > most {
			hurry, most = h, n
		}
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r *Run) bool { return r.Hurry != hurry }), hurry
}

// The benchmarks of the data path, and the states of a decision.
const benchPath, benchDecision = "Path", "Decision"

var states = []string{"calm", "crowded", "demoted"}

func (p *Page) bench(name, unit string) (Estimate, bool) {
	for _, b := range p.Benches {
		if e, ok := b.Get(name, unit); ok {
			return e, true
		}
	}
	return Estimate{}, false
}

// path are the rows of the data path at the target's servers: nothing is extrapolated there.
func (p *Page) path() []*Row {
	servers := p.Target.Fleet.Backends
	budget := 1000 * p.Target.Agent.AddedP99MS
	row := func(day, figure, unit, name, of string, times float64) *Row {
		r := &Row{Subject: subjectPath, Day: day, Figure: figure, Unit: unit, Budget: budget, Why: "not measured"}
		if e, ok := p.bench(name, of); ok {
			r.Known, r.Value, r.In, r.Runs = true, math.Max(times*e.Mean, 0), Interval{times * e.In.Lo, times * e.In.Hi}, e.Runs
		}
		return r
	}
	rows := []*Row{row("calm", "added", "µs at p99", fmt.Sprintf("%s/servers=%d", benchPath, servers), "added-p99-us", 1)}
	for _, s := range states {
		rows = append(rows, row(s, "decision", "µs a request", fmt.Sprintf("%s/servers=%d/state=%s", benchDecision, servers, s), "sec/op", 1e6))
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
		case r.Daily && !r.Carried(), r.Never > 0, known:
			ranked = append(ranked, r)
		case r.Budget > 0:
			rest = append(rest, r)
		}
	}
	order := func(r *Row) (int, float64) {
		use, _, _ := r.Use()
		switch {
		case r.Daily && !r.Carried():
			return 0, -use
		case r.Never > 0:
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
