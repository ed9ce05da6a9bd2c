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

// printedMetric is a row of a printed table.
type printedMetric struct {
	key   capacity.MetricKey
	title string // with the unit
}

// printedMetrics lists the rows of a table in order.
var printedMetrics = []printedMetric{
	{capacity.CPU, "processor, cores"},
	{capacity.ResidentMB, "resident memory, MB"},
	{capacity.HeapMB, "live heap, MB"},
	{capacity.AllocKBps, "allocated, KB/s"},
	{capacity.BytesIn, "received, bytes/s"},
	{capacity.BytesOut, "sent, bytes/s"},
	{capacity.MessagesIn, "received, messages/s"},
	{capacity.MessagesOut, "sent, messages/s"},
	{capacity.MembershipBytes, "membership, bytes/s"},
	{capacity.DiscoveryBytes, "discovery, bytes/s"},
	{capacity.Descriptors, "open descriptors"},
	{capacity.Goroutines, "goroutines"},
	{capacity.Members, "members known"},
	{capacity.Servers, "servers known"},
}

// printedRole is a column of a printed table.
type printedRole struct {
	role  capacity.Role
	title string
}

// printedRoles lists the columns of a table in order.
var printedRoles = []printedRole{
	{capacity.RoleHollow, "hollow agent"},
	{capacity.RoleReal, "real agent"},
	{capacity.RoleLeader, "discovery leader"},
	{capacity.RoleFollower, "discovery follower"},
}

// PrintRuns prints the metrics of each run as a table with a row for each metric and a column for each role. The values
// are means over the role's members, and "-" where nothing was measured.
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

// printRun prints one run: a heading, the table of its metrics and the latencies of changes.
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
			fmt.Fprintf(b, "  %s in force after, ms: p50 %.1f, p99 %.1f, max %.1f of %d; not in force %d;"+
				" converged at the end: %v\n", kind, l.P50, l.P99, l.Max, l.Count, l.NeverInForce, r.Converged)
		}
	}
	if len(r.Missing) > 0 {
		fmt.Fprintf(b, "  not measured: %s\n", strings.Join(r.Missing, "; "))
	}
	if len(r.Invalid) > 0 {
		fmt.Fprintf(b, "  not valid: %s\n", strings.Join(r.Invalid, "; "))
	}
	b.WriteString("\n")
	return nil
}

// printRoles prints the table of a run's metrics.
func printRoles(b *bytes.Buffer, roles map[capacity.Role]capacity.RoleMetrics) error {
	var table strings.Builder
	table.WriteString("\t")
	for _, column := range printedRoles {
		fmt.Fprintf(&table, "%s (%d)\t", column.title, roles[column.role].Count)
	}
	table.WriteString("\n")
	for _, metric := range printedMetrics {
		table.WriteString(metric.title + "\t")
		for _, column := range printedRoles {
			if v, ok := roles[column.role].Mean[metric.key]; ok {
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
