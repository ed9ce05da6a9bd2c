package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/experiment"
)

// Defaults of the flags of `experiment draw`.
const (
	drawnAgents  = 12
	drawnServers = 12
	drawnLength  = 30 * time.Second
)

// drawCmd returns the command `experiment draw`.
func drawCmd() *cobra.Command {
	var config experiment.GeneratorConfig
	cmd := &cobra.Command{
		Use:   "draw KIND",
		Short: "print a generated scenario of a kind: " + strings.Join(experiment.ScenarioKinds(), ", "),
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config.Kind = args[0]
			return experiment.Generate(cmd.OutOrStdout(), config)
		},
	}
	cmd.Flags().Uint64Var(&config.Seed, "seed", 1, "seed of the scenario and of its random values")
	cmd.Flags().IntVar(&config.Agents, "agents", drawnAgents, "number of agents")
	cmd.Flags().IntVar(&config.Servers, "nodes", drawnServers, "number of servers")
	cmd.Flags().DurationVar(&config.Length, "length", drawnLength, "length of the traffic")
	return cmd
}
