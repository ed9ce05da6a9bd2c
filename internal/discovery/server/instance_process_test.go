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
	// configVariable is the environment variable with the path of a configuration, by which this
	// test binary runs as an instance.
	configVariable = "DISCOVERY_TEST_CONFIG"
	// faultVariable is the environment variable with the path of the control file of the
	// instance's FaultyStore.
	faultVariable = "DISCOVERY_TEST_FAULT"
)

// TestMain runs the tests, or one instance if configVariable is set.
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

// runInstance runs an instance with a FaultyStore until SIGTERM. On SIGUSR1 it takes a snapshot.
func runInstance(path string) error {
	config, err := server.Load(path)
	if err != nil {
		return err
	}
	config.WrapStore = func(store server.Store) server.Store {
		return &server.FaultyStore{Store: store, Control: os.Getenv(faultVariable)}
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
