package configtest

import (
	"encoding/json"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// observed returns the history recorded so far, without the versions that the service stores.
func (h *Harness) observed() (*History, error) {
	history := &History{Writes: h.writes.All(), Exemptions: h.exemptions.All()}
	for _, agent := range h.Agents {
		incarnations, err := h.incarnations(agent)
		if err != nil {
			return nil, err
		}
		history.Incarnations = append(history.Incarnations, incarnations...)
	}
	return history, nil
}

// History returns the history recorded so far, with the versions that the service stores.
func (h *Harness) History() (*History, error) {
	history, err := h.observed()
	if err != nil {
		return nil, err
	}
	history.Stored, err = h.storedVersions()
	return history, err
}

// storedVersions reads the versions in the service's history from the leader.
func (h *Harness) storedVersions() ([]StoredVersion, error) {
	var versions []server.SettingsVersion
	err := h.atLeader(func(instance string) error {
		return h.get(instance, endpoint.SettingsHistoryPath(service), &versions)
	})
	if err != nil {
		return nil, err
	}
	var stored []StoredVersion
	for _, version := range versions {
		marker, err := h.storedMarker(version.Version)
		if err != nil {
			return nil, err
		}
		stored = append(stored, StoredVersion{Version: version.Version, Marker: marker})
	}
	return stored, nil
}

// storedMarker reads the marker of a stored version from the leader.
func (h *Harness) storedMarker(version uint64) (int, error) {
	var stored server.SettingsVersion
	err := h.atLeader(func(instance string) error {
		path := fmt.Sprintf("%s?%s=%d", endpoint.SettingsPath(service), endpoint.QueryVersion, version)
		return h.get(instance, path, &stored)
	})
	if err != nil {
		return 0, err
	}
	var settings struct{ Limits struct{ MaxAttempts int } }
	err = json.Unmarshal([]byte(stored.Text), &settings)
	return settings.Limits.MaxAttempts, err
}

// exemptUntilNow exempts the agents from the time limit for changes during the period from the given time until now,
// because they could not reach any instance with newer settings than their own. See History.Exemptions.
func (h *Harness) exemptUntilNow(from time.Time, agents []string) {
	h.exemptions.Add(processtest.Exemption{From: from, To: time.Now(), Applies: processtest.Observers(agents...)})
}
