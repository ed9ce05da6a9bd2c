package scaletest

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"fernbeam.example/fernbeam/internal/capacity"
)

// columnPadding is the number of spaces between two columns.
const columnPadding = 2

// The rows and columns of a printed table, in order.
var (
	printedMetrics = []string{
		capacity.CPU, capacity.ResidentMB, capacity.HeapMB, capacity.AllocKBps, capacity.BytesIn, capacity.BytesOut,
		capacity.MessagesIn, capacity.MessagesOut, capacity.ViewBytes, capacity.ListBytes, capacity.Descriptors,
		capacity.Goroutines, capacity.Members, capacity.Servers,
	}
	printedRoles = []string{capacity.RoleHollow, capacity.RoleReal, capacity.RoleLeader, capacity.RoleFollower}
)

// PrintRuns prints the metrics of runs as tables: a row for each metric and a column for each role, means
// over the role's members; "-" is what was not measured.
func PrintRuns(out io.Writer, runs []*capacity.Run) error {
	var b bytes.Buffer
	for _, r := range runs {
		if err := printRun(&b, r); err != nil {
			return err
		}
	}
	_, err := out.Write(b.Bytes())
	return err
}

// printRun prints one run.
func printRun(b *bytes.Buffer, r *capacity.Run) error {
	fmt.Fprintf(b, "%s: %d hollow and %d real agents, %d discovery instances, %d servers, repeat %d:"+
		" %.0f s at %g times the target's rates, %d changes\n",
		r.Profile, r.Hollow, r.Real, r.DiscoveryInstances, r.ListedServers, r.Repeat, r.Seconds, r.RateFactor, r.Changes)
	if len(r.Roles) > 0 {
		if err := printRoles(b, r.Roles); err != nil {
			return err
		}
	}
	for _, kind := range changeKinds {
		if l, ok := r.InForce[kind]; ok {
			fmt.Fprintf(b, "  %s in force after, ms: p50 %.1f, p99 %.1f, max %.1f of %d; never %d;"+
				" converged at the end: %v\n", kind, l.P50, l.P99, l.Max, l.Count, l.NeverInForce, r.Converged)
		}
	}
	if len(r.Missing) > 0 {
		fmt.Fprintf(b, "  not measured: %s\n", strings.Join(r.Missing, "; "))
	}
	if len(r.Invalid) > 0 {
		fmt.Fprintf(b, "  does not count: %s\n", strings.Join(r.Invalid, "; "))
	}
	b.WriteString("\n")
	return nil
}

// printRoles prints the table of one run.
func printRoles(b *bytes.Buffer, roles map[string]capacity.RoleMetrics) error {
	var table strings.Builder
	table.WriteString("\t")
	for _, role := range printedRoles {
		fmt.Fprintf(&table, "%s (%d)\t", role, roles[role].Count)
	}
	table.WriteString("\n")
	for _, metric := range printedMetrics {
		table.WriteString(metric + "\t")
		for _, role := range printedRoles {
			if v, ok := roles[role].Mean[metric]; ok {
				fmt.Fprintf(&table, "%.4g\t", v)
			} else {
				table.WriteString("-\t")
			}
		}
		table.WriteString("\n")
	}
	writer := tabwriter.NewWriter(b, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	if _, err := io.WriteString(writer, table.String()); err != nil {
		return err
	}
	return writer.Flush()
}
