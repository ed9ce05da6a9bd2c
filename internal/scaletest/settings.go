package scaletest

import (
	"context"
	"fmt"
	"time"
)

// share gives each member a service whose settings it takes, where settings change: as many members
// to each, drawn.
func (f *fleet) assignServices() {
	if f.settingsServices == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.random.Perm(len(f.members)) {
		m := f.members[at]
		m.service = serviceName(i % f.settingsServices)
		f.trackers[kindSettings].serviceOf[m.name] = m.service
	}
}

// serviceName is the i-th service's name on the list service.
func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// addresses are those of all list instances, host:port.
func (f *fleet) discoveryAddresses() (all []string) {
	for _, n := range f.discovery.Names() {
		all = append(all, f.discovery.Addr(n, "http"))
	}
	return all
}

// drawsSettings tells whether the next change is one of settings. A plan without such draws nothing.
func (f *fleet) nextChangeIsSettings() bool {
	if f.plan.SettingsFraction == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.plan.SettingsFraction
}

// fillSettings puts all services' settings.
func (f *fleet) fillSettings(ctx context.Context) error {
	for i := range f.settingsServices {
		if err := f.putSettings(ctx, serviceName(i)); err != nil {
			return err
		}
	}
	return nil
}

// changeSettings puts other settings of a drawn service, and notes when that was acknowledged.
func (f *fleet) changeSettings(ctx context.Context) error {
	f.mu.Lock()
	service := serviceName(f.random.IntN(f.settingsServices))
	f.mu.Unlock()
	return f.putSettings(ctx, service)
}

// putSettings writes a service's settings whole: the deployment's, with a limit that no agent comes
// near without requests and that is another at each write, as the same text again makes no version.
func (f *fleet) putSettings(ctx context.Context, service string) error {
	f.mu.Lock()
	f.settingsWrites++
	wait := 1000 + f.settingsWrites%1000
	f.mu.Unlock()
	settings := deployment().Settings(0, 0, f.size)
	delete(settings, "index") // these two are each agent's own
	delete(settings, "zone")
	settings["limits"].(map[string]any)["maxRetryAfterMs"] = wait
	version, err := f.discovery.putSettings(ctx, service, settings)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", service, err)
	}
	f.trackers[kindSettings].acknowledgedFor(service, version, time.Now())
	return nil
}
