// Command agent runs one agent: it takes HTTP requests from the application beside it and forwards each to a
// server, as the balancing policy decides.
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
	"fernbeam.example/fernbeam/internal/agent/config"
)

const (
	// listenFDVariable names the environment variable with the descriptor of an inherited client listener.
	listenFDVariable = "PROXY_LISTEN_FD"
	// lockFile is where processes that share a listener find each other. Its name never changes, as they may be of
	// different versions.
	lockFile = "ringtrack.lock"
	// gcPercent makes garbage collections rare, as the heap is small and the core is shared.
	gcPercent = 400
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(1)
	}
}

// run runs the agent until SIGTERM or an interrupt has ended it.
func run() error {
	// Before anything else: without a handler SIGHUP would end the program.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	limitRuntime(cfg)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	ln, err := listen(cfg, os.Getenv(listenFDVariable))
	if err != nil {
		return err
	}
	logStart(cfg, ln)
	reloads := make(chan *config.Config)
	go forwardReloads(stop, cfg, hangups, reloads)
	return agent.Run(stop, cfg, ln, reloads)
}

// limitRuntime keeps the runtime within the agent's cores and memory: well below the memory limit over which
// the agent would be killed.
func limitRuntime(cfg *config.Config) {
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(cfg.MemoryLimit())
	cfg.Hooks.OnMemoryLimit = func(bytes int64) { debug.SetMemoryLimit(bytes) }
}

func logStart(cfg *config.Config, ln agent.Listeners) {
	admin := ""
	if ln.Admin != nil {
		admin = ln.Admin.Addr().String()
	}
	slog.Info("listening", "name", cfg.Name, "addr", ln.Clients.Addr().String(), "shared", ln.Shared,
		"admin", admin, "discovery_mode", cfg.Settings.DiscoveryMode, "agents", cfg.Settings.FleetSize,
		"known_servers", len(cfg.InitialList.Servers), "costs", fmt.Sprintf("%+v", cfg.Settings.Costs))
}

// listen opens the listeners that the configuration names. The clients' listener is inherited where fd gives
// its descriptor: the platform holds it, and other processes accept from it too.
func listen(cfg *config.Config, fd string) (ln agent.Listeners, err error) {
	if fd != "" {
		ln.Shared = true
		ln.Lock = filepath.Join(os.TempDir(), lockFile)
		ln.Clients, err = inheritListener(fd)
	} else {
		ln.Clients, err = listenTCP(cfg.Listen)
	}
	if err != nil {
		return ln, fmt.Errorf("listen: %w", err)
	}
	if cfg.AdminAddr == "" {
		return ln, nil
	}
	ln.Admin, err = listenTCP(cfg.AdminAddr)
	if err != nil {
		return ln, fmt.Errorf("management: %w", err)
	}
	return ln, nil
}

// listenTCP opens a TCP listener. It takes no context, as nothing cancels the start.
func listenTCP(addr string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", addr)
}

// inheritListener makes a listener of an inherited descriptor, which it closes: the listener has a copy.
func inheritListener(fd string) (net.Listener, error) {
	number, err := strconv.ParseUint(fd, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("%s: %q is no descriptor", listenFDVariable, fd)
	}
	file := os.NewFile(uintptr(number), "clients")
	defer func() { _ = file.Close() }() // of a number that is no open descriptor FileListener returns the error
	return net.FileListener(file)
}

// forwardReloads reads the configuration again at each SIGHUP and sends it on reloads, until stop is done. A
// file that can't be used changes nothing.
func forwardReloads(
	stop context.Context, inForce *config.Config, hangups <-chan os.Signal, reloads chan<- *config.Config,
) {
	for {
		select {
		case <-hangups:
		case <-stop.Done():
			return
		}
		cfg, err := config.Reload(os.Getenv, inForce)
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
