package server

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"
	"strings"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxCachedResponses bounds the encoded responses that are cached: the full list, and the changes
// since the versions that most watches have.
const maxCachedResponses = 64

// watchQuery is what a watch requests: the changes since a version, or the full list; and the
// settings of a service, if it names one and they are newer than those that its agent has.
type watchQuery struct {
	version       uint64
	full          bool
	service       string // "": none
	knownSettings uint64 // version
}

// responseKey is what the servers' part of a response depends on, beside the list's version.
type responseKey struct {
	version uint64 // of the query; 0 for the full list
	full    bool
}

// watchResponse is the present answer to a watchQuery, and by what the watch waits for a later one.
type watchResponse struct {
	// hasUpdate says that the body has changes, the full list, or newer settings.
	hasUpdate bool
	// body is an endpoint.List in JSON and a line feed.
	body []byte
	// changed is closed at the next change of a server.
	changed <-chan struct{}
	// settingsChanged is closed at the next write of the service's settings, and may be at one of
	// another service's (see settingsChannel); nil: the query names no service.
	settingsChanged <-chan struct{}
}

// changesSince returns the answer to a query: the changes since its version, each server once and
// in its last form, or the full list where some of the changes have been discarded; and newer
// settings.
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

// withSettings returns a copy of an encoded endpoint.List without settings that has them: they are
// the last field of a List.
func withSettings(body []byte, settings *endpoint.Settings) []byte {
	const listEnd = "}\n"
	text, _ := json.Marshal(settings) // the stored text is valid JSON: validateSettings accepted it
	servers := bytes.TrimSuffix(body, []byte(listEnd))
	return slices.Concat(servers, []byte(`,"settings":`), text, []byte(listEnd))
}

// encodedResponse returns the servers' part of a response, which is encoded once for all watches
// with the same key until the next change. The caller holds mu.
func (m *stateMachine) encodedResponse(key responseKey) []byte {
	if !key.full && key.version >= m.version {
		return encodeList(m.endpointsSince(key)) // without servers, so it is cheap
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

// encodeList returns a list in JSON and a line feed.
func encodeList(list endpoint.List) []byte {
	body, _ := json.Marshal(list) // all numbers are finite: validateEndpoint accepts no others
	return append(body, '\n')
}

// endpointsSince returns the servers' part of the answer to a query. The caller holds mu.
func (m *stateMachine) endpointsSince(key responseKey) endpoint.List {
	if key.full {
		return endpoint.List{Version: m.version, Full: true, Servers: m.allEndpoints()}
	}
	list := endpoint.List{Version: max(m.version, key.version), Servers: []endpoint.Endpoint{}}
	first, _ := slices.BinarySearchFunc(m.changes, key.version+1, compareToIndex)
	position := map[string]int{} // in list.Servers, by id
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

// compareToIndex orders changes by their index.
func compareToIndex(c change, index uint64) int { return cmp.Compare(c.Index, index) }

// compareByID orders entries by their id.
func compareByID(a, b endpoint.Endpoint) int { return strings.Compare(a.ID, b.ID) }

// currentVersion returns the version of the last change of a server applied here.
func (m *stateMachine) currentVersion() uint64 {
	version, _ := m.versionAndChange()
	return version
}

// versionAndChange returns the current version, and the channel that is closed at the next change
// of a server.
func (m *stateMachine) versionAndChange() (uint64, <-chan struct{}) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.version, m.changed
}
