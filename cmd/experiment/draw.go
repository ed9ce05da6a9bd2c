package main

import (
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/experiment"
)

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
	cmd.Flags().IntVar(&agents, "agents", 12, "number of agents")
	cmd.Flags().IntVar(&servers, "nodes", 12, "number of servers")
	cmd.Flags().DurationVar(&length, "length", 30*time.Second, "length of the traffic")
	return cmd
}
