package main

import (
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

// logFormat is the format of log records, as given by --log-format.
type logFormat string

// The values of logFormat.
const (
	logFormatText logFormat = "text"
	logFormatJSON logFormat = "json"
)

// serveCommand returns the command that runs one instance.
func serveCommand() *cobra.Command {
	var configPath, format string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "run one instance until SIGTERM or SIGINT",
		RunE:  func(*cobra.Command, []string) error { return serve(configPath, logFormat(format)) },
	}
	flags := cmd.Flags()
	flags.StringVar(&configPath, "config", "discovery.toml",
		"TOML configuration file of the instance (see internal/discovery/server.Config)")
	flags.StringVar(&format, "log-format", string(logFormatText), "format of the log on standard error: text or json")
	return cmd
}

// serve runs one instance until SIGTERM or SIGINT, or until it fails.
func serve(configPath string, format logFormat) error {
	config, err := server.Load(configPath)
	if err != nil {
		return err
	}
	log := newLogger(format).With("node", config.ID)
	node, err := server.Start(config, log)
	if err != nil {
		return err
	}
	log.Info("serving", "http", config.HTTPAddr, "admin", config.AdminAddr, "raft", config.RaftAddr)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case received := <-signals:
		log.Info("stopping", "signal", received.String())
		return node.Close()
	case err := <-node.Failed():
		return errors.Join(err, node.Close())
	}
}

// newLogger returns a logger to standard error. Its format is JSON for logFormatJSON and otherwise text.
func newLogger(format logFormat) *slog.Logger {
	if format == logFormatJSON {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}
