// Command agent is one agent: it takes requests from the application beside
// it and places them on backends, as the decision module says.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"fernbeam.example/fernbeam/internal/agent"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(1)
	}
}

func run() error {
	// Before all else: without a handler the signal would end the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	cfg, err := agent.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	// Collect seldom, as the heap is small and the core is shared, but long
	// before the memory limit, over which the agent would be killed.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(cfg.MemoryLimit())
	cfg.Hooks.OnMemoryLimit = func(bytes int64) { debug.SetMemoryLimit(bytes) }
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	ln, err := listen(cfg, os.Getenv("PROXY_LISTEN_FD"))
	if err != nil {
		return err
	}
	operators := ""
	if ln.Operators != nil {
		operators = ln.Operators.Addr().String()
	}
	slog.Info("listening", "name", cfg.Name, "addr", ln.Clients.Addr().String(), "shared", ln.Shared,
		"admin", operators, "discovery_mode", cfg.Settings.DiscoveryMode,
		"agents", cfg.Settings.FleetSize, "known_servers", len(cfg.Known.Servers), "costs", fmt.Sprintf("%+v", cfg.Settings.Costs))
	reloads := make(chan *agent.Config)
	go reload(stop, cfg, hangups, reloads)
	return agent.Run(stop, cfg, ln, reloads)
}

// listen opens what the configuration names. The clients' listener is inherited where fd
// names its descriptor: the platform holds it, and other processes accept from it too.
func listen(cfg *agent.Config, fd string) (ln agent.Listeners, err error) {
	if fd != "" {
		ln.Shared, ln.Lock = true, filepath.Join(os.TempDir(), "ringtrack.lock")
		ln.Clients, err = inherited(fd)
	} else {
		ln.Clients, err = net.Listen("tcp", cfg.Listen)
	}
	if err != nil {
		return ln, fmt.Errorf("listen: %w", err)
	}
	if cfg.Management != "" {
		if ln.Operators, err = net.Listen("tcp", cfg.Management); err != nil {
			return ln, fmt.Errorf("management: %w", err)
		}
	}
	return ln, nil
}

// inherited makes a listener of a descriptor, which is the listener's own from then on.
func inherited(fd string) (net.Listener, error) {
	n, err := strconv.ParseUint(fd, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("PROXY_LISTEN_FD: %q is no descriptor", fd)
	}
	f := os.NewFile(uintptr(n), "clients")
	defer f.Close() // the listener has a copy
	return net.FileListener(f)
}

// reload hands on the configuration at each hangup until stop is done. A file that
// can't be used changes nothing.
func reload(stop context.Context, inForce *agent.Config, hangups <-chan os.Signal, reloads chan<- *agent.Config) {
	for {
		select {
		case <-hangups:
		case <-stop.Done():
			return
		}
		cfg, err := agent.ReloadConfig(os.Getenv, inForce)
		if err != nil {
			slog.Error("reload failed, the previous configuration stays in force", "err", err)
			continue
		}
		select {
		case reloads <- cfg:
			inForce = cfg
		case <-stop.Done():
			return
		}
	}
}
