package capacity

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"
)

// runGroup identifies the runs of a record that share a line of the table.
type runGroup struct {
	plan, commit string
	profile      Profile
}

// writeRuns writes the records that were read, and the runs that were excluded.
func (p *Page) writeRuns(b *bytes.Buffer) {
	b.WriteString(runsText)
	if len(p.Records) == 0 {
		b.WriteString("No record was given: nothing of the fleet was measured.\n")
		return
	}
	b.WriteString(tableHeader("record", "plan, commit", "profile", "agents × runs", "rate factor", "instances", "seconds",
		"not converged", "excluded", "missing"))
	var commands []string
	for i, record := range p.Records {
		order, groups := groupRuns(record.Runs)
		for _, group := range order {
			fmt.Fprintf(b, "| [%d] | %s, %s | %s | %s |\n",
				i+1, escapeCell(group.plan), escapeCell(group.commit), group.profile, runCells(groups[group]))
			command := fmt.Sprintf("- [%d] `%s`: `experiment scale %s --record %s`",
				i+1, record.Path, planArgument(record.Path, group.plan), record.Path)
			if !slices.Contains(commands, command) {
				commands = append(commands, command)
			}
		}
		if len(order) == 0 {
			commands = append(commands, fmt.Sprintf("- [%d] `%s`: has no runs", i+1, record.Path))
		}
	}
	fmt.Fprintf(b, "\n%s\n", strings.Join(commands, "\n"))
}

// groupRuns groups runs. order has the groups sorted by profile, and within a profile in the order of
// their first runs.
func groupRuns(runs []*Run) (order []runGroup, groups map[runGroup][]*Run) {
	groups = map[runGroup][]*Run{}
	for _, r := range runs {
		group := runGroup{r.Plan, r.Commit, r.Profile}
		if groups[group] == nil {
			order = append(order, group)
		}
		groups[group] = append(groups[group], r)
	}
	slices.SortStableFunc(order, func(a, b runGroup) int {
		return cmp.Compare(slices.Index(Profiles, a.profile), slices.Index(Profiles, b.profile))
	})
	return order, groups
}

// planArgument returns the argument that makes `experiment scale` run a plan. This is the flag of the
// built-in plan, or the plan file in the record's directory that has the plan's name as its key "name". If
// there is no such file, it is the plan's name with ".toml".
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

// runCells returns the cells of one group of runs.
func runCells(runs []*Run) string {
	valid := ValidRuns(runs)
	runsBySize := map[int]int{}
	instances := map[int]bool{}
	unconverged := 0
	var seconds []float64
	var missing []string
	for _, r := range valid {
		runsBySize[r.Size]++
		instances[r.DiscoveryInstances] = true
		seconds = append(seconds, r.Seconds)
		missing = append(missing, r.Missing...)
		if !r.Converged {
			unconverged++
		}
	}
	return strings.Join([]string{
		formatSizes(runsBySize),
		joinNumbersOrNone(rateFactors(valid)),
		joinIntsOrNone(slices.Sorted(maps.Keys(instances))),
		formatRange(seconds),
		strconv.Itoa(unconverged),
		excludedCell(runs, len(runs)-len(valid)),
		joinReasons(missing),
	}, " | ")
}

// formatSizes returns a list of the sizes with the number of runs of each.
func formatSizes(runsBySize map[int]int) string {
	var sizes []string
	for _, size := range slices.Sorted(maps.Keys(runsBySize)) {
		sizes = append(sizes, fmt.Sprintf("%d × %d", size, runsBySize[size]))
	}
	if len(sizes) == 0 {
		return noValues
	}
	return strings.Join(sizes, ", ")
}

// excludedCell returns the number of excluded runs, and the reasons why runs are invalid.
func excludedCell(runs []*Run, count int) string {
	var invalid []string
	for _, r := range runs {
		invalid = append(invalid, r.Invalid...)
	}
	if len(invalid) == 0 {
		return strconv.Itoa(count)
	}
	return strconv.Itoa(count) + ": " + joinReasons(invalid)
}
