package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// The lines between which a page has the tables.
const (
	Begin = "<!-- experiment capacity: begin -->"
	End   = "<!-- experiment capacity: end -->"
)

// Replace gives a page's text with the tables between its markers; each marker has to be there
// once, on a line of its own, in their order.
func Replace(page, tables string) (string, error) {
	before, rest, begin := strings.Cut(page, Begin+"\n")
	_, after, end := strings.Cut(rest, End+"\n")
	if !begin || !end || strings.Contains(after, Begin) || strings.Count(page, Begin) != 1 || strings.Count(page, End) != 1 ||
		before != "" && !strings.HasSuffix(before, "\n") {
		return "", errors.New("the markers " + Begin + " and " + End + " are not there once each")
	}
	return before + Begin + "\n" + strings.TrimRight(tables, "\n") + "\n" + End + "\n" + after, nil
}

// Write writes the tables in Markdown.
func (p *Page) Write(to io.Writer) error {
	var b bytes.Buffer
	p.head(&b)
	p.ranking(&b)
	p.table(&b, "Agent", subjectAgent)
	p.table(&b, "List instance: leader", RoleLeader)
	p.table(&b, "List instance: follower", RoleFollower)
	p.table(&b, "Changes in force everywhere", subjectForce)
	p.times(&b)
	p.dataPath(&b)
	p.carriers(&b)
	p.ratios(&b)
	p.runs(&b)
	_, err := to.Write(b.Bytes())
	return err
}

func (p *Page) head(b *bytes.Buffer) {
	f := p.Target.Fleet
	fmt.Fprintf(b, "Printed by `%s`.\n\n", p.Command)
	fmt.Fprintf(b, "The target: %s agents, %s services, %s regions, %s zones, %s changes a day.\n"+
		"~ marks what is extrapolated to it, ~? what the largest size measured speaks against (outside of its interval and off\n"+
		"by over a tenth); in brackets is the 95 %% interval. \"×200 the rates\" is a hurried day's: \"scaled\" to the target's,\n"+
		"or \"at\" the hurried rates, which is above it.\n",
		num(float64(f.Agents)), num(float64(f.Services)), num(float64(f.Regions)), num(float64(f.Zones)), num(p.Target.Changes.PerDay))
	if alarms := p.alarms(); len(alarms) > 0 {
		fmt.Fprintf(b, "\n**Alarm, grows with n²:** %s.\n", strings.Join(alarms, "; "))
	}
}

func (p *Page) alarms() (out []string) {
	for _, r := range p.rows {
		if r.Fit != nil && r.Fit.Alarm {
			out = append(out, r.title())
		}
	}
	return out
}

func (r *Row) title() string {
	if r.Subject == subjectForce {
		return r.Figure + " in force everywhere, " + r.Day + ", s"
	}
	return r.Subject + ", " + r.Day + ", " + r.Figure + ", " + r.Unit
}

func (p *Page) ranking(b *bytes.Buffer) {
	ranked, rest := p.Ranked()
	b.WriteString("\n### Ranking\n\nFirst what every ordinary day needs and nothing carries, then changes that some agent never had, then by use\nover budget.\n\n" +
		"| rank | row | at the target | budget | use | carried by |\n| --- | --- | --- | --- | --- | --- |\n")
	for i, r := range ranked {
		fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s |\n", i+1, r.title(), r.atTarget(), r.budget(), r.use(), r.Mechanism)
	}
	if len(ranked) == 0 {
		b.WriteString("| none | nothing that can be ranked | not measured | not measured | not measured | not measured |\n")
	}
	if len(rest) == 0 {
		return
	}
	b.WriteString("\nNot ranked, as there is no figure at the target:\n\n")
	var order []string
	by := map[string][]string{}
	for _, r := range rest {
		of := r.Subject + ", " + r.Day
		if r.Subject == subjectForce {
			of = r.Figure + " in force everywhere"
		}
		if by[of] == nil {
			order = append(order, of)
		}
		if what := r.Figure; r.Subject != subjectForce {
			by[of] = append(by[of], what)
		} else {
			by[of] = append(by[of], r.Day)
		}
	}
	for _, of := range order {
		fmt.Fprintf(b, "- %s: %s\n", of, strings.Join(by[of], ", "))
	}
}

func (p *Page) table(b *bytes.Buffer, title, subject string) {
	fmt.Fprintf(b, "\n### %s\n\n| day | figure | at the target | budget | use | slope, shape | sizes fitted (runs) | largest left out: miss | from | carried by |\n", title)
	b.WriteString(strings.Repeat("| --- ", 10) + "|\n")
	silent := p.silent(subject)
	for _, r := range p.rows {
		if r.Subject != subject {
			continue
		}
		what, by := r.Figure+", "+r.Unit, r.Mechanism
		if silent[r.Day] {
			if r.Figure != Figures[0].Name {
				continue
			}
			what, by = "all of them", p.carried(subject, r.Day)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Day, what, r.atTarget(), r.budget(), r.use(),
			r.Fit.slope(), r.Fit.sizes(), r.Fit.miss(), p.from(r), by)
	}
}

// carried are what carries a day's rows, each once.
func (p *Page) carried(subject, day string) string {
	var by []string
	for _, r := range p.rows {
		if r.Subject == subject && r.Day == day && !slices.Contains(by, r.Mechanism) {
			by = append(by, r.Mechanism)
		}
	}
	return strings.Join(by, "; ")
}

// silent are the days of an instance of the list service of which nothing was measured: they have
// one line together.
func (p *Page) silent(subject string) map[string]bool {
	out := map[string]bool{}
	if subject != RoleLeader && subject != RoleFollower {
		return out
	}
	for _, r := range p.rows {
		if r.Subject == subject {
			before, seen := out[r.Day]
			out[r.Day] = (before || !seen) && r.Largest == 0
		}
	}
	return out
}

func (r *Row) atTarget() string {
	switch {
	case !r.Known && r.Largest > 0:
		return fmt.Sprintf("%s; %s at %d", r.Why, num(r.AtLargest), r.Largest)
	case !r.Known:
		return r.Why
	case r.Extrapolated && r.Fit.missed():
		return "~? " + within(r.Value, r.In)
	case r.Extrapolated:
		return "~ " + within(r.Value, r.In)
	}
	return within(r.Value, r.In)
}

func (r *Row) budget() string {
	if r.Budget == 0 {
		return "none told"
	}
	return num(r.Budget)
}

func (r *Row) use() string {
	use, at, ok := r.Use()
	text := "not known"
	switch {
	case r.Budget == 0:
		text = "no budget"
	case ok && at > 0:
		text = fmt.Sprintf("%s at %d already", num(use), at)
	case ok:
		text = num(use)
	case r.Largest == 0:
		text = "not measured"
	}
	if r.Never > 0 {
		text += fmt.Sprintf("; never at %d agents in all runs together", r.Never)
	}
	return text
}

func (f *Fit) slope() string {
	if f == nil {
		return "no fit"
	}
	text := string(f.Shape)
	switch {
	case f.Alarm:
		text = fmt.Sprintf("**alarm:** %s × n²", within(f.Slope, f.SlopeIn))
	case f.Shape != Flat:
		text = fmt.Sprintf("%s × %s", within(f.Slope, f.SlopeIn), f.Shape)
	}
	if len(f.Alike) > 0 {
		var names []string
		for _, s := range f.Alike {
			names = append(names, string(s))
		}
		text += "; not told from " + strings.Join(names, ", ")
	}
	return text
}

func (f *Fit) sizes() string {
	if f == nil {
		return "no fit"
	}
	return fmt.Sprintf("%s (%d)", joined(f.Sizes), f.Runs)
}

// outside tells whether the largest size lay outside of its prediction's interval.
func (f *Fit) outside() bool {
	return f.LeftOut > 0 && !f.In.Holds(f.Measured) && math.Abs(f.Measured-f.Predicted) > 1e-9*f.Measured
}

// missed tells whether it lay outside and off by over a tenth: what is told at the target then
// is not to be relied on.
func (f *Fit) missed() bool {
	return f.outside() && math.Abs(f.Measured-f.Predicted) > 0.1*f.Predicted
}

func (f *Fit) miss() string {
	if f == nil {
		return "no fit"
	}
	if f.LeftOut == 0 {
		return "none left out of 3 sizes"
	}
	text := fmt.Sprintf("%d: both 0", f.LeftOut)
	if miss, ok := f.Miss(); ok {
		text = fmt.Sprintf("%d: %+.1f %%", f.LeftOut, 100*miss)
	} else if f.Measured > 0 {
		text = fmt.Sprintf("%d: %s for 0", f.LeftOut, num(f.Measured))
	}
	if f.outside() {
		text += ", outside of its interval"
	}
	return text
}

// from names the records and the agents that a row was taken from.
func (p *Page) from(r *Row) string {
	var parts []string
	for i, rec := range p.Records {
		if r.Runs > 0 && slices.ContainsFunc(rec.counted, func(run *Run) bool { return p.tells(run, r) }) {
			parts = append(parts, fmt.Sprintf("[%d]", i+1))
		}
	}
	if r.Source != "" && r.Source != "not measured" {
		parts = append(parts, r.Source)
	}
	if len(parts) == 0 {
		return "not measured"
	}
	return strings.Join(parts, " ")
}

// tells is whether a row is taken from a run, among others.
func (p *Page) tells(run *Run, r *Row) bool {
	if r.Subject == subjectForce {
		return run.Day == r.Day && run.InForce[r.Figure].N > 0
	}
	return run.Day == r.Day && slices.Contains(p.base, run)
}

// times are the times from a change's acknowledgement as they were measured at the largest size.
func (p *Page) times(b *bytes.Buffer) {
	b.WriteString("\nAs measured, at the largest size of each day: means over its runs of the p50, the p99 and the last agent's.\n\n" +
		"| change | day | agents (runs) | p50, s | p99, s | last, s | changes × agents | never |\n" + strings.Repeat("| --- ", 8) + "|\n")
	for _, kind := range kinds {
		for _, day := range forceDays {
			fmt.Fprintf(b, "| %s | %s | %s |\n", kind, day, p.time(kind, day))
		}
	}
}

func (p *Page) time(kind, day string) string {
	largest := 0
	var at []Times
	for _, r := range ofDay(p.Runs, day) {
		t := r.InForce[kind]
		if t.N == 0 && t.Absent == 0 || r.Size < largest {
			continue
		}
		if r.Size > largest {
			largest, at = r.Size, nil
		}
		at = append(at, t)
	}
	if len(at) == 0 {
		return strings.Repeat("not measured | ", 5) + "not measured"
	}
	var sum Times
	for _, t := range at {
		sum = Times{N: sum.N + t.N, P50: sum.P50 + t.P50, P99: sum.P99 + t.P99, Worst: sum.Worst + t.Worst, Absent: sum.Absent + t.Absent}
	}
	s := 1000 * float64(len(at))
	if sum.N == 0 {
		return fmt.Sprintf("%d (%d) | never | never | never | 0 | %d", largest, len(at), sum.Absent)
	}
	return fmt.Sprintf("%d (%d) | %s | %s | %s | %d | %d", largest, len(at), num(sum.P50/s), num(sum.P99/s), num(sum.Worst/s), sum.N, sum.Absent)
}

// dataPath are the benchmarks' figures by servers listed.
func (p *Page) dataPath(b *bytes.Buffer) {
	budget, rows := 1000*p.Target.Agent.AddedP99MS, p.path()
	fmt.Fprintf(b, "\n### The data path\n\nNothing here is extrapolated: it was run with as many servers listed. µs.\n\n"+
		"| servers | direct p99 | through the agent p99 | added p50 | added p99 | budget | use | timer late p99 | connects a call | runs | carried by |\n%s|\n", strings.Repeat("| --- ", 11))
	for _, n := range p.servers(benchPath) {
		name := fmt.Sprintf("%s/servers=%d", benchPath, n)
		cell := func(unit string) string { return p.cell(name, unit, 1) }
		fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", n, cell("direct-p99-us"), cell("agent-p99-us"), cell("added-p50-us"), cell("added-p99-us"),
			num(budget), p.part(name, "added-p99-us", 1, budget), cell("late-p99-us"), cell("connects/op"), p.count(name, "added-p99-us"), p.Mechanisms.of(rows[0].Name()))
	}
	b.WriteString("\n| servers | state | decisions for a request | budget | use | runs | carried by |\n" + strings.Repeat("| --- ", 7) + "|\n")
	for _, n := range p.servers(benchDecision) {
		for i, s := range states {
			name := fmt.Sprintf("%s/servers=%d/state=%s", benchDecision, n, s)
			fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s | %s |\n", n, s, p.cell(name, "sec/op", 1e6), num(budget), p.part(name, "sec/op", 1e6, budget),
				p.count(name, "sec/op"), p.Mechanisms.of(rows[1+i].Name()))
		}
	}
	b.WriteString("\n")
	for _, bench := range p.Benches {
		text := "no such file"
		if !bench.Missing {
			text = "benchmark output"
			for _, key := range slices.Sorted(maps.Keys(bench.Config)) {
				if key == "commit" || key == "command" || key == "cpu" {
					text += fmt.Sprintf("; %s: %s", key, bench.Config[key])
				}
			}
		}
		fmt.Fprintf(b, "- `%s`: %s\n", filepath.ToSlash(bench.Path), text)
	}
}

// servers are the numbers of servers of a benchmark's rows: what was run, and what should be.
func (p *Page) servers(name string) []int {
	set := map[int]bool{10: true, 100: true, p.Target.Fleet.Backends: true}
	for _, b := range p.Benches {
		maps.Copy(set, b.Servers(name))
	}
	return slices.Sorted(maps.Keys(set))
}

func (p *Page) cell(name, unit string, times float64) string {
	e, ok := p.bench(name, unit)
	switch {
	case !ok:
		return "not measured"
	case e.Single:
		return num(times*e.Mean) + " (one run)"
	}
	return within(times*e.Mean, Interval{times * e.In.Lo, times * e.In.Hi})
}

func (p *Page) part(name, unit string, times, budget float64) string {
	if e, ok := p.bench(name, unit); ok {
		return num(times * e.Mean / budget)
	}
	return "not measured"
}

func (p *Page) count(name, unit string) string {
	e, _ := p.bench(name, unit)
	return strconv.Itoa(e.Runs)
}

// carriers says of each mechanism what the tables' few words leave out.
func (p *Page) carriers(b *bytes.Buffer) {
	b.WriteString("\n### What carries them\n\n")
	for _, m := range p.Mechanisms.All {
		if m.Why != "" {
			fmt.Fprintf(b, "- %s (%s): %s\n", m.by(), strings.Join(m.Rows, "; "), m.Why)
		}
	}
	b.WriteString("- a row that no pattern names: " + none + "\n")
}

// ratios are hollow agents' figures over real ones' in the same runs.
func (p *Page) ratios(b *bytes.Buffer) {
	fmt.Fprintf(b, "\n### Hollow agents over real ones\n\nIn the same runs. From %s to %s the hollow figure is taken as it is; outside it is divided by the ratio, if that is\n"+
		"steady over the sizes and known to a quarter; else the real agents' is taken.\n\n| figure | %s |\n%s|\n",
		num(ratioLo), num(ratioHi), strings.Join(agentDays, " | "), strings.Repeat("| --- ", 1+len(agentDays)))
	for _, f := range Figures {
		fmt.Fprintf(b, "| %s ", f.Name)
		for _, day := range agentDays {
			runs, _ := p.played(subjectAgent, day)
			s := source(runs, f)
			switch {
			case s.HasRatio && !s.Ratio.Steady:
				fmt.Fprintf(b, "| %s in %d runs, not steady: %s ", within(s.Ratio.Mean, s.Ratio.In), s.Ratio.Runs, s.Why)
			case s.HasRatio:
				fmt.Fprintf(b, "| %s in %d runs: %s ", within(s.Ratio.Mean, s.Ratio.In), s.Ratio.Runs, s.Why)
			default:
				fmt.Fprintf(b, "| %s ", s.Why)
			}
		}
		b.WriteString("|\n")
	}
}

// runs are what was read, and what of it does not count.
func (p *Page) runs(b *bytes.Buffer) {
	b.WriteString("\n### Runs\n\nWhat a role takes is told of the first plan alone; changes in force are of all plans that made such.\n\n")
	if len(p.Records) == 0 {
		b.WriteString("No record was given: nothing of the fleet was measured.\n")
		return
	}
	var commands []string
	b.WriteString("| record | plan, commit | day | agents × runs | hurry | instances | seconds | not settled | left out | missing |\n" + strings.Repeat("| --- ", 10) + "|\n")
	for i, rec := range p.Records {
		type group struct{ plan, commit, day string }
		var order []group
		by := map[group][]*Run{}
		for _, r := range rec.Runs {
			g := group{r.Plan, r.Commit, r.Day}
			if by[g] == nil {
				order = append(order, g)
			}
			by[g] = append(by[g], r)
		}
		slices.SortStableFunc(order, func(a, b group) int { return slices.Index(Days, a.day) - slices.Index(Days, b.day) })
		for _, g := range order {
			fmt.Fprintf(b, "| [%d] | %s, %s | %s | %s |\n", i+1, plain(g.plan), plain(g.commit), g.day, counted(by[g]))
			command := fmt.Sprintf("- [%d] `%s`: `experiment scale %s --record %s`", i+1, rec.Path, planFile(rec.Path, g.plan), rec.Path)
			if !slices.Contains(commands, command) {
				commands = append(commands, command)
			}
		}
		if len(order) == 0 {
			commands = append(commands, fmt.Sprintf("- [%d] `%s`: has no runs", i+1, rec.Path))
		}
	}
	fmt.Fprintf(b, "\n%s\n", strings.Join(commands, "\n"))
}

// planFile is what `experiment scale` is told of a plan: the file beside the record that has its
// name, or its name, which the built-in one has as a flag.
func planFile(record, plan string) string {
	if plan == "small" {
		return "--small"
	}
	files, _ := filepath.Glob(filepath.Join(filepath.Dir(record), "*.toml"))
	for _, file := range files {
		var named struct{ Name string }
		if _, err := toml.DecodeFile(file, &named); err == nil && named.Name == plan {
			return filepath.ToSlash(file)
		}
	}
	return plain(plan) + ".toml"
}

// counted are the cells of one day's runs.
func counted(all []*Run) string {
	runs := Counted(all)
	sizes, lists, unsettled := map[int]int{}, map[int]bool{}, 0
	var seconds []float64
	var missing, invalid []string
	for _, r := range runs {
		sizes[r.Size]++
		lists[r.Lists] = true
		seconds = append(seconds, r.Seconds)
		if !r.Settled {
			unsettled++
		}
		missing = append(missing, r.Missing...)
	}
	for _, r := range all {
		invalid = append(invalid, r.Invalid...)
	}
	var played []string
	for _, n := range slices.Sorted(maps.Keys(sizes)) {
		played = append(played, fmt.Sprintf("%d × %d", n, sizes[n]))
	}
	if len(played) == 0 {
		played = []string{"none"}
	}
	out := strconv.Itoa(len(all) - len(runs))
	if len(invalid) > 0 {
		out += ": " + reasons(invalid)
	}
	return strings.Join([]string{strings.Join(played, ", "), floatsOr(hurries(runs)), joinedOr(slices.Sorted(maps.Keys(lists))),
		span(seconds), strconv.Itoa(unsettled), out, reasons(missing)}, " | ")
}

// reasons are told once each.
func reasons(all []string) string {
	slices.Sort(all)
	if all = slices.Compact(all); len(all) == 0 {
		return "nothing"
	}
	return plain(strings.Join(all, "; "))
}

// plain is text that can't break a table.
func plain(text string) string {
	return strings.NewReplacer("|", "/", "\n", " ", "`", "'").Replace(text)
}

func joined(ns []int) string {
	var out []string
	for _, n := range ns {
		out = append(out, strconv.Itoa(n))
	}
	return strings.Join(out, ", ")
}

func joinedOr(ns []int) string {
	if len(ns) == 0 {
		return "none"
	}
	return joined(ns)
}

func floatsOr(vs []float64) string {
	var out []string
	for _, v := range vs {
		out = append(out, num(v))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}

// span is from the least to the most.
func span(vs []float64) string {
	if len(vs) == 0 {
		return "none"
	}
	least, most := num(slices.Min(vs)), num(slices.Max(vs))
	if least == most {
		return least
	}
	return least + " to " + most
}

// within is a figure and its interval.
func within(v float64, in Interval) string {
	if num(in.Lo) == num(v) && num(in.Hi) == num(v) {
		return num(v)
	}
	return fmt.Sprintf("%s (%s to %s)", num(v), num(in.Lo), num(in.Hi))
}

// num is a figure with three digits that count. What is no number has no place on the page.
func num(v float64) string {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return "not known"
	}
	if math.Abs(v) < 999.5 {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	if math.Abs(v) >= 1e7 {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	three, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'e', 2, 64), 64)
	return strconv.FormatFloat(three, 'f', 0, 64)
}
