package main

import (
	"encoding/json"
	"net/http"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// putCommand returns the command that writes a server's entry.
func putCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "put ID",
		Short: "replace a server's entry",
		Args:  cobra.ExactArgs(1),
	}
	var entry endpoint.Endpoint
	var state string
	flags := cmd.Flags()
	flags.StringVar(&entry.Addr, "addr", "", "the server's address, host:port")
	flags.StringVar(&entry.Zone, "zone", "", "its zone")
	flags.StringVar(&entry.Region, "region", "", "its region")
	flags.StringVar(&entry.Kind, "kind", "", "its kind of machine")
	flags.IntVar(&entry.Cell, "cell", 0, "its cell")
	flags.StringVar(&state, "state", string(endpoint.StateUp), "up or draining")
	flags.Float64Var(&entry.Weight, "weight", 1, "its weight, above zero")
	flags.Float64Var(&entry.StartedMs, "started-ms", 0, "Unix time of its last start in milliseconds (0: long ago)")
	return withAdminFlag(cmd, func(cmd *cobra.Command, client adminClient, args []string) error {
		entry.ID = args[0]
		entry.State = endpoint.State(state)
		body, err := json.Marshal(entry)
		if err != nil {
			return err
		}
		return client.print(cmd, adminCall{method: http.MethodPut, path: endpoint.ServerPath(entry.ID), body: body})
	})
}

// removeCommand returns the command that removes a server from the list.
func removeCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "remove ID",
		Short: "remove a server from the list",
		Args:  cobra.ExactArgs(1),
	}
	return withAdminFlag(cmd, func(cmd *cobra.Command, client adminClient, args []string) error {
		return client.print(cmd, adminCall{method: http.MethodDelete, path: endpoint.ServerPath(args[0])})
	})
}

// statusCommand returns the command that prints an instance's status.
func statusCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "status", Short: "show an instance's Raft state, leader and list version"}
	return withAdminFlag(cmd, func(cmd *cobra.Command, client adminClient, _ []string) error {
		return client.print(cmd, adminCall{method: http.MethodGet, path: endpoint.StatusPath})
	})
}
