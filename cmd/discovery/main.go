// Command discovery is the discovery service and its command line. "serve" runs one instance
// (internal/discovery/server). The other commands talk to the admin address of any instance: "put"
// and "remove" write the endpoint list, "status" shows an instance's state, and "settings" writes
// and reads the settings of a service's agents and shows which agents have them in force.
//
// The exit code is 0 if the command succeeded, for "serve" after SIGTERM or SIGINT. It is 1 after any
// error, which is printed on standard error after "discovery:": an invalid command line, file or
// configuration, an instance that can't be reached or that answers with another status than 200, or,
// for "settings status", agents that lack the newest version.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// exitFailure is the exit code after any error.
const exitFailure = 1

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "discovery:", err)
		os.Exit(exitFailure)
	}
}

// rootCommand returns the command line with all its commands.
func rootCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "discovery",
		Short:         "the replicated discovery service and its command line",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(serveCommand(), putCommand(), removeCommand(), statusCommand(), settingsCommand())
	return cmd
}
