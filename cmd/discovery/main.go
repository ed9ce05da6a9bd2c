// Command discovery is the discovery service and its command line. "serve" runs one instance
// (internal/discovery/server). The other commands talk to the admin address of any instance: "put"
// and "remove" write the endpoint list, "status" shows an instance's state, and "settings" writes
// and reads the settings of a service's agents and shows which agents have them in force.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "discovery:", err)
		os.Exit(1)
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
