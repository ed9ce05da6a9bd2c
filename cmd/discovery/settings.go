package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// putArguments is the number of arguments of put: SERVICE and FILE.
	putArguments = 2
	// writeTimeFormat shows the time of a write, in UTC.
	writeTimeFormat = "2006-01-02T15:04:05.000Z"
)

// settingsCommand returns the command with the subcommands about settings.
func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "the settings of a service's agents"}
	cmd.AddCommand(settingsPutCommand(), settingsGetCommand(), settingsHistoryCommand(), settingsStatusCommand())
	return cmd
}

// settingsPutCommand returns the command that writes a service's settings.
func settingsPutCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "put SERVICE FILE|-",
		Short: "replace a service's settings from a file or standard input",
		Args:  cobra.ExactArgs(putArguments),
	}
	const flagName = "if-version"
	ifVersion := cmd.Flags().Uint64(flagName, 0, "only if this version is in place (0: none yet)")
	return withAdminFlag(cmd, func(cmd *cobra.Command, client adminClient, args []string) error {
		text, err := readInput(cmd, args[1])
		if err != nil {
			return err
		}
		header := http.Header{}
		if cmd.Flags().Changed(flagName) {
			header.Set("If-Match", fmt.Sprint(*ifVersion))
		}
		path := endpoint.SettingsPath(args[0])
		return client.print(cmd, adminCall{method: http.MethodPut, path: path, body: text, header: header})
	})
}

// settingsGetCommand returns the command that prints a version of a service's settings.
func settingsGetCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "get SERVICE",
		Short: "a service's settings as they were put; their version on standard error",
		Args:  cobra.ExactArgs(1),
	}
	const flagName = "version"
	version := cmd.Flags().Uint64(flagName, 0, "this version, of the last 20")
	return withAdminFlag(cmd, func(cmd *cobra.Command, client adminClient, args []string) error {
		path := endpoint.SettingsPath(args[0])
		if cmd.Flags().Changed(flagName) {
			path += fmt.Sprintf("?%s=%d", endpoint.QueryVersion, *version)
		}
		var settings server.SettingsVersion
		if err := client.getJSON(cmd.Context(), path, &settings); err != nil {
			return err
		}
		_, err := fmt.Fprintf(cmd.ErrOrStderr(), "version %d of %s\n", settings.Version, writeTime(settings))
		if err != nil {
			return err
		}
		_, err = io.WriteString(cmd.OutOrStdout(), settings.Text)
		return err
	})
}

// settingsHistoryCommand returns the command that lists the versions of a service's settings.
func settingsHistoryCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "history SERVICE",
		Short: "the last 20 versions of a service's settings, the newest first",
		Args:  cobra.ExactArgs(1),
	}
	return withAdminFlag(cmd, func(cmd *cobra.Command, client adminClient, args []string) error {
		var versions []server.SettingsVersion
		path := endpoint.SettingsHistoryPath(args[0])
		if err := client.getJSON(cmd.Context(), path, &versions); err != nil {
			return err
		}
		var table strings.Builder
		table.WriteString("VERSION\tWRITTEN\tBYTES\n")
		for _, version := range versions {
			fmt.Fprintf(&table, "%d\t%s\t%d\n", version.Version, writeTime(version), version.Bytes)
		}
		return writeTable(cmd.OutOrStdout(), table.String())
	})
}

// writeTime formats the time of the write of a settings version.
func writeTime(settings server.SettingsVersion) string {
	return time.UnixMilli(settings.WrittenAtMs).UTC().Format(writeTimeFormat)
}
