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
	var admin string
	var ifVersion uint64
	cmd := &cobra.Command{
		Use:   "put SERVICE FILE|-",
		Short: "replace a service's settings from a file or standard input",
		Args:  cobra.ExactArgs(putArguments),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := readInput(cmd, args[1])
			if err != nil {
				return err
			}
			put := adminCall{method: http.MethodPut, path: endpoint.SettingsPath(args[0]), body: text, header: http.Header{}}
			if cmd.Flags().Changed("if-version") {
				put.header.Set("If-Match", fmt.Sprint(ifVersion))
			}
			return callAndPrint(cmd, admin, put)
		},
	}
	addAdminFlag(cmd, &admin)
	cmd.Flags().Uint64Var(&ifVersion, "if-version", 0, "only if this version is in place (0: none yet)")
	return cmd
}

// settingsGetCommand returns the command that prints a version of a service's settings.
func settingsGetCommand() *cobra.Command {
	var admin string
	var version uint64
	cmd := &cobra.Command{
		Use:   "get SERVICE",
		Short: "a service's settings as they were put; their version on standard error",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := endpoint.SettingsPath(args[0])
			if cmd.Flags().Changed("version") {
				path += fmt.Sprint("?version=", version)
			}
			var settings server.SettingsVersion
			if err := newAdminClient(admin, callTimeout).getJSON(cmd.Context(), path, &settings); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.ErrOrStderr(), "version %d of %s\n", settings.Version, writeTime(settings))
			if err != nil {
				return err
			}
			_, err = io.WriteString(cmd.OutOrStdout(), settings.Text)
			return err
		},
	}
	addAdminFlag(cmd, &admin)
	cmd.Flags().Uint64Var(&version, "version", 0, "this version, of the last 20")
	return cmd
}

// settingsHistoryCommand returns the command that lists the versions of a service's settings.
func settingsHistoryCommand() *cobra.Command {
	var admin string
	cmd := &cobra.Command{
		Use:   "history SERVICE",
		Short: "the last 20 versions of a service's settings, the newest first",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var versions []server.SettingsVersion
			path := endpoint.SettingsHistoryPath(args[0])
			if err := newAdminClient(admin, callTimeout).getJSON(cmd.Context(), path, &versions); err != nil {
				return err
			}
			var table strings.Builder
			table.WriteString("VERSION\tWRITTEN\tBYTES\n")
			for _, version := range versions {
				fmt.Fprintf(&table, "%d\t%s\t%d\n", version.Version, writeTime(version), version.Bytes)
			}
			return writeTable(cmd.OutOrStdout(), table.String())
		},
	}
	addAdminFlag(cmd, &admin)
	return cmd
}

// writeTime formats the time of the write of a settings version.
func writeTime(settings server.SettingsVersion) string {
	return time.UnixMilli(settings.WrittenAtMs).UTC().Format(writeTimeFormat)
}
