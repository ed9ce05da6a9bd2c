package capacity

import (
	"fmt"
	"slices"
)

// Page holds the data from which the tables of docs/CAPACITY.md are rendered.
type Page struct {
	Target     *Target
	Mechanisms *Mechanisms
	Records    []Record
	Runs       []*Run // the valid runs of all records
	Benchmarks []*BenchmarkFile
	Command    string // the command that prints the page

	// firstPlanRuns holds the runs with the same plan as the first of Runs, because metrics of roles are
	// not combined from several plans.
	firstPlanRuns []*Run
	rows          []*Row
}

// Record is one record file with its runs.
type Record struct {
	Path string
	Runs []*Run // all runs of the file

	valid []*Run // see ValidRuns
}

// The load profiles and the kinds of change that the page has rows for.
var (
	agentProfiles = []Profile{
		ProfileQuiet, ProfileOrdinary, ProfileRollout, ProfileZone, ProfileRegion,
	}
	discoveryProfiles = Profiles
	inForceProfiles   = []Profile{
		ProfileOrdinary, ProfileRollout, ProfileZone, ProfileRegion, ProfileControl,
	}
	changeKinds = []ChangeKind{ChangeSettings, ChangeList}
)

// NewPage computes the rows from records, benchmarks and mechanisms. A row without data is shown as
// not measured. A mechanism with a pattern that matches no row yields an error.
func NewPage(t *Target, m *Mechanisms, records []Record, benchmarks []*BenchmarkFile) (*Page, error) {
	p := &Page{Target: t, Mechanisms: m, Benchmarks: benchmarks}
	for _, record := range records {
		record.valid = ValidRuns(record.Runs)
		p.Runs = append(p.Runs, record.valid...)
		p.Records = append(p.Records, record)
	}
	for _, r := range p.Runs {
		if r.Plan == p.Runs[0].Plan {
			p.firstPlanRuns = append(p.firstPlanRuns, r)
		}
	}
	p.addRows()
	for _, r := range p.rows {
		r.Mechanism = m.forRow(r.Name())
	}
	return p, m.checkPatterns(p.rows)
}

// addRows adds the rows in the page's order.
func (p *Page) addRows() {
	for _, profile := range agentProfiles {
		for _, metric := range Metrics {
			p.rows = append(p.rows, p.agentRow(profile, metric))
		}
	}
	for _, role := range []Role{RoleLeader, RoleFollower} {
		for _, profile := range discoveryProfiles {
			for _, metric := range Metrics {
				if !metric.agentsOnly {
					p.rows = append(p.rows, p.discoveryRow(role, profile, metric))
				}
			}
		}
	}
	for _, kind := range changeKinds {
		for _, profile := range inForceProfiles {
			p.rows = append(p.rows, p.inForceRow(kind, profile))
		}
	}
	p.rows = append(p.rows, p.dataPathRows()...)
}

// agentRow returns the row for a metric of an agent, hollow or real (see selectSource).
func (p *Page) agentRow(profile Profile, metric Metric) *Row {
	r := &Row{Subject: subjectAgent, Condition: string(profile), Metric: metric.Name, Unit: metric.Unit}
	if metric.budget != nil {
		r.Budget = metric.budget(p.Target)
	}
	p.measure(r, metric, func(runs []*Run) ([]Point, Source) {
		s := selectSource(runs, metric)
		return s.collectPoints(runs, metric), s
	})
	return r
}

// discoveryRow returns the row for a metric of a discovery instance.
func (p *Page) discoveryRow(role Role, profile Profile, metric Metric) *Row {
	r := &Row{Subject: string(role), Condition: string(profile), Metric: metric.Name, Unit: metric.Unit}
	p.measure(r, metric, func(runs []*Run) ([]Point, Source) {
		return collectPoints(runs, func(run *Run) (float64, bool) { return metric.value(run, role) }), Source{}
	})
	return r
}

// inForceRow returns the row for the time from a change's acknowledgement until it is in force at the
// last agent.
func (p *Page) inForceRow(kind ChangeKind, profile Profile) *Row {
	r := &Row{
		Subject:           subjectInForce,
		Condition:         string(profile),
		Metric:            string(kind),
		Unit:              "s, the last agent",
		Budget:            p.Target.Changes.InForceS,
		MechanismRequired: profile == ProfileOrdinary,
	}
	p.measure(r, Metric{}, func(runs []*Run) ([]Point, Source) {
		return collectPoints(runs, func(run *Run) (float64, bool) {
			latencies := run.InForce[kind]
			return latencies.Max / msPerSecond, latencies.Count > 0
		}), Source{}
	})
	for _, run := range runsOfProfile(p.Runs, profile) {
		r.NeverInForce += run.InForce[kind].NeverInForce
	}
	return r
}

const (
	msPerSecond = 1000
	usPerMs     = 1000
	usPerSecond = 1e6
)

// The names of the data path's benchmarks.
const (
	pathBenchmark     = "Path"
	decisionBenchmark = "Decision"
)

// calmState is the balancer's state without overload, in which the data path is measured.
const calmState = "calm"

// decisionStates lists the states of the balancer in which decisions are measured.
var decisionStates = []string{calmState, "crowded", "demoted"}

// pathName returns the name of the data path's benchmark with a number of servers.
func pathName(servers int) string { return fmt.Sprintf("%s/servers=%d", pathBenchmark, servers) }

// decisionName returns the name of the decision benchmark with a number of servers in a state.
func decisionName(servers int, state string) string {
	return fmt.Sprintf("%s/servers=%d/state=%s", decisionBenchmark, servers, state)
}

// estimate returns a benchmark's estimate from the first file that has it.
func (p *Page) estimate(name, unit string) (Estimate, bool) {
	for _, b := range p.Benchmarks {
		if e, ok := b.Estimate(name, unit); ok {
			return e, true
		}
	}
	return Estimate{}, false
}

// dataPathBudget returns the latency that an agent may add to a call, in µs at p99.
func (p *Page) dataPathBudget() float64 { return usPerMs * p.Target.Agent.AddedP99MS }

// dataPathRows returns the rows of the data path: the added latency first, then one row for each of
// decisionStates. The benchmarks run with the target's number of servers, so nothing is extrapolated.
func (p *Page) dataPathRows() []*Row {
	servers := p.Target.Fleet.Servers
	added := &Row{Condition: calmState, Metric: "added", Unit: "µs at p99"}
	p.setEstimate(added, pathName(servers), "added-p99-us", 1)
	rows := []*Row{added}
	for _, state := range decisionStates {
		decision := &Row{Condition: state, Metric: "decision", Unit: "µs a request"}
		p.setEstimate(decision, decisionName(servers, state), "sec/op", usPerSecond)
		rows = append(rows, decision)
	}
	return rows
}

// setEstimate fills a row of the data path from a benchmark's estimate, multiplied by factor to convert
// its unit.
func (p *Page) setEstimate(r *Row, name, unit string, factor float64) {
	r.Subject = subjectDataPath
	r.Budget = p.dataPathBudget()
	r.UnknownReason = notMeasured
	e, ok := p.estimate(name, unit)
	if !ok {
		return
	}
	e = e.scaled(factor)
	r.Known = true
	r.Value = max(e.Mean, 0)
	r.Interval = e.Interval
	r.Runs = e.Runs
}

// usesRun reports whether the run is among those that the row is computed from.
func (p *Page) usesRun(run *Run, r *Row) bool {
	if string(run.Profile) != r.Condition {
		return false
	}
	if r.Subject == subjectInForce {
		return run.InForce[ChangeKind(r.Metric)].Count > 0
	}
	return slices.Contains(p.firstPlanRuns, run)
}
