package server

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/wire"
)

const (
	// keepSettings bounds the versions kept of each service's settings, the newest with them.
	maxSettingsVersions = 20
	// maxName bounds the name of a service or an agent, in bytes.
	maxNameBytes = 128
)

// SettingsVersion is one version of a service's settings as the instance keeps it.
type SettingsVersion struct {
	Version     uint64 `json:"version"`        // Raft index of its write
	WrittenAtMs int64  `json:"at_ms"`          // Unix time in ms at which the leader took the write
	Bytes       int    `json:"bytes"`          // length of the text
	Text        string `json:"text,omitempty"` // whole, as it was written; empty in a history's lines
}

// conflict is Apply's answer to a write of settings that named another version than the
// newest: nothing is changed.
type versionConflict struct {
	service       string
	want, current uint64
}

func (c versionConflict) Error() string {
	return fmt.Sprintf("settings of %s: version %d is in place, not %d", c.service, c.current, c.want)
}

// checkSettings returns an error of one line that names the key for a text that no agent
// could take: wire.ParseSettings and Settings.Validate refuse it, the names of zones or
// machine kinds are no names, or it sets index or zone, which are each agent's own.
func validateSettings(text []byte) error {
	var keys map[string]json.RawMessage
	if !utf8.Valid(text) || json.Unmarshal(text, &keys) != nil || keys == nil {
		return fmt.Errorf("settings: not a JSON object in UTF-8")
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		// encoding/json takes a key in any case for a field's.
		if strings.EqualFold(key, "index") || strings.EqualFold(key, "zone") {
			return fmt.Errorf("settings: %s: is each agent's own, leave it out", strings.ToLower(key))
		}
	}
	for _, key := range []string{"failureDomains", "shapes"} {
		var names []string
		if raw, ok := keys[key]; ok && json.Unmarshal(raw, &names) != nil {
			return fmt.Errorf("settings: %s: must be a list of names", key)
		}
	}
	s, err := wire.ParseSettings(text)
	if err != nil {
		return err
	}
	return s.Validate()
}

// checkName names what makes a text unfit as a service's name.
func validateName(service string) error {
	if service == "" || service == "." || service == ".." || len(service) > maxNameBytes || !utf8.ValidString(service) ||
		strings.Contains(service, "/") || strings.ContainsFunc(service, unicode.IsControl) {
		return fmt.Errorf("service: %.40q is no name: want 1 to %d bytes, no / and no control characters", service, maxNameBytes)
	}
	return nil
}

// applySettings carries out a committed write of settings and returns its version, that of
// the newest if the text is exactly the same, or a conflict. The caller holds mu.
func (l *stateMachine) applySettings(c command, index uint64) any {
	kept := l.settings[c.Service]
	var newest SettingsVersion
	if len(kept) > 0 {
		newest = kept[len(kept)-1]
	}
	switch {
	case len(kept) > 0 && newest.Text == c.Text:
		return newest.Version // a repeat, of a write whose answer was lost perhaps
	case c.IfVersion != nil && *c.IfVersion != newest.Version:
		return versionConflict{service: c.Service, want: *c.IfVersion, current: newest.Version}
	}
	kept = append(kept, SettingsVersion{Version: index, WrittenAtMs: c.WrittenAtMs, Bytes: len(c.Text), Text: c.Text})
	l.settings[c.Service] = slices.Clone(kept[max(0, len(kept)-maxSettingsVersions):])
	wake := l.settingsChannel(c.Service)
	close(*wake)
	*wake = make(chan struct{})
	return index
}

// settingsWake is the channel that closes at the next write of the service's settings. It
// is one of a fixed number that the names hash to, so that names nobody writes cost nothing;
// who waits looks whether it was its own service. The caller holds mu.
func (l *stateMachine) settingsChannel(service string) *chan struct{} {
	h := fnv.New32a()
	h.Write([]byte(service))
	return &l.settingsChanged[h.Sum32()%uint32(len(l.settingsChanged))]
}

// newerSettings are the service's newest settings if they are newer than version have, or
// nil. The caller holds mu.
func (l *stateMachine) settingsNewerThan(service string, have uint64) *endpoint.Settings {
	kept := l.settings[service]
	if len(kept) == 0 || kept[len(kept)-1].Version <= have {
		return nil
	}
	s := kept[len(kept)-1]
	return &endpoint.Settings{Service: service, Version: s.Version, Value: json.RawMessage(s.Text)}
}

// history is the kept versions of a service's settings, the oldest first.
func (l *stateMachine) history(service string) []SettingsVersion {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.settings[service]
}
