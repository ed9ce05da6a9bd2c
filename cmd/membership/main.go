// Command membership shows operators what the agents of a fleet see of each other, and runs
// the fleet view's experiments: fleets of the real agent on this machine with faults put
// between them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/membership"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	if err := root().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "membership:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "membership", Short: "the fleet view of the agents, and its experiments",
		SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(viewCmd(), experimentCmd(), figuresCmd())
	return cmd
}

func viewCmd() *cobra.Command {
	var asJSON bool
	var within time.Duration
	cmd := &cobra.Command{Use: "view ADDR...", Short: "print the views of agents side by side and where they differ",
		Long: "Asks each agent's operators' door (host:port) for its view. The exit status is 1 if one\n" +
			"does not answer or their digests differ.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, addrs []string) error {
			views := ask(cmd.Context(), addrs, within)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(views)
			}
			return show(cmd.OutOrStdout(), views)
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the answers as one JSON list")
	cmd.Flags().DurationVar(&within, "within", 2*time.Second, "how long an agent may take to answer")
	return cmd
}

// answer is what one door said, or why it did not.
type answer struct {
	Addr   string             `json:"addr"`
	Error  string             `json:"error,omitempty"`
	Status *membership.Status `json:"view,omitempty"`
}

// ask asks all doors at once.
func ask(ctx context.Context, addrs []string, within time.Duration) []answer {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	views := make([]answer, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			views[i].Addr = addr
			s, err := membership.FetchStatus(ctx, addr, "")
			if err != nil {
				views[i].Error = err.Error()
				return
			}
			views[i].Status = s
		}()
	}
	wg.Wait()
	return views
}

// show prints a line for each agent, then a line for each member that not all see alike.
func show(w io.Writer, views []answer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "AGENT\tPROCESS\tMEMBER\tVIEW\tDIGEST\tPRESENT\tAT LEAST\tAT MOST\tQUORATE\tUNCHANGED\tDOOR")
	digests := map[string]bool{}
	silent := 0
	states := map[string][]string{} // of each member, as each that answered sees it
	for i, v := range views {
		s := v.Status
		if s == nil {
			silent++
			fmt.Fprintf(out, "?\t%s\t\t\t\t\t\t\t\t\t%s\n", v.Error, v.Addr)
			continue
		}
		digests[s.Digest] = true
		fmt.Fprintf(out, "%s\t%s\t%v\t%d\t%s\t%d of %d\t%d\t%d\t%v\t%v\t%s\n", s.Self, s.Process, s.Member, s.Number, s.Digest,
			s.Present, s.Size, s.AtLeast, s.AtMost, s.Quorate, (time.Duration(s.UnchangedMs) * time.Millisecond).Round(time.Second), v.Addr)
		for _, m := range s.Members {
			if states[m.Name] == nil {
				states[m.Name] = make([]string, len(views))
			}
			states[m.Name][i] = fmt.Sprintf("%s %s", m.Process, m.State)
		}
	}
	out.Flush()
	differ := 0
	names := make([]string, 0, len(states))
	for n := range states {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		by := map[string][]string{}
		for i, state := range states[n] {
			if views[i].Status != nil {
				by[state] = append(by[state], views[i].Status.Self)
			}
		}
		if len(by) < 2 {
			continue
		}
		differ++
		fmt.Fprintf(out, "differs: %s", n)
		for state, who := range by {
			if state == "" {
				state = "unknown"
			}
			fmt.Fprintf(out, "\t%s at %d: %v", state, len(who), who[:min(len(who), 3)])
		}
		fmt.Fprintln(out)
	}
	out.Flush()
	if len(digests) > 1 || silent > 0 {
		return fmt.Errorf("%d digests, %d members seen differently, %d of %d agents silent", len(digests), differ, silent, len(views))
	}
	return nil
}
