package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/experiment"
)

// What `experiment draw` generates without flags.
const (
	drawnAgents  = 12
	drawnServers = 12
	drawnLength  = 30 * time.Second
)

// drawCmd is `experiment draw`.
func drawCmd() *cobra.Command {
	var seed uint64
	var agents, servers int
	var length time.Duration
	cmd := &cobra.Command{
		Use:   "draw KIND",
		Short: "print a generated scenario of a kind: " + strings.Join(experiment.ScenarioKinds(), ", "),
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return experiment.Generate(cmd.OutOrStdout(), args[0], seed, agents, servers, length)
		},
	}
	cmd.Flags().Uint64Var(&seed, "seed", 1, "seed of the scenario's magnitudes")
	cmd.Flags().IntVar(&agents, "agents", drawnAgents, "number of agents")
	cmd.Flags().IntVar(&servers, "nodes", drawnServers, "number of servers")
	cmd.Flags().DurationVar(&length, "length", drawnLength, "length of the traffic")
	return cmd
}
