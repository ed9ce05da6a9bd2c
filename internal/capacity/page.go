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
	BeginMarker = "<!-- experiment capacity: begin -->"
	EndMarker   = "<!-- experiment capacity: end -->"
)

// Replace gives a page's text with the tables between its markers; each marker has to be there
// once, on a line of its own, in their order.
func ReplaceTables(page, tables string) (string, error) {
	before, rest, begin := strings.Cut(page, BeginMarker+"\n")
	_, after, end := strings.Cut(rest, EndMarker+"\n")
	if !begin || !end || strings.Contains(after, BeginMarker) || strings.Count(page, BeginMarker) != 1 || strings.Count(page, EndMarker) != 1 ||
		before != "" && !strings.HasSuffix(before, "\n") {
		return "", errors.New("the markers " + BeginMarker + " and " + EndMarker + " are not there once each")
	}
	return before + BeginMarker + "\n" + strings.TrimRight(tables, "\n") + "\n" + EndMarker + "\n" + after, nil
}

// Write writes the tables in Markdown.
func (p *Page) Write(to io.Writer) error {
	var b bytes.Buffer
	p.writeHeader(&b)
	p.writeRanking(&b)
	p.writeTable(&b, "Agent", subjectAgent)
	p.writeTable(&b, "List instance: leader", RoleLeader)
	p.writeTable(&b, "List instance: follower", RoleFollower)
	p.writeTable(&b, "Changes in force everywhere", subjectInForce)
	p.writeMeasuredTimes(&b)
	p.writeDataPath(&b)
	p.writeMechanisms(&b)
	p.writeRatios(&b)
	p.writeRuns(&b)
	_, err := to.Write(b.Bytes())
	return err
}

func (p *Page) writeHeader(b *bytes.Buffer) {
	f := p.Target.Fleet
	fmt.Fprintf(b, "Printed by `%s`.\n\n", p.Command)
	fmt.Fprintf(b, "The target: %s agents, %s services, %s regions, %s zones, %s changes a day.\n"+
		"~ marks what is extrapolated to it, ~? what the largest size measured speaks against (outside of its interval and off\n"+
		"by over a tenth); in brackets is the 95 %% interval. \"×200 the rates\" is a hurried day's: \"scaled\" to the target's,\n"+
		"or \"at\" the hurried rates, which is above it.\n",
		formatNumber(float64(f.Agents)), formatNumber(float64(f.Services)), formatNumber(float64(f.Regions)), formatNumber(float64(f.Zones)), formatNumber(p.Target.Changes.PerDay))
	if alarms := p.quadraticRows(); len(alarms) > 0 {
		fmt.Fprintf(b, "\n**Alarm, grows with n²:** %s.\n", strings.Join(alarms, "; "))
	}
}

func (p *Page) quadraticRows() (out []string) {
	for _, r := range p.rows {
		if r.Fit != nil && r.Fit.GrowsQuadratically {
			out = append(out, r.title())
		}
	}
	return out
}

func (r *Row) title() string {
	if r.Subject == subjectInForce {
		return r.Metric + " in force everywhere, " + r.Day + ", s"
	}
	return r.Subject + ", " + r.Day + ", " + r.Metric + ", " + r.Unit
}

func (p *Page) writeRanking(b *bytes.Buffer) {
	ranked, rest := p.Ranked()
	b.WriteString("\n### Ranking\n\nFirst what every ordinary day needs and nothing carries, then changes that some agent never had, then by use\nover budget.\n\n" +
		"| rank | row | at the target | budget | use | carried by |\n| --- | --- | --- | --- | --- | --- |\n")
	for i, r := range ranked {
		fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s |\n", i+1, r.title(), r.targetCell(), r.budgetCell(), r.usageCell(), r.Mechanism)
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
		if r.Subject == subjectInForce {
			of = r.Metric + " in force everywhere"
		}
		if by[of] == nil {
			order = append(order, of)
		}
		if what := r.Metric; r.Subject != subjectInForce {
			by[of] = append(by[of], what)
		} else {
			by[of] = append(by[of], r.Day)
		}
	}
	for _, of := range order {
		fmt.Fprintf(b, "- %s: %s\n", of, strings.Join(by[of], ", "))
	}
}

func (p *Page) writeTable(b *bytes.Buffer, title, subject string) {
	fmt.Fprintf(b, "\n### %s\n\n| day | figure | at the target | budget | use | slope, shape | sizes fitted (runs) | largest left out: miss | from | carried by |\n", title)
	b.WriteString(strings.Repeat("| --- ", 10) + "|\n")
	silent := p.unmeasuredDays(subject)
	for _, r := range p.rows {
		if r.Subject != subject {
			continue
		}
		what, by := r.Metric+", "+r.Unit, r.Mechanism
		if silent[r.Day] {
			if r.Metric != Metrics[0].Name {
				continue
			}
			what, by = "all of them", p.mechanismsOf(subject, r.Day)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", r.Day, what, r.targetCell(), r.budgetCell(), r.usageCell(),
			r.Fit.slopeCell(), r.Fit.sizesCell(), r.Fit.errorCell(), p.sourceCell(r), by)
	}
}

// carried are what carries a day's rows, each once.
func (p *Page) mechanismsOf(subject, day string) string {
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
func (p *Page) unmeasuredDays(subject string) map[string]bool {
	out := map[string]bool{}
	if subject != RoleLeader && subject != RoleFollower {
		return out
	}
	for _, r := range p.rows {
		if r.Subject == subject {
			before, seen := out[r.Day]
			out[r.Day] = (before || !seen) && r.LargestSize == 0
		}
	}
	return out
}

func (r *Row) targetCell() string {
	switch {
	case !r.Known && r.LargestSize > 0:
		return fmt.Sprintf("%s; %s at %d", r.UnknownReason, formatNumber(r.LargestSizeMean), r.LargestSize)
	case !r.Known:
		return r.UnknownReason
	case r.Extrapolated && r.Fit.unreliable():
		return "~? " + formatEstimate(r.Value, r.Interval)
	case r.Extrapolated:
		return "~ " + formatEstimate(r.Value, r.Interval)
	}
	return formatEstimate(r.Value, r.Interval)
}

func (r *Row) budgetCell() string {
	if r.Budget == 0 {
		return "none told"
	}
	return formatNumber(r.Budget)
}

func (r *Row) usageCell() string {
	use, at, ok := r.Use()
	text := "not known"
	switch {
	case r.Budget == 0:
		text = "no budget"
	case ok && at > 0:
		text = fmt.Sprintf("%s at %d already", formatNumber(use), at)
	case ok:
		text = formatNumber(use)
	case r.LargestSize == 0:
		text = "not measured"
	}
	if r.NeverInForce > 0 {
		text += fmt.Sprintf("; never at %d agents in all runs together", r.NeverInForce)
	}
	return text
}

func (f *Fit) slopeCell() string {
	if f == nil {
		return "no fit"
	}
	text := string(f.Shape)
	switch {
	case f.GrowsQuadratically:
		text = fmt.Sprintf("**alarm:** %s × n²", formatEstimate(f.Slope, f.SlopeInterval))
	case f.Shape != ShapeFlat:
		text = fmt.Sprintf("%s × %s", formatEstimate(f.Slope, f.SlopeInterval), f.Shape)
	}
	if len(f.Indistinguishable) > 0 {
		var names []string
		for _, s := range f.Indistinguishable {
			names = append(names, string(s))
		}
		text += "; not told from " + strings.Join(names, ", ")
	}
	return text
}

func (f *Fit) sizesCell() string {
	if f == nil {
		return "no fit"
	}
	return fmt.Sprintf("%s (%d)", joinInts(f.Sizes), f.Runs)
}

// outside tells whether the largest size lay outside of its prediction's interval.
func (f *Fit) outsideInterval() bool {
	return f.HeldOutSize > 0 && !f.PredictedInterval.Contains(f.Measured) && math.Abs(f.Measured-f.Predicted) > 1e-9*f.Measured
}

// missed tells whether it lay outside and off by over a tenth: what is told at the target then
// is not to be relied on.
func (f *Fit) unreliable() bool {
	return f.outsideInterval() && math.Abs(f.Measured-f.Predicted) > 0.1*f.Predicted
}

func (f *Fit) errorCell() string {
	if f == nil {
		return "no fit"
	}
	if f.HeldOutSize == 0 {
		return "none left out of 3 sizes"
	}
	text := fmt.Sprintf("%d: both 0", f.HeldOutSize)
	if miss, ok := f.RelativeError(); ok {
		text = fmt.Sprintf("%d: %+.1f %%", f.HeldOutSize, 100*miss)
	} else if f.Measured > 0 {
		text = fmt.Sprintf("%d: %s for 0", f.HeldOutSize, formatNumber(f.Measured))
	}
	if f.outsideInterval() {
		text += ", outside of its interval"
	}
	return text
}

// from names the records and the agents that a row was taken from.
func (p *Page) sourceCell(r *Row) string {
	var parts []string
	for i, rec := range p.Records {
		if r.Runs > 0 && slices.ContainsFunc(rec.valid, func(run *Run) bool { return p.usesRun(run, r) }) {
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
func (p *Page) usesRun(run *Run, r *Row) bool {
	if r.Subject == subjectInForce {
		return run.Day == r.Day && run.InForce[r.Metric].Count > 0
	}
	return run.Day == r.Day && slices.Contains(p.firstPlanRuns, run)
}

// times are the times from a change's acknowledgement as they were measured at the largest size.
func (p *Page) writeMeasuredTimes(b *bytes.Buffer) {
	b.WriteString("\nAs measured, at the largest size of each day: means over its runs of the p50, the p99 and the last agent's.\n\n" +
		"| change | day | agents (runs) | p50, s | p99, s | last, s | changes × agents | never |\n" + strings.Repeat("| --- ", 8) + "|\n")
	for _, kind := range changeKinds {
		for _, day := range inForceDays {
			fmt.Fprintf(b, "| %s | %s | %s |\n", kind, day, p.measuredTimesCells(kind, day))
		}
	}
}

func (p *Page) measuredTimesCells(kind, day string) string {
	largest := 0
	var at []Latencies
	for _, r := range runsOnDay(p.Runs, day) {
		t := r.InForce[kind]
		if t.Count == 0 && t.NeverInForce == 0 || r.Size < largest {
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
	var sum Latencies
	for _, t := range at {
		sum = Latencies{Count: sum.Count + t.Count, P50: sum.P50 + t.P50, P99: sum.P99 + t.P99, Max: sum.Max + t.Max, NeverInForce: sum.NeverInForce + t.NeverInForce}
	}
	s := 1000 * float64(len(at))
	if sum.Count == 0 {
		return fmt.Sprintf("%d (%d) | never | never | never | 0 | %d", largest, len(at), sum.NeverInForce)
	}
	return fmt.Sprintf("%d (%d) | %s | %s | %s | %d | %d", largest, len(at), formatNumber(sum.P50/s), formatNumber(sum.P99/s), formatNumber(sum.Max/s), sum.Count, sum.NeverInForce)
}

// dataPath are the benchmarks' figures by servers listed.
func (p *Page) writeDataPath(b *bytes.Buffer) {
	budget, rows := 1000*p.Target.Agent.AddedP99MS, p.dataPathRows()
	fmt.Fprintf(b, "\n### The data path\n\nNothing here is extrapolated: it was run with as many servers listed. µs.\n\n"+
		"| servers | direct p99 | through the agent p99 | added p50 | added p99 | budget | use | timer late p99 | connects a call | runs | carried by |\n%s|\n", strings.Repeat("| --- ", 11))
	for _, n := range p.serverCounts(pathBenchmark) {
		name := fmt.Sprintf("%s/servers=%d", pathBenchmark, n)
		cell := func(unit string) string { return p.estimateCell(name, unit, 1) }
		fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", n, cell("direct-p99-us"), cell("agent-p99-us"), cell("added-p50-us"), cell("added-p99-us"),
			formatNumber(budget), p.usageCell(name, "added-p99-us", 1, budget), cell("late-p99-us"), cell("connects/op"), p.runCountCell(name, "added-p99-us"), p.Mechanisms.forRow(rows[0].Name()))
	}
	b.WriteString("\n| servers | state | decisions for a request | budget | use | runs | carried by |\n" + strings.Repeat("| --- ", 7) + "|\n")
	for _, n := range p.serverCounts(decisionBenchmark) {
		for i, s := range decisionStates {
			name := fmt.Sprintf("%s/servers=%d/state=%s", decisionBenchmark, n, s)
			fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s | %s |\n", n, s, p.estimateCell(name, "sec/op", 1e6), formatNumber(budget), p.usageCell(name, "sec/op", 1e6, budget),
				p.runCountCell(name, "sec/op"), p.Mechanisms.forRow(rows[1+i].Name()))
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
func (p *Page) serverCounts(name string) []int {
	set := map[int]bool{10: true, 100: true, p.Target.Fleet.Backends: true}
	for _, b := range p.Benches {
		maps.Copy(set, b.ServerCounts(name))
	}
	return slices.Sorted(maps.Keys(set))
}

func (p *Page) estimateCell(name, unit string, times float64) string {
	e, ok := p.estimate(name, unit)
	switch {
	case !ok:
		return "not measured"
	case e.SingleRun:
		return formatNumber(times*e.Mean) + " (one run)"
	}
	return formatEstimate(times*e.Mean, Interval{times * e.Interval.Lo, times * e.Interval.Hi})
}

func (p *Page) usageCell(name, unit string, times, budget float64) string {
	if e, ok := p.estimate(name, unit); ok {
		return formatNumber(times * e.Mean / budget)
	}
	return "not measured"
}

func (p *Page) runCountCell(name, unit string) string {
	e, _ := p.estimate(name, unit)
	return strconv.Itoa(e.Runs)
}

// carriers says of each mechanism what the tables' few words leave out.
func (p *Page) writeMechanisms(b *bytes.Buffer) {
	b.WriteString("\n### What carries them\n\n")
	for _, m := range p.Mechanisms.All {
		if m.Why != "" {
			fmt.Fprintf(b, "- %s (%s): %s\n", m.label(), strings.Join(m.Rows, "; "), m.Why)
		}
	}
	b.WriteString("- a row that no pattern names: " + noMechanism + "\n")
}

// ratios are hollow agents' figures over real ones' in the same runs.
func (p *Page) writeRatios(b *bytes.Buffer) {
	fmt.Fprintf(b, "\n### Hollow agents over real ones\n\nIn the same runs. From %s to %s the hollow figure is taken as it is; outside it is divided by the ratio, if that is\n"+
		"steady over the sizes and known to a quarter; else the real agents' is taken.\n\n| figure | %s |\n%s|\n",
		formatNumber(minUsableRatio), formatNumber(maxUsableRatio), strings.Join(agentDays, " | "), strings.Repeat("| --- ", 1+len(agentDays)))
	for _, f := range Metrics {
		fmt.Fprintf(b, "| %s ", f.Name)
		for _, day := range agentDays {
			runs, _ := p.comparableRuns(subjectAgent, day)
			s := selectSource(runs, f)
			switch {
			case s.HasRatio && !s.Ratio.Stable:
				fmt.Fprintf(b, "| %s in %d runs, not steady: %s ", formatEstimate(s.Ratio.Mean, s.Ratio.Interval), s.Ratio.Runs, s.Description)
			case s.HasRatio:
				fmt.Fprintf(b, "| %s in %d runs: %s ", formatEstimate(s.Ratio.Mean, s.Ratio.Interval), s.Ratio.Runs, s.Description)
			default:
				fmt.Fprintf(b, "| %s ", s.Description)
			}
		}
		b.WriteString("|\n")
	}
}

// runs are what was read, and what of it does not count.
func (p *Page) writeRuns(b *bytes.Buffer) {
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
			fmt.Fprintf(b, "| [%d] | %s, %s | %s | %s |\n", i+1, escapeCell(g.plan), escapeCell(g.commit), g.day, runCells(by[g]))
			command := fmt.Sprintf("- [%d] `%s`: `experiment scale %s --record %s`", i+1, rec.Path, planArgument(rec.Path, g.plan), rec.Path)
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
func planArgument(record, plan string) string {
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
	return escapeCell(plan) + ".toml"
}

// counted are the cells of one day's runs.
func runCells(all []*Run) string {
	runs := ValidRuns(all)
	sizes, lists, unsettled := map[int]int{}, map[int]bool{}, 0
	var seconds []float64
	var missing, invalid []string
	for _, r := range runs {
		sizes[r.Size]++
		lists[r.DiscoveryInstances] = true
		seconds = append(seconds, r.Seconds)
		if !r.Converged {
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
		out += ": " + joinReasons(invalid)
	}
	return strings.Join([]string{strings.Join(played, ", "), joinNumbersOrNone(rateFactors(runs)), joinIntsOrNone(slices.Sorted(maps.Keys(lists))),
		formatRange(seconds), strconv.Itoa(unsettled), out, joinReasons(missing)}, " | ")
}

// reasons are told once each.
func joinReasons(all []string) string {
	slices.Sort(all)
	if all = slices.Compact(all); len(all) == 0 {
		return "nothing"
	}
	return escapeCell(strings.Join(all, "; "))
}

// plain is text that can't break a table.
func escapeCell(text string) string {
	return strings.NewReplacer("|", "/", "\n", " ", "`", "'").Replace(text)
}

func joinInts(ns []int) string {
	var out []string
	for _, n := range ns {
		out = append(out, strconv.Itoa(n))
	}
	return strings.Join(out, ", ")
}

func joinIntsOrNone(ns []int) string {
	if len(ns) == 0 {
		return "none"
	}
	return joinInts(ns)
}

func joinNumbersOrNone(vs []float64) string {
	var out []string
	for _, v := range vs {
		out = append(out, formatNumber(v))
	}
	if len(out) == 0 {
		return "none"
	}
	return strings.Join(out, ", ")
}

// span is from the least to the most.
func formatRange(vs []float64) string {
	if len(vs) == 0 {
		return "none"
	}
	least, most := formatNumber(slices.Min(vs)), formatNumber(slices.Max(vs))
	if least == most {
		return least
	}
	return least + " to " + most
}

// within is a figure and its interval.
func formatEstimate(v float64, in Interval) string {
	if formatNumber(in.Lo) == formatNumber(v) && formatNumber(in.Hi) == formatNumber(v) {
		return formatNumber(v)
	}
	return fmt.Sprintf("%s (%s to %s)", formatNumber(v), formatNumber(in.Lo), formatNumber(in.Hi))
}

// num is a figure with three digits that count. What is no number has no place on the page.
func formatNumber(v float64) string {
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
