package server

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxSettingsVersions bounds the stored versions of each service's settings, the newest included.
const maxSettingsVersions = 20

// SettingsVersion is one stored version of a service's settings.
type SettingsVersion struct {
	Version     uint64 `json:"version"`        // Raft index of its write
	WrittenAtMs int64  `json:"at_ms"`          // Unix time in ms at which the leader received the write
	Bytes       int    `json:"bytes"`          // length of the text
	Text        string `json:"text,omitempty"` // as it was written, byte for byte; empty in a history
}

// versionConflictError is the result of a write of settings that named another version than the newest
// one; it changes nothing.
type versionConflictError struct {
	service  string
	expected uint64 // by the write
	current  uint64
}

// Error names the service and both versions.
func (c versionConflictError) Error() string {
	return fmt.Sprintf("settings of %s: version %d is in place, not %d", c.service, c.current, c.expected)
}

// newestSettings returns the last of the stored versions of a service's settings, or the zero
// SettingsVersion if there are none.
func newestSettings(versions []SettingsVersion) SettingsVersion {
	if len(versions) == 0 {
		return SettingsVersion{}
	}
	return versions[len(versions)-1]
}

// applySettings applies a committed write of settings. It returns the version of the write, the newest
// version if the text is the same, or a versionConflictError. The caller holds mu.
func (m *stateMachine) applySettings(c command, index uint64) (uint64, error) {
	versions := m.settings[c.Service]
	newest := newestSettings(versions)
	switch {
	case len(versions) > 0 && newest.Text == c.Text:
		return newest.Version, nil // possibly a retry of a write whose answer was lost
	case c.IfVersion != nil && *c.IfVersion != newest.Version:
		return 0, versionConflictError{service: c.Service, expected: *c.IfVersion, current: newest.Version}
	}
	written := SettingsVersion{Version: index, WrittenAtMs: c.WrittenAtMs, Bytes: len(c.Text), Text: c.Text}
	versions = append(versions, written)
	// A clone, as history returns the slice to readers.
	m.settings[c.Service] = slices.Clone(versions[max(0, len(versions)-maxSettingsVersions):])
	closeAndReplace(m.settingsChannel(c.Service))
	return index, nil
}

// settingsChannel returns the channel that is closed at the next write of the service's settings. There
// is a fixed number of channels, which the names hash to, so that names without settings cost no
// memory; a waiter checks whether the write was one of its own service. The caller holds mu.
func (m *stateMachine) settingsChannel(service string) *chan struct{} {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service)) // a hash.Hash never returns an error
	return &m.settingsChanged[hash.Sum32()%uint32(len(m.settingsChanged))]
}

// settingsNewerThan returns the service's newest settings if they are newer than a version, or
// nil. The caller holds mu.
func (m *stateMachine) settingsNewerThan(service string, version uint64) *endpoint.Settings {
	newest := newestSettings(m.settings[service])
	if newest.Version <= version {
		return nil
	}
	return &endpoint.Settings{Service: service, Version: newest.Version, Value: json.RawMessage(newest.Text)}
}

// history returns the stored versions of a service's settings, the oldest first. The caller must
// not change them.
func (m *stateMachine) history(service string) []SettingsVersion {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.settings[service]
}
