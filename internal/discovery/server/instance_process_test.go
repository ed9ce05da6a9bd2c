package server_test

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

const (
	// configVariable is the environment variable with the path of a configuration file. If it is set,
	// the test binary runs as an instance with this configuration.
	configVariable = "DISCOVERY_TEST_CONFIG"
	// faultVariable is the environment variable with the path of the control file of the instance's
	// FaultyStore.
	faultVariable = "DISCOVERY_TEST_FAULT"
)

// TestMain runs the tests or, if configVariable is set, an instance.
func TestMain(m *testing.M) {
	if path := os.Getenv(configVariable); path != "" {
		if err := runInstance(path); err != nil {
			fmt.Fprintln(os.Stderr, "instance:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runInstance runs an instance with a FaultyStore until SIGTERM. The instance takes a snapshot at each
// SIGUSR1.
func runInstance(path string) error {
	config, err := server.Load(path)
	if err != nil {
		return err
	}
	config.WrapStore = func(store server.Store) server.Store {
		return &server.FaultyStore{Store: store, ControlFile: os.Getenv(faultVariable)}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	node, err := server.Start(config, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1)
	for received := range signals {
		if received == syscall.SIGTERM {
			return node.Close()
		}
		log.Info("snapshot", "err", node.Snapshot())
	}
	return nil
}
