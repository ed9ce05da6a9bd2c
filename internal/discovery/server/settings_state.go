package server

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxSettingsVersions bounds the number of stored versions of each service's settings, including the
// newest.
const maxSettingsVersions = 20

// SettingsVersion is a stored version of a service's settings.
type SettingsVersion struct {
	Version     uint64 `json:"version"`        // Raft index of the write
	WrittenAtMs int64  `json:"at_ms"`          // Unix time in ms at which the leader received the write
	Bytes       int    `json:"bytes"`          // length of the text
	Text        string `json:"text,omitempty"` // exactly as written; empty in a history
}

// versionConflictError is the result of a write of settings whose expected version is not the newest
// one. The write has no effect.
type versionConflictError struct {
	service  string
	expected uint64 // by the writer
	current  uint64
}

// Error returns the service and both versions.
func (c versionConflictError) Error() string {
	return fmt.Sprintf("settings of %s: version %d is in place, not %d", c.service, c.current, c.expected)
}

// newestSettings returns the newest of a service's stored versions, or the zero SettingsVersion if
// there are none.
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
		return newest.Version, nil // may be a retry of a write whose response was lost
	case c.IfVersion != nil && *c.IfVersion != newest.Version:
		return 0, versionConflictError{service: c.Service, expected: *c.IfVersion, current: newest.Version}
	}
	written := SettingsVersion{Version: index, WrittenAtMs: c.WrittenAtMs, Bytes: len(c.Text), Text: c.Text}
	versions = append(versions, written)
	// The slice is cloned because history returns the previous slice to concurrent readers.
	m.settings[c.Service] = slices.Clone(versions[max(0, len(versions)-maxSettingsVersions):])
	closeAndReplace(m.settingsChannel(c.Service))
	return index, nil
}

// settingsChannel returns the channel that is closed at the next write of the service's settings. Service
// names are hashed to a fixed number of channels, so that names without settings take no memory;
// waiters check whether the write was for their own service. The caller holds mu.
func (m *stateMachine) settingsChannel(service string) *chan struct{} {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service)) // a hash.Hash never returns an error
	return &m.settingsChanged[hash.Sum32()%uint32(len(m.settingsChanged))]
}

// settingsNewerThan returns the service's newest settings if they are newer than the given version,
// otherwise nil. The caller holds mu.
func (m *stateMachine) settingsNewerThan(service string, version uint64) *endpoint.Settings {
	newest := newestSettings(m.settings[service])
	if newest.Version <= version {
		return nil
	}
	return &endpoint.Settings{Service: service, Version: newest.Version, Value: json.RawMessage(newest.Text)}
}

// history returns the stored versions of a service's settings, oldest first. The caller must not
// modify them.
func (m *stateMachine) history(service string) []SettingsVersion {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.settings[service]
}
