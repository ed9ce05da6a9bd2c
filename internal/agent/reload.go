package agent

import (
	"log/slog"
	"slices"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// inForce is the configuration in force, with how long requests are held at the end. It belongs to
// the goroutine that reloads.
type activeConfig struct {
	cfg        *Config
	downstream *downstreamServer
	loop       *eventLoop
	drainTime  time.Duration
}

// handover is settings on their way from the watch to whoever reloads.
type settingsUpdate struct {
	settings *endpoint.Settings
	done     chan error // of capacity one: who takes them over waits for nobody
}

// reload takes over what a file brought, as far as the list service's settings leave it.
func (f *activeConfig) reload(file *Config) {
	c, err := file.keepServiceSettings(f.cfg)
	if err != nil { // they were checked when they came
		f.loop.post(func() { f.loop.logAlways(slog.LevelError, "settings not applied", "err", err) })
		return
	}
	if c.serviceSettings != nil {
		f.loop.post(func() {
			f.loop.logAlways(slog.LevelInfo, "settings of the file superseded by the service's", "version", c.serviceSettings.Version)
		})
	}
	f.activate(c, func(error) {})
	f.loop.discovery.settingsWatch.forgetRejection()
}

// come takes over settings that the list service told; what became of it is told when it is over.
func (f *activeConfig) applyUpdate(h settingsUpdate) {
	c, err := f.cfg.withServiceSettings(h.settings)
	if err != nil {
		f.loop.post(func() {
			f.loop.rejectSettings(h.settings.Version, err)
			h.done <- err
		})
		return
	}
	f.activate(c, func(err error) {
		if err != nil {
			f.loop.rejectSettings(h.settings.Version, err)
		}
		h.done <- err
	})
}

// set puts a configuration in force, in one step of the loop, and tells done in it.
func (f *activeConfig) activate(c *Config, done func(error)) {
	f.drainTime = max(f.drainTime, c.drainTime()) // what is open keeps its old deadline
	f.cfg = c
	f.downstream.applySettings(c)
	f.loop.post(func() { done(f.loop.applyConfig(c)) })
}

// reload takes over what may change in service: the settings and where discovery is. An error is why
// nothing of it is in force.
func (l *eventLoop) applyConfig(cfg *Config) error {
	if err := l.balancer.Retune(cfg.Settings); err != nil {
		// The file was checked as a whole: nothing of it may be in force without the rest.
		l.logAlways(slog.LevelError, "settings not applied", "err", err)
		return err
	}
	l.cfg.Settings = cfg.Settings
	l.pool.applySettings(cfg)
	args := []any{"classes", len(cfg.Settings.Classes), "max_attempts", cfg.Settings.Limits.MaxAttempts}
	version := cfg.settingsVersion()
	if version != 0 {
		args = append(args, "version", version)
	}
	if l.published.settingsVersion.Swap(version) != version {
		l.metrics.settings++
	}
	l.logAlways(slog.LevelInfo, "settings applied", args...)
	if told := l.cfg.Hooks.OnSettings; told != nil {
		told(version)
	}
	l.moveDiscovery(cfg)
	return nil
}

// moveDiscovery has the calls go to the addresses of a configuration, where those are others.
func (l *eventLoop) moveDiscovery(cfg *Config) {
	own := *l.cfg
	own.Discovery = cfg.Discovery
	if l.cfg.Control != nil && cfg.Control != nil { // an agent without the section is so until its end
		own.Control = &Control{Service: l.cfg.Control.Service, Addresses: cfg.Control.Addresses}
	}
	from, to := l.cfg.addresses(), own.addresses()
	if slices.Equal(from, to) {
		return
	}
	l.logAlways(slog.LevelInfo, "discovery moved", "from", strings.Join(from, ","), "to", strings.Join(to, ","))
	l.cfg.Discovery, l.cfg.Control = own.Discovery, own.Control
	l.discovery.moveTo(to...)
}

// refuseSettings counts and logs settings of the list service that can't be used.
func (l *eventLoop) rejectSettings(version uint64, err error) {
	l.metrics.settingsRejected++
	l.logAlways(slog.LevelError, "settings rejected, the previous ones stay in force", "version", version, "err", err)
}
