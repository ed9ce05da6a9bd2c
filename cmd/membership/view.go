package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// defaultViewTimeout is how long an agent may take to answer, unless --within says otherwise.
	defaultViewTimeout = 2 * time.Second
	// maxNamedObservers is how many agents are named that see a member in the same way.
	maxNamedObservers = 3
	// columnGap is the number of spaces between two columns.
	columnGap = 2
)

// viewCommand compares the snapshots of several agents.
func viewCommand() *cobra.Command {
	var asJSON bool
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "view ADDR...",
		Short: "print the snapshots of agents side by side and where they differ",
		Long: "Calls each agent's admin endpoint (host:port) for its snapshot of the members. The exit status is 1\n" +
			"if one does not answer or their digests differ.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, addrs []string) error {
			answers := fetchAll(cmd.Context(), addrs, timeout)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(answers)
			}
			return show(cmd.OutOrStdout(), answers)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the answers as one JSON list")
	cmd.Flags().DurationVar(&timeout, "within", defaultViewTimeout, "how long an agent may take to answer")
	return cmd
}

// answer is an agent's status, or why there is none.
type answer struct {
	Addr   string             `json:"addr"`
	Error  string             `json:"error,omitempty"`
	Status *membership.Status `json:"view,omitempty"`
}

// fetchAll calls all agents at once.
func fetchAll(ctx context.Context, addrs []string, timeout time.Duration) []answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers := make([]answer, len(addrs))
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Add(1)
		go func() {
			defer calls.Done()
			answers[i] = fetch(ctx, addr)
		}()
	}
	calls.Wait()
	return answers
}

// fetch calls one agent.
func fetch(ctx context.Context, addr string) answer {
	status, err := membership.FetchStatus(ctx, addr, "")
	if err != nil {
		return answer{Addr: addr, Error: err.Error()}
	}
	return answer{Addr: addr, Status: status}
}

// disagreementError tells that the agents do not all answer with the same digest.
type disagreementError struct {
	digests, differing, silent, agents int
}

func (e *disagreementError) Error() string {
	return fmt.Sprintf("%d digests, %d members seen differently, %d of %d agents silent",
		e.digests, e.differing, e.silent, e.agents)
}

// show prints a line for each agent, then a line for each member that not all see alike.
func show(out io.Writer, answers []answer) error {
	var text bytes.Buffer
	showAgents(&text, answers)
	differing := showDifferences(&text, answers)
	if _, err := text.WriteTo(out); err != nil {
		return err
	}
	digests := map[string]bool{}
	silent := 0
	for _, a := range answers {
		if a.Status == nil {
			silent++
			continue
		}
		digests[a.Status.Digest] = true
	}
	if len(digests) > 1 || silent > 0 {
		return &disagreementError{digests: len(digests), differing: differing, silent: silent, agents: len(answers)}
	}
	return nil
}

// showAgents prints a table with a line for each agent.
func showAgents(text *bytes.Buffer, answers []answer) {
	table := newTable(text)
	printTo(table, "AGENT\tPROCESS\tMEMBER\tVIEW\tDIGEST\tPRESENT\tAT LEAST\tAT MOST\tQUORATE\tUNCHANGED\tADMIN\n")
	for _, a := range answers {
		s := a.Status
		if s == nil {
			printTo(table, "?\t%s\t\t\t\t\t\t\t\t\t%s\n", a.Error, a.Addr)
			continue
		}
		unchanged := (time.Duration(s.UnchangedMs) * time.Millisecond).Round(time.Second)
		printTo(table, "%s\t%s\t%v\t%d\t%s\t%d of %d\t%d\t%d\t%v\t%v\t%s\n", s.Self, s.Process, s.Member, s.Number,
			s.Digest, s.Present, s.Size, s.AtLeast, s.AtMost, s.Quorate, unchanged, a.Addr)
	}
	flush(table)
}

// showDifferences prints a line for each member that not all agents see alike, and returns their number.
func showDifferences(text *bytes.Buffer, answers []answer) int {
	table := newTable(text)
	differing := 0
	states := statesByMember(answers)
	for _, name := range slices.Sorted(maps.Keys(states)) {
		observers := observersByState(states[name], answers)
		if len(observers) <= 1 {
			continue // all agents see it alike
		}
		differing++
		printTo(table, "differs: %s", name)
		for _, state := range slices.Sorted(maps.Keys(observers)) {
			names := observers[state]
			if state == "" {
				state = "unknown"
			}
			printTo(table, "\t%s at %d: %v", state, len(names), names[:min(len(names), maxNamedObservers)])
		}
		printTo(table, "\n")
	}
	flush(table)
	return differing
}

// statesByMember are each member's process and state, as each agent that answered sees them; empty: it does not know
// the member.
func statesByMember(answers []answer) map[string][]string {
	states := map[string][]string{}
	for i, a := range answers {
		if a.Status == nil {
			continue
		}
		for _, member := range a.Status.Members {
			if states[member.Name] == nil {
				states[member.Name] = make([]string, len(answers))
			}
			states[member.Name][i] = fmt.Sprintf("%s %s", member.Process, member.State)
		}
	}
	return states
}

// observersByState are the names of the agents that answered, by the state in which they see a member.
func observersByState(states []string, answers []answer) map[string][]string {
	observers := map[string][]string{}
	for i, state := range states {
		if status := answers[i].Status; status != nil {
			observers[state] = append(observers[state], status.Self)
		}
	}
	return observers
}

// newTable is a table whose columns are as wide as their cells.
func newTable(text *bytes.Buffer) *tabwriter.Writer {
	return tabwriter.NewWriter(text, 0, 0, columnGap, ' ', 0)
}

// printTo prints to a table in memory, which takes every write.
func printTo(table *tabwriter.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(table, format, args...)
}

// flush ends a table in memory, which takes every write.
func flush(table *tabwriter.Writer) { _ = table.Flush() }
