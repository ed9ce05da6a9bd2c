// Command discovery runs an instance of the discovery service and administers the service. The command
// "serve" runs one instance (see internal/discovery/server). The other commands call the admin address of
// any instance: "put" and "remove" change the endpoint list, "status" shows an instance's state, and
// "settings" writes and reads the settings of a service's agents and shows which agents have them in
// force.
//
// The exit code is 0 on success; for "serve" this is a shutdown by SIGTERM or SIGINT. It is 1 on any
// error, which is printed to standard error after "discovery:": an invalid command line, file or
// configuration, an instance that can't be reached or that responds with a status other than 200, or, for
// "settings status", agents that do not have the newest version in force.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitFailure is the exit code on any error.
const exitFailure = 1

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "discovery:", err)
		os.Exit(exitFailure)
	}
}

// rootCommand returns the root command with all its subcommands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "discovery",
		Short:         "run and administer the replicated discovery service",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), putCommand(), removeCommand(), statusCommand(), settingsCommand())
	return cmd
}
