// Command discovery is the project's list service and its fleet tools: serve runs one
// instance (internal/discovery/server), put and remove write the list through any instance's admin
// door, settings writes and reads those of a service's agents and tells who has them in
// force, status tells an instance's state.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
)

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "discovery:", err)
		os.Exit(1)
	}
}

func root() *cobra.Command {
	cmd := &cobra.Command{Use: "discovery", Short: "the replicated list service and its tools",
		SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(serveCmd(), putCmd(), removeCmd(), statusCmd(), settingsCmd())
	return cmd
}

func serveCmd() *cobra.Command {
	var path, format string
	cmd := &cobra.Command{Use: "serve", Short: "run one instance until SIGTERM or SIGINT",
		RunE: func(*cobra.Command, []string) error {
			cfg, err := server.Load(path)
			if err != nil {
				return err
			}
			log := logger(format).With("node", cfg.ID)
			node, err := server.Start(cfg, log)
			if err != nil {
				return err
			}
			log.Info("serving", "http", cfg.HTTPAddr, "admin", cfg.AdminAddr, "raft", cfg.RaftAddr)
			sig := make(chan os.Signal, 1)
			signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
			select {
			case s := <-sig:
				log.Info("stopping", "signal", s.String())
				return node.Close()
			case err := <-node.Failed():
				return errors.Join(err, node.Close())
			}
		}}
	cmd.Flags().StringVar(&path, "config", "discovery.toml", "TOML file of the instance (see internal/discovery/server.Config)")
	cmd.Flags().StringVar(&format, "log-format", "text", "log records as text or json, on standard error")
	return cmd
}

func logger(format string) *slog.Logger {
	if format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}

func putCmd() *cobra.Command {
	var admin string
	var t endpoint.Endpoint
	cmd := &cobra.Command{Use: "put ID", Short: "set a server's entry whole", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			t.ID = args[0]
			body, _ := json.Marshal(t)
			return call(http.MethodPut, admin, "/v1/servers/"+t.ID, body)
		}}
	f := cmd.Flags()
	adminFlag(cmd, &admin)
	f.StringVar(&t.Addr, "addr", "", "the server's address, host:port")
	f.StringVar(&t.Zone, "zone", "", "its zone")
	f.StringVar(&t.Region, "region", "", "its region")
	f.StringVar(&t.Kind, "kind", "", "its kind of machine")
	f.IntVar(&t.Cell, "cell", 0, "its cell")
	f.StringVar(&t.State, "state", "up", "up or draining")
	f.Float64Var(&t.Weight, "weight", 1, "its weight, above zero")
	f.Float64Var(&t.StartedMs, "started-ms", 0, "Unix time in ms of its last start; 0: long ago")
	return cmd
}

func removeCmd() *cobra.Command {
	var admin string
	cmd := &cobra.Command{Use: "remove ID", Short: "take a server out of the list", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return call(http.MethodDelete, admin, "/v1/servers/"+args[0], nil)
		}}
	adminFlag(cmd, &admin)
	return cmd
}

func statusCmd() *cobra.Command {
	var admin string
	cmd := &cobra.Command{Use: "status", Short: "an instance's Raft state, leader and version",
		RunE: func(*cobra.Command, []string) error {
			return call(http.MethodGet, admin, "/v1/status", nil)
		}}
	adminFlag(cmd, &admin)
	return cmd
}

// adminFlag is the --admin flag of the commands that write or ask an instance.
func adminFlag(cmd *cobra.Command, admin *string) {
	cmd.Flags().StringVar(admin, "admin", "127.0.0.1:7401", "admin address of any instance (host:port)")
}

// callWithin bounds an admin call: longer than a write may wait for its commit.
const callTimeout = 10 * time.Second

// call makes one admin call, following a redirect to the leader, and prints the answer.
func call(method, admin, path string, body []byte) error {
	text, err := fetch(method, admin, path, body, nil)
	if err == nil {
		_, err = os.Stdout.Write(text)
	}
	return err
}

// fetch makes one admin call, following a redirect to the leader, and gives the answer.
func fetch(method, admin, path string, body []byte, header http.Header) ([]byte, error) {
	req, err := http.NewRequest(method, "http://"+admin+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	maps.Copy(req.Header, header)
	resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(method, path, resp, text)
	}
	return text, nil
}

func statusError(method, path string, resp *http.Response, text []byte) error {
	return fmt.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(text))
}
