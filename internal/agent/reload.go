package agent

import (
	"log/slog"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/agent/downstream"
	"fernbeam.example/fernbeam/internal/endpoint"
)

// activeConfig is the configuration in force. It belongs to the goroutine that applies reloads.
type activeConfig struct {
	cfg        *config.Config
	downstream *downstream.Server
	loop       *dispatch.Loop
	drainTime  time.Duration // how long a shutdown waits for open requests; see downstream.DrainTime
}

// settingsUpdate passes settings from the watch of discovery to the goroutine that applies reloads.
type settingsUpdate struct {
	settings *endpoint.Settings
	done     chan error // has capacity one, so that applying the settings never blocks
}

// reload applies the configuration of a file, except for settings that the discovery service has set.
func (a *activeConfig) reload(file *config.Config) {
	next, err := file.KeepServiceSettings(a.cfg)
	if err != nil { // unexpected: the service's settings were checked when they arrived
		a.loop.Log(slog.LevelError, "settings not applied", "err", err)
		return
	}
	if version := next.SettingsVersion(); version != 0 {
		a.loop.Log(slog.LevelInfo, "settings of the file superseded by the service's",
			"version", version)
	}
	a.replace(next)
	a.loop.ApplyConfig(next)
	a.loop.ForgetRejectedSettings()
}

// applyUpdate applies settings of the discovery service, and sends on update.done when that has ended.
func (a *activeConfig) applyUpdate(update settingsUpdate) {
	finished := func(err error) { update.done <- err }
	next, err := a.cfg.WithServiceSettings(update.settings)
	if err != nil {
		a.loop.RejectSettings(update.settings.Version, err, finished)
		return
	}
	a.replace(next)
	a.loop.ApplyServiceSettings(next, finished)
}

// replace makes a configuration the one in force, first for requests that arrive from now on.
func (a *activeConfig) replace(next *config.Config) {
	a.drainTime = max(a.drainTime, downstream.DrainTime(&next.Settings)) // open requests keep their deadline
	a.cfg = next
	a.downstream.ApplySettings(next)
}
