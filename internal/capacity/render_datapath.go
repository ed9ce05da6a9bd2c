package capacity

import (
	"bytes"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
)

// writeDataPath writes the benchmarks of the data path by the number of listed servers.
func (p *Page) writeDataPath(b *bytes.Buffer) {
	// The first row is the added latency, followed by one row for each decision state.
	rows := p.dataPathRows()
	budget := formatNumber(p.dataPathBudget())
	b.WriteString(dataPathText)
	b.WriteString(tableHeader("servers", "direct p99", "through the agent p99", "added p50", "added p99", "budget", "use",
		"timer late p99", "connects a call", "runs", "mechanism"))
	for _, servers := range p.serverCounts(pathBenchmark) {
		name := pathName(servers)
		cell := func(unit string) string { return p.estimateCell(name, unit, 1) }
		fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s | %s | %s | %s | %s | %s |\n",
			servers, cell("direct-p99-us"), cell("agent-p99-us"), cell("added-p50-us"), cell("added-p99-us"),
			budget, p.usageCell(name, "added-p99-us", 1), cell("late-p99-us"), cell("connects/op"),
			p.runCountCell(name, "added-p99-us"), p.Mechanisms.forRow(rows[0].Name()))
	}
	b.WriteString("\n")
	b.WriteString(tableHeader("servers", "state", "decisions for a request", "budget", "use", "runs", "mechanism"))
	for _, servers := range p.serverCounts(decisionBenchmark) {
		for i, state := range decisionStates {
			name := decisionName(servers, state)
			fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %s | %s |\n",
				servers, state, p.estimateCell(name, "sec/op", usPerSecond), budget,
				p.usageCell(name, "sec/op", usPerSecond), p.runCountCell(name, "sec/op"),
				p.Mechanisms.forRow(rows[1+i].Name()))
		}
	}
	b.WriteString("\n")
	for _, benchmark := range p.Benchmarks {
		fmt.Fprintf(b, "- `%s`: %s\n", filepath.ToSlash(benchmark.Path), benchmark.describe())
	}
}

// describe returns how a file of benchmark output was produced, from its configuration lines.
func (b *BenchmarkFile) describe() string {
	if b.Missing {
		return "no such file"
	}
	text := "benchmark output"
	for _, key := range slices.Sorted(maps.Keys(b.Config)) {
		if key == "commit" || key == "command" || key == "cpu" {
			text += fmt.Sprintf("; %s: %s", key, b.Config[key])
		}
	}
	return text
}

// serverCounts returns the numbers of servers that a benchmark was run with or should be run with.
func (p *Page) serverCounts(name string) []int {
	counts := map[int]bool{10: true, 100: true, p.Target.Fleet.Servers: true}
	for _, b := range p.Benchmarks {
		maps.Copy(counts, b.ServerCounts(name))
	}
	return slices.Sorted(maps.Keys(counts))
}

// estimateCell returns a benchmark's estimate, multiplied by factor to convert its unit.
func (p *Page) estimateCell(name, unit string, factor float64) string {
	e, ok := p.estimate(name, unit)
	if !ok {
		return notMeasured
	}
	e = e.scaled(factor)
	if e.SingleRun {
		return formatNumber(e.Mean) + " (one run)"
	}
	return formatEstimate(e.Mean, e.Interval)
}

// usageCell returns the fraction of the data path's budget that a benchmark uses.
func (p *Page) usageCell(name, unit string, factor float64) string {
	if e, ok := p.estimate(name, unit); ok {
		return formatNumber(e.scaled(factor).Mean / p.dataPathBudget())
	}
	return notMeasured
}

// runCountCell returns the number of runs of a benchmark.
func (p *Page) runCountCell(name, unit string) string {
	e, _ := p.estimate(name, unit)
	return strconv.Itoa(e.Runs)
}
