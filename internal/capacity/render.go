package capacity

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
)

// notMeasured is the text of a cell without a value.
const notMeasured = "not measured"

// The texts between the tables.
const (
	legendText = `~ marks what is extrapolated to it, ~? what the largest size measured contradicts (outside of its
interval and off by over a tenth); in brackets is the 95 % interval. "×200 the rates" marks accelerated runs: "scaled"
to the target's rates, or "at" the accelerated ones, which are above these.
`
	rankingText = `
### Ranking

First requirements that lack a mechanism, then changes that did not come into force at some agent, then by the use
of the budget.

`
	measuredTimesText = `
As measured, at the largest size of each profile: means over its runs of the p50, the p99 and the last agent's.

`
	ratiosFormat = `
### Hollow agents over real ones

In the same runs. From %s to %s the hollow agents' value is taken as it is; outside it is divided by the ratio, if that
is steady over the sizes and known to a quarter; else the real agents' value is taken.

`
	dataPathText = `
### The data path

Nothing is extrapolated: each row was run with that many servers listed. Times are in µs.

`
	runsText = `
### Runs

The metrics of roles are from the first plan alone, changes in force from all plans that have them.

`
)

// Write writes the tables as Markdown.
func (p *Page) Write(to io.Writer) error {
	var b bytes.Buffer
	p.writeHeader(&b)
	p.writeRanking(&b)
	p.writeTable(&b, "Agent", subjectAgent)
	p.writeTable(&b, "Discovery instance: leader", string(RoleLeader))
	p.writeTable(&b, "Discovery instance: follower", string(RoleFollower))
	p.writeTable(&b, "Changes in force everywhere", subjectInForce)
	p.writeMeasuredTimes(&b)
	p.writeDataPath(&b)
	p.writeMechanisms(&b)
	p.writeRatios(&b)
	p.writeRuns(&b)
	_, err := to.Write(b.Bytes())
	return err
}

// tableHeader returns the header row of a Markdown table and the delimiter row below it.
func tableHeader(columns ...string) string {
	return "| " + strings.Join(columns, " | ") + " |\n" + strings.Repeat("| --- ", len(columns)) + "|\n"
}

// writeHeader writes the target, the legend and the alarms.
func (p *Page) writeHeader(b *bytes.Buffer) {
	fleet := p.Target.Fleet
	fmt.Fprintf(b, "Printed by `%s`.\n\n", p.Command)
	fmt.Fprintf(b, "The target: %s agents, %s services, %s regions, %s zones, %s changes a day.\n",
		formatCount(fleet.Agents), formatCount(fleet.Services), formatCount(fleet.Regions), formatCount(fleet.Zones),
		formatNumber(p.Target.Changes.PerDay))
	b.WriteString(legendText)
	if alarms := p.quadraticRows(); len(alarms) > 0 {
		fmt.Fprintf(b, "\n**Alarm, grows with n²:** %s.\n", strings.Join(alarms, "; "))
	}
}

// quadraticRows returns the titles of the rows that grow with n².
func (p *Page) quadraticRows() []string {
	var titles []string
	for _, r := range p.rows {
		if r.Fit != nil && r.Fit.GrowsQuadratically {
			titles = append(titles, r.title())
		}
	}
	return titles
}

// writeRanking writes the rows that can be ranked, and lists the others.
func (p *Page) writeRanking(b *bytes.Buffer) {
	ranked, unranked := p.Ranked()
	b.WriteString(rankingText)
	b.WriteString(tableHeader("rank", "row", "at the target", "budget", "use", "mechanism"))
	for i, r := range ranked {
		fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s |\n",
			i+1, r.title(), r.targetCell(), r.budgetCell(), r.usageCell(), r.Mechanism)
	}
	if len(ranked) == 0 {
		b.WriteString("| none | nothing that can be ranked | not measured | not measured | not measured | not measured |\n")
	}
	writeUnranked(b, unranked)
}

// writeUnranked lists the rows that could not be ranked. Rows for the time until a change is in force are
// grouped by the kind of change, all others by subject and condition.
func writeUnranked(b *bytes.Buffer, rows []*Row) {
	if len(rows) == 0 {
		return
	}
	b.WriteString("\nNot ranked, as there is no value at the target:\n\n")
	var order []string
	groups := map[string][]string{}
	for _, r := range rows {
		group := r.Subject + ", " + r.Condition
		item := r.Metric
		if r.Subject == subjectInForce {
			group = r.Metric + " in force everywhere"
			item = r.Condition
		}
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], item)
	}
	for _, group := range order {
		fmt.Fprintf(b, "- %s: %s\n", group, strings.Join(groups[group], ", "))
	}
}

// writeTable writes the rows of a subject. If no metric of a discovery instance was measured in a profile,
// one line stands for all metrics of this profile.
func (p *Page) writeTable(b *bytes.Buffer, title, subject string) {
	fmt.Fprintf(b, "\n### %s\n\n", title)
	b.WriteString(tableHeader("profile", "metric", "at the target", "budget", "use", "slope, shape", "sizes fitted (runs)",
		"largest held out: error", "source", "mechanism"))
	unmeasured := p.unmeasuredProfiles(subject)
	for _, r := range p.rows {
		if r.Subject != subject {
			continue
		}
		metric := r.Metric + ", " + r.Unit
		mechanism := r.Mechanism
		if unmeasured[r.Condition] {
			if r.Metric != Metrics[0].Name {
				continue
			}
			metric = "all of them"
			mechanism = p.mechanismsOf(subject, r.Condition)
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			r.Condition, metric, r.targetCell(), r.budgetCell(), r.usageCell(),
			r.Fit.slopeCell(), r.Fit.sizesCell(), r.Fit.errorCell(), p.sourceCell(r), mechanism)
	}
}

// mechanismsOf returns the distinct mechanisms of the rows of a condition.
func (p *Page) mechanismsOf(subject, condition string) string {
	var mechanisms []string
	for _, r := range p.rows {
		if r.Subject == subject && r.Condition == condition && !slices.Contains(mechanisms, r.Mechanism) {
			mechanisms = append(mechanisms, r.Mechanism)
		}
	}
	return strings.Join(mechanisms, "; ")
}

// unmeasuredProfiles returns the profiles in which no metric of a discovery instance was measured. It is
// empty for other subjects.
func (p *Page) unmeasuredProfiles(subject string) map[string]bool {
	unmeasured := map[string]bool{}
	if subject != string(RoleLeader) && subject != string(RoleFollower) {
		return unmeasured
	}
	for _, r := range p.rows {
		if r.Subject == subject {
			before, seen := unmeasured[r.Condition]
			unmeasured[r.Condition] = (before || !seen) && r.LargestSize == 0
		}
	}
	return unmeasured
}

// writeMeasuredTimes writes the times from a change's acknowledgement until it was in force, as
// measured at the largest size.
func (p *Page) writeMeasuredTimes(b *bytes.Buffer) {
	b.WriteString(measuredTimesText)
	b.WriteString(tableHeader("change", "profile", "agents (runs)", "p50, s", "p99, s", "last, s", "changes × agents",
		"not in force"))
	for _, kind := range changeKinds {
		for _, profile := range inForceProfiles {
			fmt.Fprintf(b, "| %s | %s | %s |\n", kind, profile, p.measuredTimesCells(kind, profile))
		}
	}
}

// measuredTimesColumns is the number of cells that measuredTimesCells returns.
const measuredTimesColumns = 6

// measuredTimesCells returns the cells for a kind of change in a profile: the largest size at which it was
// measured, and the times and counts of the runs at that size.
func (p *Page) measuredTimesCells(kind ChangeKind, profile Profile) string {
	largest := 0
	runs := 0
	var sum Latencies
	for _, r := range runsOfProfile(p.Runs, profile) {
		latencies := r.InForce[kind]
		if latencies.Count == 0 && latencies.NeverInForce == 0 || r.Size < largest {
			continue
		}
		if r.Size > largest {
			largest = r.Size
			runs = 0
			sum = Latencies{}
		}
		runs++
		sum.add(latencies)
	}
	if runs == 0 {
		return strings.Join(slices.Repeat([]string{notMeasured}, measuredTimesColumns), " | ")
	}
	if sum.Count == 0 {
		return fmt.Sprintf("%d (%d) | never | never | never | 0 | %d", largest, runs, sum.NeverInForce)
	}
	divisor := msPerSecond * float64(runs)
	return fmt.Sprintf("%d (%d) | %s | %s | %s | %d | %d", largest, runs, formatNumber(sum.P50/divisor),
		formatNumber(sum.P99/divisor), formatNumber(sum.Max/divisor), sum.Count, sum.NeverInForce)
}

// add adds the counts and durations of another summary, to compute means.
func (l *Latencies) add(other Latencies) {
	l.Count += other.Count
	l.P50 += other.P50
	l.P99 += other.P99
	l.Max += other.Max
	l.NeverInForce += other.NeverInForce
}

// writeMechanisms writes the explanations of the mechanisms that have one.
func (p *Page) writeMechanisms(b *bytes.Buffer) {
	b.WriteString("\n### Mechanisms\n\n")
	for _, m := range p.Mechanisms.All {
		if m.Why != "" {
			fmt.Fprintf(b, "- %s (%s): %s\n", m.label(), strings.Join(m.Rows, "; "), m.Why)
		}
	}
	b.WriteString("- a row that no pattern matches: " + noMechanism + "\n")
}

// writeRatios writes the ratios of hollow agents to real ones in the same runs.
func (p *Page) writeRatios(b *bytes.Buffer) {
	fmt.Fprintf(b, ratiosFormat, formatNumber(minUsableRatio), formatNumber(maxUsableRatio))
	columns := []string{"metric"}
	for _, profile := range agentProfiles {
		columns = append(columns, string(profile))
	}
	b.WriteString(tableHeader(columns...))
	for _, metric := range Metrics {
		fmt.Fprintf(b, "| %s ", metric.Name)
		for _, profile := range agentProfiles {
			runs, _ := p.comparableRuns(subjectAgent, profile)
			fmt.Fprintf(b, "| %s ", selectSource(runs, metric).ratioCell())
		}
		b.WriteString("|\n")
	}
}
