package scaletest

import (
	"context"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// weightSteps is the number of different weights in [0.5, 1.5) that a change selects from.
	weightSteps = 1_000_000
	minWeight   = 0.5
	// Of the changes to a server that is not draining, one in drainOneIn drains the server.
	drainOneIn = 4
	// The maxRetryAfterMs in settings cycles through retryAfterSteps values that begin at minRetryAfterMs.
	minRetryAfterMs = 1000
	retryAfterSteps = 1000
)

// changeServer writes a new weight or state of a random server, and records when discovery acknowledged it.
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
		return fmt.Errorf("change server %s: %w", changed.ID, err)
	}
	f.trackers[kindList].acknowledged(version, time.Now())
	return nil
}

// assignServices assigns each member the service whose settings it uses, if the plan changes settings. The members
// are distributed evenly over the services in random order.
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

// serviceName returns the name of the i-th service in discovery.
func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// nextChangeIsSettings decides at random whether the next change is one of settings. It draws no random number if the
// plan has no such changes.
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

// changeSettings writes new settings of a random service, and records when discovery acknowledged them.
func (f *fleet) changeSettings(ctx context.Context) error {
	f.mu.Lock()
	service := serviceName(f.random.IntN(f.settingsServices))
	f.mu.Unlock()
	return f.putSettings(ctx, service)
}

// putSettings writes all settings of a service. They are the deployment's settings with another maxRetryAfterMs. Its
// value differs from write to write, because identical settings make no new version. It has no effect on the run, which
// has no requests.
func (f *fleet) putSettings(ctx context.Context, service string) error {
	f.mu.Lock()
	f.settingsWrites++
	retryAfterMs := minRetryAfterMs + f.settingsWrites%retryAfterSteps
	f.mu.Unlock()
	settings := deployment().ServiceSettings(f.size)
	settings.Limits.MaxRetryAfterMs = float64(retryAfterMs)
	version, err := f.discovery.putSettings(ctx, service, &settings)
	if err != nil {
		return fmt.Errorf("put settings of %s: %w", service, err)
	}
	f.trackers[kindSettings].acknowledgedFor(service, version, time.Now())
	return nil
}
