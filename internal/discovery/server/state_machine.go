package server

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/hashicorp/raft"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// command is one write, as it goes through the Raft log: Op "put" sets a server's entry
// whole, Op "remove" takes it out (a change that says "removed"), Op "settings" sets the
// whole settings of a service.
type command struct {
	Op          string            `json:"op"`
	Server      endpoint.Endpoint `json:"server"`
	Service     string            `json:"service,omitempty"`
	Text        string            `json:"text,omitempty"`  // of the settings, byte for byte as it came
	WrittenAtMs int64             `json:"at_ms,omitempty"` // Unix time in ms at the leader that took it
	// IfVersion is the version of the settings that the write replaces (0: none yet); nil:
	// whichever is there.
	IfVersion *uint64 `json:"if_version,omitempty"`
}

// change is one entry as a write left it, with the Raft index of that write.
type change struct {
	Index  uint64            `json:"index"`
	Server endpoint.Endpoint `json:"server"`
}

// list is the replicated state machine (raft.FSM): the servers by id and the last
// changes, and the last settings of each service, the oldest first. version is the index of
// the last change of a server; every change after floor is kept. Writes of settings count by
// the same index and leave version alone, so a watch of servers does not see them.
type stateMachine struct {
	mu               sync.RWMutex
	servers          map[string]endpoint.Endpoint
	changedAt        map[string]uint64 // the index of each server's last change
	changes          []change
	version          uint64
	discardedVersion uint64
	maxChanges       int
	changed          chan struct{} // closed and replaced at each change of a server

	// answers are since's of the present version that were encoded, for who asks the same.
	responsesMu sync.Mutex // taken with mu held; a change replaces answers with mu held alone
	responses   map[responseKey][]byte

	settings        map[string][]SettingsVersion
	settingsChanged [256]chan struct{} // by the hash of the service's name, as wake
}

func newStateMachine(keep int) *stateMachine {
	l := &stateMachine{servers: map[string]endpoint.Endpoint{}, changedAt: map[string]uint64{}, maxChanges: keep, changed: make(chan struct{}),
		responses: map[responseKey][]byte{}, settings: map[string][]SettingsVersion{}}
	for i := range l.settingsChanged {
		l.settingsChanged[i] = make(chan struct{})
	}
	return l
}

// Apply carries out one committed write and returns its version (uint64): its own index,
// or for a put that changes nothing the index that set the entry so, or for the removal
// of what is not listed the present version. For settings see applySettings. A command it
// cannot read changes nothing and returns an error.
func (l *stateMachine) Apply(entry *raft.Log) any {
	var c command
	if err := json.Unmarshal(entry.Data, &c); err != nil {
		return fmt.Errorf("listsvc: log entry %d is not a command: %w", entry.Index, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Op == "settings" {
		return l.applySettings(c, entry.Index)
	}
	old, had := l.servers[c.Server.ID]
	switch {
	case c.Op == "put" && (!had || old != c.Server):
		l.servers[c.Server.ID], l.changedAt[c.Server.ID] = c.Server, entry.Index
	case c.Op == "remove" && had:
		delete(l.servers, c.Server.ID)
		delete(l.changedAt, c.Server.ID)
		c.Server = old
		c.Server.State = "removed"
	case had:
		return l.changedAt[c.Server.ID] // as it is already: a repeat of an earlier write
	default:
		return l.version
	}
	l.changes = append(l.changes, change{Index: entry.Index, Server: c.Server})
	if over := len(l.changes) - l.maxChanges; over > 0 {
		l.discardedVersion = l.changes[over-1].Index
		l.changes = slices.Delete(l.changes, 0, over)
	}
	l.version = entry.Index
	l.notifyWatches()
	return l.version
}

// wakeWatches wakes every watch that waits for a change of a server, and forgets what was
// encoded before it; the caller holds mu.
func (l *stateMachine) notifyWatches() {
	l.responses = map[responseKey][]byte{}
	close(l.changed)
	l.changed = make(chan struct{})
}

// query is what a call of a watch asks for: the changes after version, or all with full;
// and the settings of service, where one is named, if they are newer than have.
type watchQuery struct {
	version       uint64
	full          bool
	service       string
	knownSettings uint64
}

// answerKey is what the servers' part of an answer depends on, besides the list's version.
type responseKey struct {
	version uint64 // the query's; 0 for a whole list
	full    bool
}

// keepAnswers bounds the encoded answers kept: the whole list, and the changes since the
// versions that most watches have.
const maxCachedResponses = 64

// reply is the answer to a query, encoded: a endpoint.List and a line feed.
type watchResponse struct {
	hasUpdate bool // a change or the whole list, or newer settings
	body      []byte
}

// since is the answer to a query: the changes after its version, each server once in its
// last form, or the whole list where changes after it are no longer all kept; and newer
// settings. It also gives the channels that close at the next change of a server and of the
// service's settings (nil without a service; it may close for another's, see settingsWake).
func (l *stateMachine) changesSince(q watchQuery) (out watchResponse, wake, settings <-chan struct{}) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	key := responseKey{version: q.version}
	if q.full || q.version < l.discardedVersion {
		key = responseKey{full: true}
	}
	out = watchResponse{hasUpdate: key.full || key.version < l.version, body: l.encodedResponse(key)}
	if q.service == "" {
		return out, l.changed, nil
	}
	if newer := l.settingsNewerThan(q.service, q.knownSettings); newer != nil {
		text, _ := json.Marshal(newer)
		// They are the last field of a endpoint.List.
		servers := bytes.TrimSuffix(out.body, []byte("}\n"))
		out = watchResponse{hasUpdate: true, body: slices.Concat(servers, []byte(`,"settings":`), text, []byte("}\n"))}
	}
	return out, l.changed, *l.settingsChannel(q.service)
}

// encoded is the servers' part of an answer, encoded once for all that ask the same before
// the next change; the caller holds mu.
func (l *stateMachine) encodedResponse(key responseKey) []byte {
	if !key.full && key.version >= l.version {
		return encodeList(l.endpointsSince(key.version, false)) // no more than a version
	}
	l.responsesMu.Lock()
	defer l.responsesMu.Unlock()
	body, ok := l.responses[key]
	if !ok {
		body = encodeList(l.endpointsSince(key.version, key.full))
		if len(l.responses) < maxCachedResponses {
			l.responses[key] = body
		}
	}
	return body
}

func encodeList(out endpoint.List) []byte {
	body, _ := json.Marshal(out) // a list of finite numbers: check lets no other in
	return append(body, '\n')
}

// changesAfter is the part of since's answer that is the servers'; the caller holds mu.
func (l *stateMachine) endpointsSince(version uint64, full bool) endpoint.List {
	if full {
		return endpoint.List{Version: l.version, Full: true, Servers: l.allEndpoints()}
	}
	out := endpoint.List{Version: max(l.version, version), Servers: []endpoint.Endpoint{}}
	first, _ := slices.BinarySearchFunc(l.changes, version+1, func(c change, v uint64) int { return cmp.Compare(c.Index, v) })
	last := map[string]int{}
	for _, c := range l.changes[first:] {
		if i, ok := last[c.Server.ID]; ok {
			out.Servers[i] = c.Server
			continue
		}
		last[c.Server.ID] = len(out.Servers)
		out.Servers = append(out.Servers, c.Server)
	}
	slices.SortFunc(out.Servers, compareByID)
	return out
}

// all is every listed server by id; the caller holds mu.
func (l *stateMachine) allEndpoints() []endpoint.Endpoint {
	out := make([]endpoint.Endpoint, 0, len(l.servers))
	for _, s := range l.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, compareByID)
	return out
}

func compareByID(a, b endpoint.Endpoint) int { return strings.Compare(a.ID, b.ID) }

// current is the version of the last change of a server applied here.
func (l *stateMachine) currentVersion() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.version
}

// applied is current, and the channel that closes at the next change of a server.
func (l *stateMachine) versionAndChange() (uint64, <-chan struct{}) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.version, l.changed
}

// image is what a snapshot holds.
type snapshotImage struct {
	Version uint64              `json:"version"`
	Floor   uint64              `json:"floor"`
	Servers []endpoint.Endpoint `json:"servers"`
	Changes []change            `json:"changes"`
	SetAt   map[string]uint64   `json:"set_at"`
	// Settings are not there in the snapshots of a program that did not keep any.
	Settings map[string][]SettingsVersion `json:"settings,omitempty"`
}

// Snapshot keeps the whole state, changes too, so that a watch resumes across a
// restart from a snapshot (raft.FSM).
func (l *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return snapshotImage{Version: l.version, Floor: l.discardedVersion, Servers: l.allEndpoints(), Changes: slices.Clone(l.changes),
		SetAt: maps.Clone(l.changedAt), Settings: maps.Clone(l.settings)}, nil
}

// Restore replaces the state by a snapshot's (raft.FSM); watchers are woken.
func (l *stateMachine) Restore(r io.ReadCloser) error {
	defer r.Close()
	var im snapshotImage
	if err := json.NewDecoder(r).Decode(&im); err != nil {
		return fmt.Errorf("listsvc: snapshot unreadable: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = map[string]endpoint.Endpoint{}
	for _, s := range im.Servers {
		l.servers[s.ID] = s
	}
	l.changes, l.version, l.discardedVersion, l.changedAt = im.Changes, im.Version, im.Floor, im.SetAt
	if l.changedAt == nil {
		l.changedAt = map[string]uint64{}
	}
	if l.settings = im.Settings; l.settings == nil {
		l.settings = map[string][]SettingsVersion{}
	}
	for i := range l.settingsChanged {
		close(l.settingsChanged[i])
		l.settingsChanged[i] = make(chan struct{})
	}
	l.notifyWatches()
	return nil
}

// Persist writes the image to a snapshot sink (raft.FSMSnapshot).
func (im snapshotImage) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(im); err != nil {
		sink.Cancel()
		return fmt.Errorf("listsvc: snapshot not written: %w", err)
	}
	return sink.Close()
}

// Release is part of raft.FSMSnapshot; an image holds nothing to release.
func (im snapshotImage) Release() {}
