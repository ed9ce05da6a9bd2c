package scaletest

import (
	"context"
	"fmt"
	"time"
)

// share gives each member a service whose settings it takes, where settings change: as many members
// to each, drawn.
func (f *running) share() {
	if f.services == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, at := range f.draw.Perm(len(f.members)) {
		m := f.members[at]
		m.service = serviceName(i % f.services)
		f.heard[kindSettings].of[m.name] = m.service
	}
}

// serviceName is the i-th service's name on the list service.
func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

// addresses are those of all list instances, host:port.
func (f *running) addresses() (all []string) {
	for _, n := range f.lists.Names() {
		all = append(all, f.lists.Addr(n, "http"))
	}
	return all
}

// drawsSettings tells whether the next change is one of settings. A plan without such draws nothing.
func (f *running) drawsSettings() bool {
	if f.plan.Settings == 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draw.Float64() < f.plan.Settings
}

// fillSettings puts all services' settings.
func (f *running) fillSettings(ctx context.Context) error {
	for i := range f.services {
		if err := f.putSettings(ctx, serviceName(i)); err != nil {
			return err
		}
	}
	return nil
}

// changeSettings puts other settings of a drawn service, and notes when that was acknowledged.
func (f *running) changeSettings(ctx context.Context) error {
	f.mu.Lock()
	service := serviceName(f.draw.IntN(f.services))
	f.mu.Unlock()
	return f.putSettings(ctx, service)
}

// putSettings writes a service's settings whole: the deployment's, with a limit that no agent comes
// near without requests and that is another at each write, as the same text again makes no version.
func (f *running) putSettings(ctx context.Context, service string) error {
	f.mu.Lock()
	f.settings++
	wait := 1000 + f.settings%1000
	f.mu.Unlock()
	settings := deployment().Settings(0, 0, f.size)
	delete(settings, "index") // these two are each agent's own
	delete(settings, "zone")
	settings["limits"].(map[string]any)["maxRetryAfterMs"] = wait
	version, err := f.lists.putSettings(ctx, service, settings)
	if err != nil {
		return fmt.Errorf("settings of %s: %w", service, err)
	}
	f.heard[kindSettings].changedOf(service, version, time.Now())
	return nil
}
