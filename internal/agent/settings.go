package agent

import (
	"log/slog"
	"slices"
	"strings"
)

// activate puts a configuration in force in one step of the loop.
func (l *eventLoop) activate(cfg *Config) {
	l.post(func() { _ = l.applyConfig(cfg) }) // an error has been logged
}

// activateServiceSettings puts a configuration with settings of the discovery service in force in one step of the
// loop, or rejects them, and calls done in that step.
func (l *eventLoop) activateServiceSettings(cfg *Config, done func(error)) {
	l.post(func() {
		err := l.applyConfig(cfg)
		if err != nil {
			l.countRejected(cfg.settingsVersion(), err)
		}
		done(err)
	})
}

// rejectSettings counts and logs settings of the discovery service that can't be used, and calls done in that step.
func (l *eventLoop) rejectSettings(version uint64, err error, done func(error)) {
	l.post(func() {
		l.countRejected(version, err)
		done(err)
	})
}

// forgetRejectedSettings has settings that were rejected sent and checked again: the reason may be gone.
func (l *eventLoop) forgetRejectedSettings() { l.discovery.forgetRejectedSettings() }

// applyConfig applies what may change in service: the settings and the addresses of discovery. After an error
// nothing of the configuration is in force.
func (l *eventLoop) applyConfig(cfg *Config) error {
	if err := l.balancer.Retune(cfg.Settings); err != nil {
		// The file was checked as a whole: no part of it may be in force without the rest.
		l.lines.always(slog.LevelError, "settings not applied", "err", err)
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
	l.lines.always(slog.LevelInfo, "settings applied", args...)
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
	l.lines.always(slog.LevelInfo, "discovery moved", "from", strings.Join(from, ","), "to", strings.Join(to, ","))
	l.cfg.Discovery = next.Discovery
	l.cfg.Control = next.Control
	l.discovery.moveTo(to...)
}

// countRejected counts and logs settings of the discovery service that can't be used.
func (l *eventLoop) countRejected(version uint64, err error) {
	l.metrics.settingsRejected++
	l.lines.always(slog.LevelError, "settings rejected, the previous ones stay in force", "version", version, "err", err)
}
