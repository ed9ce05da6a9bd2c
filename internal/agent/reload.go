package agent

import (
	"log/slog"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/dispatch"
	"fernbeam.example/fernbeam/internal/agent/downstream"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/membership"
)

// activeConfig is the configuration in force. It is used only by the goroutine that applies reloads.
type activeConfig struct {
	cfg        *config.Config
	downstream *downstream.Server
	loop       *dispatch.Loop
	membership *membership.Membership // nil if there is none
	handover   *stateHandover         // nil if processes don't hand over their state
	drainTime  time.Duration          // how long a shutdown waits for open requests; see downstream.DrainTime
}

// settingsUpdate passes settings from the watch of the discovery service to the goroutine that applies reloads.
type settingsUpdate struct {
	settings *endpoint.Settings
	done     chan error // receives the result; it has a capacity of one, so that sending never blocks
}

// reload applies a configuration that was read from a file, except for settings that the discovery service has set.
func (a *activeConfig) reload(file *config.Config) {
	next, err := file.KeepServiceSettings(a.cfg)
	if err != nil { // unexpected: the service's settings were validated when they arrived
		a.loop.Log(slog.LevelError, "settings not applied", "err", err)
		return
	}
	if version := next.SettingsVersion(); version != 0 {
		a.loop.Log(slog.LevelInfo, "settings of the file superseded by the service's",
			"version", version)
	}
	next = a.cfg.WithRuntimeChanges(next)
	if pending := next.PendingKeys(); len(pending) > 0 {
		a.loop.Log(slog.LevelWarn, "changed keys take effect at the next start", "keys", strings.Join(pending, ","))
	}
	a.replace(next)
	a.loop.ApplyConfig(next)
	a.loop.ForgetRejectedSettings()
	if a.handover != nil {
		a.handover.configReloaded(next)
	}
}

// applyUpdate applies settings of the discovery service and sends the result on update.done.
func (a *activeConfig) applyUpdate(update settingsUpdate) {
	report := func(err error) { update.done <- err }
	next, err := a.cfg.WithServiceSettings(update.settings)
	if err != nil {
		a.loop.RejectSettings(update.settings.Version, err, report)
		return
	}
	a.replace(next)
	a.loop.ApplyServiceSettings(next, report)
}

// replace puts a configuration in force for requests that arrive from now on; the caller applies it to the event loop.
func (a *activeConfig) replace(next *config.Config) {
	a.drainTime = max(a.drainTime, downstream.DrainTime(&next.Settings)) // open requests keep their deadlines
	a.cfg = next
	a.downstream.ApplySettings(next)
	if a.membership != nil {
		a.membership.SetFleetSize(next.Settings.FleetSize)
	}
}
