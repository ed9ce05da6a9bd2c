package agent

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// activeConfig is the configuration in force. It belongs to the goroutine that applies reloads.
type activeConfig struct {
	cfg        *Config
	downstream *downstreamServer
	loop       *eventLoop
	drainTime  time.Duration // how long requests are finished after the end begins; see Config.drainTime
}

// settingsUpdate is settings on their way from the watch of discovery to the goroutine that applies reloads.
type settingsUpdate struct {
	settings *endpoint.Settings
	done     chan error // of capacity one: whoever applies the settings waits for nobody
}

// reload applies the configuration of a file, except for settings that the discovery service has set.
func (f *activeConfig) reload(file *Config) {
	next, err := file.keepServiceSettings(f.cfg)
	if err != nil { // unexpected: the service's settings were checked when they arrived
		f.loop.post(func() { f.loop.logAlways(slog.LevelError, "settings not applied", "err", err) })
		return
	}
	if next.serviceSettings != nil {
		f.loop.post(func() {
			f.loop.logAlways(slog.LevelInfo, "settings of the file superseded by the service's",
				"version", next.serviceSettings.Version)
		})
	}
	f.activate(next, func(error) {})
	f.loop.discovery.settingsWatch.forgetRejection()
}

// applyUpdate applies settings of the discovery service, and sends on update.done when that has ended.
func (f *activeConfig) applyUpdate(update settingsUpdate) {
	version := update.settings.Version
	next, err := f.cfg.withServiceSettings(update.settings)
	if err != nil {
		f.loop.post(func() {
			f.loop.rejectSettings(version, err)
			update.done <- err
		})
		return
	}
	f.activate(next, func(err error) {
		if err != nil {
			f.loop.rejectSettings(version, err)
		}
		update.done <- err
	})
}

// activate puts a configuration in force in one step of the event loop, and calls done in that step.
func (f *activeConfig) activate(next *Config, done func(error)) {
	f.drainTime = max(f.drainTime, next.drainTime()) // open requests keep their deadline
	f.cfg = next
	f.downstream.applySettings(next)
	f.loop.post(func() { done(f.loop.applyConfig(next)) })
}

// applyConfig applies what may change in service: the settings and the addresses of discovery. After an error
// nothing of the configuration is in force.
func (l *eventLoop) applyConfig(cfg *Config) error {
	if err := l.balancer.Retune(cfg.Settings); err != nil {
		// The file was checked as a whole: no part of it may be in force without the rest.
		l.logAlways(slog.LevelError, "settings not applied", "err", err)
		return err
	}
	l.cfg.Settings = cfg.Settings
	l.pool.applySettings(cfg)
	version := cfg.settingsVersion()
	if l.published.settingsVersion.Swap(version) != version {
		l.metrics.settings++
	}
	l.logSettings(cfg, version)
	if onSettings := l.cfg.Hooks.OnSettings; onSettings != nil {
		onSettings(version)
	}
	l.moveDiscovery(cfg)
	return nil
}

// logSettings logs that settings are in force; version 0: those of a file.
func (l *eventLoop) logSettings(cfg *Config, version uint64) {
	args := []any{"classes", len(cfg.Settings.Classes), "max_attempts", cfg.Settings.Limits.MaxAttempts}
	if version != 0 {
		args = append(args, "version", version)
	}
	l.logAlways(slog.LevelInfo, "settings applied", args...)
}

// moveDiscovery moves the calls to the addresses of a configuration where those differ from the ones in force.
func (l *eventLoop) moveDiscovery(cfg *Config) {
	next := *l.cfg
	next.Discovery = cfg.Discovery
	if l.cfg.Control != nil && cfg.Control != nil { // an agent without the section stays without it until its end
		next.Control = &Control{Service: l.cfg.Control.Service, Addresses: cfg.Control.Addresses}
	}
	from, to := l.cfg.addresses(), next.addresses()
	if slices.Equal(from, to) {
		return
	}
	l.logAlways(slog.LevelInfo, "discovery moved", "from", strings.Join(from, ","), "to", strings.Join(to, ","))
	l.cfg.Discovery = next.Discovery
	l.cfg.Control = next.Control
	l.discovery.moveTo(to...)
}

// rejectSettings counts and logs settings of the discovery service that can't be used.
func (l *eventLoop) rejectSettings(version uint64, err error) {
	l.metrics.settingsRejected++
	l.logAlways(slog.LevelError, "settings rejected, the previous ones stay in force", "version", version, "err", err)
}
