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
	// putArguments is the number of arguments of "settings put": SERVICE and FILE.
	putArguments = 2
	// writeTimeFormat is the format of the UTC time at which settings were written.
	writeTimeFormat = "2006-01-02T15:04:05.000Z"
)

// settingsCommand returns the parent command of the subcommands for settings.
func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "settings", Short: "write and read the settings of a service's agents"}
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
	ifVersion := cmd.Flags().Uint64(flagName, 0, "write only if this is the newest version (0: there is none yet)")
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
		Short: "print a service's settings as they were put, and their version to standard error",
		Args:  cobra.ExactArgs(1),
	}
	const flagName = "version"
	version := cmd.Flags().Uint64(flagName, 0, "version to print, one of the last 20 (default: the newest)")
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
		Short: "list the last 20 versions of a service's settings, newest first",
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

// writeTime returns the formatted time at which a settings version was written.
func writeTime(settings server.SettingsVersion) string {
	return time.UnixMilli(settings.WrittenAtMs).UTC().Format(writeTimeFormat)
}
