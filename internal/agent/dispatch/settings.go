package dispatch

import (
	"log/slog"
	"slices"
	"strings"

	"fernbeam.example/fernbeam/internal/agent/config"
)

// ApplyConfig puts a configuration in force asynchronously, in a single step of the loop.
func (l *Loop) ApplyConfig(cfg *config.Config) {
	l.Post(func() { _ = l.applyConfig(cfg) }) // errors are logged by applyConfig
}

// ApplyServiceSettings puts a configuration with settings of the discovery service in force, or rejects these settings.
// It then calls done with the result. All of this happens in a single step of the loop.
func (l *Loop) ApplyServiceSettings(cfg *config.Config, done func(error)) {
	l.Post(func() {
		err := l.applyConfig(cfg)
		if err != nil {
			l.recordRejectedSettings(cfg.SettingsVersion(), err)
		}
		done(err)
	})
}

// RejectSettings counts and logs settings of the discovery service that can't be used because of err. It calls done
// with err in the loop.
func (l *Loop) RejectSettings(version uint64, err error, done func(error)) {
	l.Post(func() {
		l.recordRejectedSettings(version, err)
		done(err)
	})
}

// ForgetRejectedSettings makes the agent request and check rejected settings again, because the reason for the
// rejection may no longer exist.
func (l *Loop) ForgetRejectedSettings() { l.discovery.ForgetRejectedSettings() }

// applyConfig puts a configuration in force as a whole. On an error the previous one stays in force. The configuration
// may differ from that one only in what can change at run time (config.Config.WithRuntimeChanges).
func (l *Loop) applyConfig(cfg *config.Config) error {
	if err := l.balancer.UpdateSettings(l.endpoints.policySettings(cfg.Settings)); err != nil {
		// The configuration was validated as a whole, so it is applied completely or not at all.
		l.logger.log(slog.LevelError, "settings not applied", "err", err)
		return err
	}
	previous := l.cfg
	l.cfg = cfg
	l.pool.ApplySettings(cfg)
	version := cfg.SettingsVersion()
	if l.published.settingsVersion.Swap(version) != version {
		l.metrics.Settings++
	}
	l.logSettings(cfg, version)
	if onSettings := l.cfg.Hooks.OnSettings; onSettings != nil {
		onSettings(version)
	}
	l.moveDiscovery(previous)
	l.followDiscoveryMode()
	return nil
}

// logSettings logs that settings are in force. Settings from a file have version 0.
func (l *Loop) logSettings(cfg *config.Config, version uint64) {
	args := []any{"classes", len(cfg.Settings.Classes), "max_attempts", cfg.Settings.Limits.MaxAttempts}
	if version != 0 {
		args = append(args, "version", version)
	}
	l.logger.log(slog.LevelInfo, "settings applied", args...)
}

// moveDiscovery calls the discovery addresses of the configuration in force if they differ from the previous ones.
func (l *Loop) moveDiscovery(previous *config.Config) {
	from, to := previous.DiscoveryAddresses(), l.cfg.DiscoveryAddresses()
	if slices.Equal(from, to) {
		return
	}
	l.logger.log(slog.LevelInfo, "discovery moved", "from", strings.Join(from, ","), "to", strings.Join(to, ","))
	l.discovery.MoveTo(to...)
}

// recordRejectedSettings counts and logs rejected settings of the discovery service.
func (l *Loop) recordRejectedSettings(version uint64, err error) {
	l.metrics.SettingsRejected++
	l.logger.log(slog.LevelError, "settings rejected, the previous ones stay in force", "version", version, "err", err)
}
