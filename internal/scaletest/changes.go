package scaletest

import (
	"context"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// weightSteps is the number of weights that a change selects from, in [0.5, 1.5).
	weightSteps = 1_000_000
	minWeight   = 0.5
	// drainOneIn is the part of changes that drain a server, one in drainOneIn.
	drainOneIn = 4
	// The maxRetryAfterMs of settings cycles through retryAfterSteps values from minRetryAfterMs.
	minRetryAfterMs = 1000
	retryAfterSteps = 1000
)

// changeServer writes a random server with another weight or state, and records when that was
// acknowledged.
func (f *fleet) changeServer(ctx context.Context) error {
	f.mu.Lock()
	server := &f.servers[f.random.IntN(len(f.servers))]
	switch {
	case server.State == endpoint.StateDraining:
		server.State = endpoint.StateUp
	case f.random.IntN(drainOneIn) == 0:
		server.State = endpoint.StateDraining
	default:
		server.Weight = minWeight + float64(f.random.IntN(weightSteps))/weightSteps
	}
	changed := *server
	f.mu.Unlock()
	version, err := f.discovery.putServer(ctx, changed)
	if err != nil {
		return fmt.Errorf("change of %s: %w", changed.ID, err)
	}
	f.trackers[kindList].acknowledged(version, time.Now())
	return nil
}

// assignServices gives each member a service whose settings it uses, where settings change: as many
// members to each, at random.
func (f *fleet) assignServices() {
	if f.settingsServices == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, index := range f.random.Perm(len(f.members)) {
		m := f.members[index]
		m.service = serviceName(i % f.settingsServices)
		f.trackers[kindSettings].serviceOf[m.name] = m.service
	}
}

// serviceName is the i-th service's name in discovery.
func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// nextChangeIsSettings decides at random whether the next change is one of settings. A plan without
// such changes draws no random number.
func (f *fleet) nextChangeIsSettings() bool {
	if f.plan.SettingsFraction == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.plan.SettingsFraction
}

// fillSettings writes the settings of all services.
func (f *fleet) fillSettings(ctx context.Context) error {
	for i := range f.settingsServices {
		if err := f.putSettings(ctx, serviceName(i)); err != nil {
			return err
		}
	}
	return nil
}

// changeSettings writes other settings of a random service, and records when that was acknowledged.
func (f *fleet) changeSettings(ctx context.Context) error {
	f.mu.Lock()
	service := serviceName(f.random.IntN(f.settingsServices))
	f.mu.Unlock()
	return f.putSettings(ctx, service)
}

// putSettings writes all settings of a service: the deployment's, with a limit that has no effect
// without requests. The limit is different at each write, as identical settings make no new version.
func (f *fleet) putSettings(ctx context.Context, service string) error {
	f.mu.Lock()
	f.settingsWrites++
	retryAfterMs := minRetryAfterMs + f.settingsWrites%retryAfterSteps
	f.mu.Unlock()
	settings := deployment().ServiceSettings(f.size)
	settings.Limits.MaxRetryAfterMs = float64(retryAfterMs)
	version, err := f.discovery.putSettings(ctx, service, &settings)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", service, err)
	}
	f.trackers[kindSettings].acknowledgedFor(service, version, time.Now())
	return nil
}
