package server

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// operation is the type of a command. Its values are part of the stored log.
type operation string

const (
	// operationPut replaces a server's entry.
	operationPut operation = "put"
	// operationRemove removes a server's entry; the resulting change has StateRemoved.
	operationRemove operation = "remove"
	// operationSettings replaces the settings of a service.
	operationSettings operation = "settings"
)

// command is a write as stored in the Raft log.
type command struct {
	Op      operation         `json:"op"`
	Server  endpoint.Endpoint `json:"server"`
	Service string            `json:"service,omitempty"`
	// Text is the text of the settings, exactly as received.
	Text string `json:"text,omitempty"`
	// WrittenAtMs is the Unix time in ms at which the leader received the write.
	WrittenAtMs int64 `json:"at_ms,omitempty"`
	// IfVersion is the version of the settings that the write expects to replace (0: there are none
	// yet); nil: any.
	IfVersion *uint64 `json:"if_version,omitempty"`
}

// target returns the id of the server or the name of the service that the command applies to.
func (c command) target() string {
	if c.Op == operationSettings {
		return c.Service
	}
	return c.Server.ID
}

// change is a server's entry after a write, with the Raft index of the write.
type change struct {
	Index  uint64            `json:"index"`
	Server endpoint.Endpoint `json:"server"`
}

// settingsChannelCount is the number of channels that service names are hashed to; see settingsChannel.
const settingsChannelCount = 256

// stateMachine is the replicated state (raft.FSM): the servers, their last changes, and the last
// versions of each service's settings. It is safe for concurrent use.
//
// version is the Raft index of the last change of a server. Writes of settings get their versions from
// the same sequence but do not advance version, so that they do not wake watches of servers.
type stateMachine struct {
	mu        sync.RWMutex
	servers   map[string]endpoint.Endpoint // by id
	changedAt map[string]uint64            // Raft index of each server's last change, by id
	changes   []change                     // the last maxChanges, oldest first
	version   uint64
	// discardedVersion is the version of the newest change that is no longer in changes.
	discardedVersion uint64
	maxChanges       int
	changed          chan struct{} // closed and replaced at each change of a server

	// responses caches the encoded responses of the current version by responseKey. Readers hold mu for
	// reading and also lock responsesMu. A change replaces responses without responsesMu, because it holds
	// mu for writing.
	responsesMu sync.Mutex
	responses   map[responseKey][]byte

	settings        map[string][]SettingsVersion        // by service, oldest first
	settingsChanged [settingsChannelCount]chan struct{} // like changed; see settingsChannel
}

// newStateMachine returns an empty state that keeps up to maxChanges changes for watches.
func newStateMachine(maxChanges int) *stateMachine {
	m := &stateMachine{
		servers:    map[string]endpoint.Endpoint{},
		changedAt:  map[string]uint64{},
		maxChanges: maxChanges,
		changed:    make(chan struct{}),
		responses:  map[responseKey][]byte{},
		settings:   map[string][]SettingsVersion{},
	}
	for i := range m.settingsChanged {
		m.settingsChanged[i] = make(chan struct{})
	}
	return m
}

// applyResult is the result of a committed command: the version of the write, or the reason why it had
// no effect.
type applyResult struct {
	version uint64
	err     error
}

// Apply applies a committed write and returns its applyResult (raft.FSM). A command that can't be
// decoded has no effect.
func (m *stateMachine) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return applyResult{err: fmt.Errorf("discovery: log entry %d is not a command: %w", entry.Index, err)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Op == operationSettings {
		version, err := m.applySettings(c, entry.Index)
		return applyResult{version: version, err: err}
	}
	return applyResult{version: m.applyServer(c, entry.Index)}
}

// applyServer applies a write of a server's entry and returns its version. The version is the write's
// own index, with two exceptions: for a put that changes nothing, it is the index of the write that
// last changed the entry, and for the removal of a server that is not listed, it is the current
// version. The caller holds mu.
func (m *stateMachine) applyServer(c command, index uint64) uint64 {
	id := c.Server.ID
	listed, isListed := m.servers[id]
	written := c.Server
	switch {
	case c.Op == operationPut && (!isListed || listed != c.Server):
		m.servers[id] = c.Server
		m.changedAt[id] = index
	case c.Op == operationRemove && isListed:
		delete(m.servers, id)
		delete(m.changedAt, id)
		written = listed
		written.State = endpoint.StateRemoved
	case isListed:
		return m.changedAt[id] // may be a retry of an earlier write
	default:
		return m.version
	}
	m.recordChange(change{Index: index, Server: written})
	return m.version
}

// recordChange appends a change, discards the oldest changes beyond maxChanges, and wakes the watches.
// The caller holds mu.
func (m *stateMachine) recordChange(c change) {
	m.changes = append(m.changes, c)
	if excess := len(m.changes) - m.maxChanges; excess > 0 {
		m.discardedVersion = m.changes[excess-1].Index
		m.changes = slices.Delete(m.changes, 0, excess)
	}
	m.version = c.Index
	m.notifyWatches()
}

// notifyWatches wakes every watch that waits for a change of a server, and discards the cached
// responses. The caller holds mu.
func (m *stateMachine) notifyWatches() {
	m.responses = map[responseKey][]byte{}
	closeAndReplace(&m.changed)
}

// closeAndReplace closes a channel, which wakes every goroutine that waits for it, and replaces it with
// a new one for the next change.
func closeAndReplace(changed *chan struct{}) {
	close(*changed)
	*changed = make(chan struct{})
}
