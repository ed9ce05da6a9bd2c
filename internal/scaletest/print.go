package scaletest

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"fernbeam.example/fernbeam/internal/capacity"
)

// shown are the figures that are printed, and roles their order.
var (
	printedMetrics = []string{capacity.CPU, capacity.ResidentMB, capacity.HeapMB, capacity.AllocKBps, capacity.BytesIn, capacity.BytesOut, capacity.MessagesIn,
		capacity.MessagesOut, capacity.ViewBytes, capacity.ListBytes, capacity.Descriptors, capacity.Goroutines, capacity.Members, capacity.Servers}
	printedRoles = []string{capacity.RoleHollow, capacity.RoleReal, capacity.RoleLeader, capacity.RoleFollower}
)

// Print prints runs as tables: of each run its figures, a row for each and a column for each role,
// means over the role's members; "-" is what was not measured.
func PrintRuns(out io.Writer, runs []*capacity.Run) error {
	for _, r := range runs {
		fmt.Fprintf(out, "%s: %d hollow and %d real agents, %d list instances, %d servers, repeat %d: %.0f s hurried %g times, %d changes\n",
			r.Day, r.Hollow, r.Real, r.DiscoveryInstances, r.ListedServers, r.Repeat, r.Seconds, r.RateFactor, r.Changes)
		if len(r.Roles) > 0 {
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
			head := "\t"
			for _, role := range printedRoles {
				head += fmt.Sprintf("%s (%d)\t", role, r.Roles[role].Count)
			}
			fmt.Fprintln(w, head)
			for _, name := range printedMetrics {
				line := name + "\t"
				for _, role := range printedRoles {
					if v, ok := r.Roles[role].Mean[name]; ok {
						line += fmt.Sprintf("%.4g\t", v)
					} else {
						line += "-\t"
					}
				}
				fmt.Fprintln(w, line)
			}
			if err := w.Flush(); err != nil {
				return err
			}
		}
		for _, kind := range []string{kindList, kindSettings} {
			if t, ok := r.InForce[kind]; ok {
				fmt.Fprintf(out, "  %s in force after, ms: p50 %.1f, p99 %.1f, worst %.1f of %d; never %d; settled at the end: %v\n", kind, t.P50, t.P99, t.Max, t.Count, t.NeverInForce, r.Converged)
			}
		}
		if len(r.Missing) > 0 {
			fmt.Fprintf(out, "  not measured: %s\n", strings.Join(r.Missing, "; "))
		}
		if len(r.Invalid) > 0 {
			fmt.Fprintf(out, "  does not count: %s\n", strings.Join(r.Invalid, "; "))
		}
		fmt.Fprintln(out)
	}
	return nil
}
