package dispatch

import (
	"log/slog"
	"slices"
	"strings"

	"fernbeam.example/fernbeam/internal/agent/config"
)

// Activate puts a configuration in force in one step of the loop.
func (l *Loop) Activate(cfg *config.Config) {
	l.Post(func() { _ = l.applyConfig(cfg) }) // an error has been logged
}

// ActivateServiceSettings puts a configuration with settings of the discovery service in force in one step of the
// loop, or rejects them, and calls done in that step.
func (l *Loop) ActivateServiceSettings(cfg *config.Config, done func(error)) {
	l.Post(func() {
		err := l.applyConfig(cfg)
		if err != nil {
			l.countRejected(cfg.SettingsVersion(), err)
		}
		done(err)
	})
}

// RejectSettings counts and logs settings of the discovery service that can't be used, and calls done in that step.
func (l *Loop) RejectSettings(version uint64, err error, done func(error)) {
	l.Post(func() {
		l.countRejected(version, err)
		done(err)
	})
}

// ForgetRejectedSettings has settings that were rejected sent and checked again: the reason may be gone.
func (l *Loop) ForgetRejectedSettings() { l.discovery.ForgetRejectedSettings() }

// applyConfig applies what may change in service: the settings and the addresses of discovery. After an error
// the loop keeps those that it has.
func (l *Loop) applyConfig(cfg *config.Config) error {
	if err := l.balancer.UpdateSettings(cfg.Settings); err != nil {
		// The file was checked as a whole: no part of it may be in force without the rest.
		l.logger.always(slog.LevelError, "settings not applied", "err", err)
		return err
	}
	l.cfg.Settings = cfg.Settings
	l.pool.ApplySettings(cfg)
	version := cfg.SettingsVersion()
	if l.published.settingsVersion.Swap(version) != version {
		l.metrics.Settings++
	}
	l.logSettings(cfg, version)
	if onSettings := l.cfg.Hooks.OnSettings; onSettings != nil {
		onSettings(version)
	}
	l.moveDiscovery(cfg)
	return nil
}

// logSettings logs that settings are in force; version 0: those of a file.
func (l *Loop) logSettings(cfg *config.Config, version uint64) {
	args := []any{"classes", len(cfg.Settings.Classes), "max_attempts", cfg.Settings.Limits.MaxAttempts}
	if version != 0 {
		args = append(args, "version", version)
	}
	l.logger.always(slog.LevelInfo, "settings applied", args...)
}

// moveDiscovery moves the calls to the addresses of a configuration where those differ from the ones in force.
func (l *Loop) moveDiscovery(cfg *config.Config) {
	next := *l.cfg
	next.Discovery = cfg.Discovery
	if l.cfg.Control != nil && cfg.Control != nil { // an agent without the section stays without it until its end
		next.Control = &config.Control{Service: l.cfg.Control.Service, Addresses: cfg.Control.Addresses}
	}
	from, to := l.cfg.Addresses(), next.Addresses()
	if slices.Equal(from, to) {
		return
	}
	l.logger.always(slog.LevelInfo, "discovery moved", "from", strings.Join(from, ","), "to", strings.Join(to, ","))
	l.cfg.Discovery = next.Discovery
	l.cfg.Control = next.Control
	l.discovery.MoveTo(to...)
}

// countRejected counts and logs settings of the discovery service that can't be used.
func (l *Loop) countRejected(version uint64, err error) {
	l.metrics.SettingsRejected++
	l.logger.always(slog.LevelError, "settings rejected, the previous ones stay in force", "version", version, "err", err)
}
