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
	// defaultViewTimeout is the default of --within, which bounds the time for the agents to respond.
	defaultViewTimeout = 2 * time.Second
	// maxNamedObservers is the maximum number of agents named for each state in which agents see a member.
	maxNamedObservers = 3
	// columnGap is the number of spaces between columns.
	columnGap = 2
)

// viewCommand returns the command that compares the snapshots of several agents.
func viewCommand() *cobra.Command {
	var asJSON bool
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "view ADDR...",
		Short: "compare the membership snapshots of agents and print the differences",
		Long: "Reads the membership snapshot of each agent from its admin endpoint (host:port). The exit status is 1\n" +
			"if an agent does not respond or the digests differ.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, addrs []string) error {
			statuses := fetchAll(cmd.Context(), addrs, timeout)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(statuses)
			}
			return show(cmd.OutOrStdout(), statuses)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the statuses as one JSON array and don't compare them")
	cmd.Flags().DurationVar(&timeout, "within", defaultViewTimeout, "how long an agent may take to respond")
	return cmd
}

// agentStatus is an agent's status, or the error of the call.
type agentStatus struct {
	Addr   string             `json:"addr"`
	Error  string             `json:"error,omitempty"`
	Status *membership.Status `json:"view,omitempty"`
}

// fetchAll fetches the statuses of all agents concurrently.
func fetchAll(ctx context.Context, addrs []string, timeout time.Duration) []agentStatus {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	statuses := make([]agentStatus, len(addrs))
	var calls sync.WaitGroup
	for i, addr := range addrs {
		calls.Add(1)
		go func() {
			defer calls.Done()
			statuses[i] = fetch(ctx, addr)
		}()
	}
	calls.Wait()
	return statuses
}

// fetch fetches the status of one agent.
func fetch(ctx context.Context, addr string) agentStatus {
	status, err := membership.FetchStatus(ctx, addr, "")
	if err != nil {
		return agentStatus{Addr: addr, Error: err.Error()}
	}
	return agentStatus{Addr: addr, Status: status}
}

// disagreementError reports that agents do not respond or that their digests differ.
type disagreementError struct {
	digests, differing, unresponsive, agents int
}

func (e *disagreementError) Error() string {
	return fmt.Sprintf("%d digests, %d members seen differently, %d of %d agents did not respond",
		e.digests, e.differing, e.unresponsive, e.agents)
}

// show prints a table with a row for each agent, and one with a row for each member that agents see differently.
func show(out io.Writer, statuses []agentStatus) error {
	var text bytes.Buffer
	showAgents(&text, statuses)
	differing := showDifferences(&text, statuses)
	if _, err := text.WriteTo(out); err != nil {
		return err
	}
	digests := map[string]bool{}
	unresponsive := 0
	for _, a := range statuses {
		if a.Status == nil {
			unresponsive++
			continue
		}
		digests[a.Status.Digest] = true
	}
	if len(digests) > 1 || unresponsive > 0 {
		return &disagreementError{
			digests:      len(digests),
			differing:    differing,
			unresponsive: unresponsive,
			agents:       len(statuses),
		}
	}
	return nil
}

// showAgents prints a table with a row for each agent.
func showAgents(text *bytes.Buffer, statuses []agentStatus) {
	table := newTable(text)
	printTo(table, "AGENT\tPROCESS\tMEMBER\tVIEW\tDIGEST\tPRESENT\tAT LEAST\tAT MOST\tQUORATE\tUNCHANGED\tADMIN\n")
	for _, a := range statuses {
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

// showDifferences prints a row for each member that agents see differently, and returns the number of these members.
func showDifferences(text *bytes.Buffer, statuses []agentStatus) int {
	table := newTable(text)
	differing := 0
	states := statesByMember(statuses)
	for _, name := range slices.Sorted(maps.Keys(states)) {
		observers := observersByState(states[name], statuses)
		if len(observers) <= 1 {
			continue // all agents see the member in the same state
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

// statesByMember returns, for each member, its process and state as seen by each agent, in the order of the agents. The
// state is empty if an agent did not respond or does not know the member.
func statesByMember(statuses []agentStatus) map[string][]string {
	states := map[string][]string{}
	for i, a := range statuses {
		if a.Status == nil {
			continue
		}
		for _, member := range a.Status.Members {
			if states[member.Name] == nil {
				states[member.Name] = make([]string, len(statuses))
			}
			states[member.Name][i] = fmt.Sprintf("%s %s", member.Process, member.State)
		}
	}
	return states
}

// observersByState returns the names of the agents that responded, by the state in which they see a member.
func observersByState(states []string, statuses []agentStatus) map[string][]string {
	observers := map[string][]string{}
	for i, state := range states {
		if status := statuses[i].Status; status != nil {
			observers[state] = append(observers[state], status.Self)
		}
	}
	return observers
}

// newTable returns a table with aligned columns.
func newTable(text *bytes.Buffer) *tabwriter.Writer {
	return tabwriter.NewWriter(text, 0, 0, columnGap, ' ', 0)
}

// printTo prints to a table. Writes to its memory buffer never fail.
func printTo(table *tabwriter.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(table, format, args...)
}

// flush completes a table. Writes to its memory buffer never fail.
func flush(table *tabwriter.Writer) { _ = table.Flush() }
