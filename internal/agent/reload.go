package agent

import (
	"log/slog"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// activeConfig is the configuration in force. It belongs to the goroutine that applies reloads.
type activeConfig struct {
	cfg        *Config
	downstream *downstreamServer
	loop       *eventLoop
	drainTime  time.Duration // how long requests are finished after the end begins; see drainTime
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
		f.loop.report(slog.LevelError, "settings not applied", "err", err)
		return
	}
	if version := next.settingsVersion(); version != 0 {
		f.loop.report(slog.LevelInfo, "settings of the file superseded by the service's",
			"version", version)
	}
	f.replace(next)
	f.loop.activate(next)
	f.loop.forgetRejectedSettings()
}

// applyUpdate applies settings of the discovery service, and sends on update.done when that has ended.
func (f *activeConfig) applyUpdate(update settingsUpdate) {
	finished := func(err error) { update.done <- err }
	next, err := f.cfg.withServiceSettings(update.settings)
	if err != nil {
		f.loop.rejectSettings(update.settings.Version, err, finished)
		return
	}
	f.replace(next)
	f.loop.activateServiceSettings(next, finished)
}

// replace makes a configuration the one in force, first for requests that arrive from now on.
func (f *activeConfig) replace(next *Config) {
	f.drainTime = max(f.drainTime, drainTime(&next.Settings)) // open requests keep their deadline
	f.cfg = next
	f.downstream.applySettings(next)
}
