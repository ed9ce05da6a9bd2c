package configtest

import (
	"encoding/json"
	"fmt"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// observed returns all that was recorded so far, but for the service's own history.
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

// History returns all that was recorded so far.
func (h *Harness) History() (*History, error) {
	history, err := h.observed()
	if err != nil {
		return nil, err
	}
	history.Stored, err = h.storedVersions()
	return history, err
}

// storedVersions returns the service's history.
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

// storedMarker returns the marker of a stored version.
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

// exemptUntilNow records that agents could reach nobody who knows more, from a time until now.
func (h *Harness) exemptUntilNow(from time.Time, agents []string) {
	h.exemptions.Add(processtest.Exemption{From: from, To: time.Now(), Applies: processtest.Observers(agents...)})
}
