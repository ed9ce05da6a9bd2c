package server

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxCachedResponses bounds the number of cached responses: the full list, and the changes since the
// versions that most watches have.
const maxCachedResponses = 64

// watchQuery is what a watch requests: either the changes since a version or the full list. A watch
// that specifies a service also requests that service's settings if they are newer than those that its
// agent has.
type watchQuery struct {
	version       uint64
	full          bool
	service       string // "": none
	knownSettings uint64 // version
}

// responseKey and the list's version together identify the servers in a response.
type responseKey struct {
	version uint64 // of the query; 0 for the full list
	full    bool
}

// watchResponse is the current response to a watchQuery, and the channels on which the watch waits for
// an update.
type watchResponse struct {
	// hasUpdate reports whether the body has changes, the full list, or newer settings.
	hasUpdate bool
	// body is an endpoint.List in JSON followed by a newline.
	body []byte
	// changed is closed at the next change of a server.
	changed <-chan struct{}
	// settingsChanged is closed at the next write of the service's settings, and possibly at a write
	// of another service's settings (see settingsChannel); nil: the query has no service.
	settingsChanged <-chan struct{}
}

// changesSince returns the response to a query. It has the changes since the query's version, with only
// the last change of each server. It has the full list instead if the query requests that or if some of
// the changes have been discarded. If the query has a service, the response also has the service's
// settings if they are newer.
func (m *stateMachine) changesSince(query watchQuery) watchResponse {
	m.mu.RLock()
	defer m.mu.RUnlock()
	key := responseKey{version: query.version}
	if query.full || query.version < m.discardedVersion {
		key = responseKey{full: true}
	}
	response := watchResponse{
		hasUpdate: key.full || key.version < m.version,
		body:      m.encodedResponse(key),
		changed:   m.changed,
	}
	if query.service == "" {
		return response
	}
	response.settingsChanged = *m.settingsChannel(query.service)
	if newer := m.settingsNewerThan(query.service, query.knownSettings); newer != nil {
		response.hasUpdate = true
		response.body = withSettings(response.body, newer)
	}
	return response
}

// withSettings returns a copy of an encoded endpoint.List with settings added. The list must not have
// settings yet. They can be appended because they are the last field of a List.
func withSettings(body []byte, settings *endpoint.Settings) []byte {
	const listEnd = "}\n"
	text, _ := json.Marshal(settings) // the stored text is valid JSON: validateSettings has accepted it
	servers := bytes.TrimSuffix(body, []byte(listEnd))
	return slices.Concat(servers, []byte(`,"settings":`), text, []byte(listEnd))
}

// encodedResponse returns a response without settings, which is encoded once for all watches with the
// same key until the next change. The caller holds mu.
func (m *stateMachine) encodedResponse(key responseKey) []byte {
	if !key.full && key.version >= m.version {
		return encodeList(m.endpointsSince(key)) // has no servers, so it is cheap to encode
	}
	m.responsesMu.Lock()
	defer m.responsesMu.Unlock()
	if body, ok := m.responses[key]; ok {
		return body
	}
	body := encodeList(m.endpointsSince(key))
	if len(m.responses) < maxCachedResponses {
		m.responses[key] = body
	}
	return body
}

// encodeList returns a list in JSON followed by a newline.
func encodeList(list endpoint.List) []byte {
	body, _ := json.Marshal(list) // all numbers are finite: validateEndpoint rejects others
	return append(body, '\n')
}

// endpointsSince returns the entries that changed after key.version, or all entries if key.full is set. Settings are
// left out. The caller holds mu.
func (m *stateMachine) endpointsSince(key responseKey) endpoint.List {
	if key.full {
		return endpoint.List{Version: m.version, Full: true, Servers: m.allEndpoints()}
	}
	list := endpoint.List{Version: max(m.version, key.version), Servers: []endpoint.Endpoint{}}
	first, _ := slices.BinarySearchFunc(m.changes, key.version+1, compareToIndex)
	position := map[string]int{} // index in list.Servers, by id
	for _, c := range m.changes[first:] {
		if i, ok := position[c.Server.ID]; ok {
			list.Servers[i] = c.Server
			continue
		}
		position[c.Server.ID] = len(list.Servers)
		list.Servers = append(list.Servers, c.Server)
	}
	slices.SortFunc(list.Servers, compareByID)
	return list
}

// allEndpoints returns every listed server, ordered by id. The caller holds mu.
func (m *stateMachine) allEndpoints() []endpoint.Endpoint {
	servers := make([]endpoint.Endpoint, 0, len(m.servers))
	for _, server := range m.servers {
		servers = append(servers, server)
	}
	slices.SortFunc(servers, compareByID)
	return servers
}

// compareToIndex compares a change's index with an index.
func compareToIndex(c change, index uint64) int { return cmp.Compare(c.Index, index) }

// compareByID compares two entries by id.
func compareByID(a, b endpoint.Endpoint) int { return strings.Compare(a.ID, b.ID) }

// currentVersion returns the version of the last applied change of a server.
func (m *stateMachine) currentVersion() uint64 {
	version, _ := m.versionAndChange()
	return version
}

// versionAndChange returns the current version and a channel that is closed at the next change of a
// server.
func (m *stateMachine) versionAndChange() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version, m.changed
}
