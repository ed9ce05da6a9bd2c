package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/hashicorp/raft"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// snapshotImage is the content of a snapshot, encoded as JSON. It includes the changes, so that a watch
// can resume after a restart from a snapshot.
type snapshotImage struct {
	Version          uint64              `json:"version"`
	DiscardedVersion uint64              `json:"floor"`
	Servers          []endpoint.Endpoint `json:"servers"`
	Changes          []change            `json:"changes"`
	ChangedAt        map[string]uint64   `json:"set_at"`
	// Settings is absent from the snapshots of data format 1.
	Settings map[string][]SettingsVersion `json:"settings,omitempty"`
}

// Snapshot returns a copy of the state (raft.FSM).
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return snapshotImage{
		Version:          m.version,
		DiscardedVersion: m.discardedVersion,
		Servers:          m.allEndpoints(),
		Changes:          slices.Clone(m.changes),
		ChangedAt:        maps.Clone(m.changedAt),
		Settings:         maps.Clone(m.settings),
	}, nil
}

// Restore replaces the state with that of a snapshot, and wakes all watches (raft.FSM).
func (m *stateMachine) Restore(content io.ReadCloser) error {
	defer func() { _ = content.Close() }() // content was only read
	var image snapshotImage
	if err := json.NewDecoder(content).Decode(&image); err != nil {
		return fmt.Errorf("discovery: snapshot unreadable: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.load(image)
	for i := range m.settingsChanged {
		closeAndReplace(&m.settingsChanged[i])
	}
	m.notifyWatches()
	return nil
}

// load replaces the state with that of a snapshot image. The caller holds mu.
func (m *stateMachine) load(image snapshotImage) {
	m.servers = map[string]endpoint.Endpoint{}
	for _, server := range image.Servers {
		m.servers[server.ID] = server
	}
	m.changes = image.Changes
	m.version = image.Version
	m.discardedVersion = image.DiscardedVersion
	m.changedAt = image.ChangedAt
	if m.changedAt == nil {
		m.changedAt = map[string]uint64{}
	}
	m.settings = image.Settings
	if m.settings == nil {
		m.settings = map[string][]SettingsVersion{}
	}
}

// Persist writes the image to a snapshot sink (raft.FSMSnapshot).
func (image snapshotImage) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(image); err != nil {
		return fmt.Errorf("discovery: snapshot not written: %w", errors.Join(err, sink.Cancel()))
	}
	return sink.Close()
}

// Release does nothing, because an image holds no resources (raft.FSMSnapshot).
func (image snapshotImage) Release() {}
