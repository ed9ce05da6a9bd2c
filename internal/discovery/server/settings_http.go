package server

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxSettingsBytes bounds the text of a service's settings.
const maxSettingsBytes = 64 << 10

// servePutSettings replaces a service's settings. The body is their text, at most 64 KiB, in the
// form of the agent's configuration without index and zone. Settings that no agent could put in
// force are answered with 400 and one line that names the key. With If-Match: VERSION (0: none
// yet) it answers 412 if another version is the newest. Otherwise it answers {"version": N}; N is
// the newest version if the text is the same as the newest.
func (n *Node) servePutSettings(w http.ResponseWriter, r *http.Request) {
	if n.redirectToLeader(w, r) {
		return
	}
	write, err := parseSettingsWrite(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.commit(w, write)
}

// parseSettingsWrite reads and checks a write of settings.
func parseSettingsWrite(w http.ResponseWriter, r *http.Request) (command, error) {
	write := command{Op: operationSettings, Service: serviceName(r), WrittenAtMs: time.Now().UnixMilli()}
	text, err := readSettings(w, r)
	if err != nil {
		return write, err
	}
	if err := validateName(write.Service); err != nil {
		return write, err
	}
	if err := validateSettings(text); err != nil {
		return write, err
	}
	write.Text = string(text)
	write.IfVersion, err = parseIfMatch(r.Header.Get("If-Match"))
	return write, err
}

// readSettings reads the body of a write of settings.
func readSettings(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSettingsBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, fmt.Errorf("settings: longer than %d bytes", maxSettingsBytes)
	case err != nil:
		return nil, fmt.Errorf("body: %w", err)
	}
	return text, nil
}

// parseIfMatch parses an If-Match header, whose version may be in quotes; nil: there is none.
func parseIfMatch(header string) (*uint64, error) {
	if header == "" {
		return nil, nil
	}
	version, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("If-Match: %.40q is no version", header)
	}
	return &version, nil
}

// serveSettings answers a service's newest settings as SettingsVersion, or with ?version=N that
// version, if it is one of the last 20; 404 if it is not stored.
func (n *Node) serveSettings(w http.ResponseWriter, r *http.Request) {
	versions, ok := n.storedSettings(w, r)
	if !ok {
		return
	}
	found := newestSettings(versions)
	if text := r.URL.Query().Get(endpoint.QueryVersion); text != "" {
		version, err := parseUint(text)
		if err != nil {
			http.Error(w, endpoint.QueryVersion+": "+err.Error(), http.StatusBadRequest)
			return
		}
		index := slices.IndexFunc(versions, func(v SettingsVersion) bool { return v.Version == version })
		if index < 0 {
			message := fmt.Sprintf("version %d of the settings of %s is not kept", version, serviceName(r))
			http.Error(w, message, http.StatusNotFound)
			return
		}
		found = versions[index]
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(found.Version, 10)))
	writeJSON(w, found)
}

// serveSettingsHistory answers the stored versions of a service's settings, the newest first and
// without their texts; 404 if there are none.
func (n *Node) serveSettingsHistory(w http.ResponseWriter, r *http.Request) {
	versions, ok := n.storedSettings(w, r)
	if !ok {
		return
	}
	history := slices.Clone(versions)
	slices.Reverse(history)
	for i := range history {
		history[i].Text = ""
	}
	writeJSON(w, history)
}

// storedSettings returns the stored versions of the settings of the path's service, the oldest
// first. If there are none, or this instance may not serve reads, it answers and returns false.
func (n *Node) storedSettings(w http.ResponseWriter, r *http.Request) ([]SettingsVersion, bool) {
	if _, stale := n.rejectStale(r.Context(), w); stale {
		return nil, false
	}
	service := serviceName(r)
	versions := n.state.history(service)
	if len(versions) == 0 {
		http.Error(w, fmt.Sprintf("no settings of %.40q are kept", service), http.StatusNotFound)
		return nil, false
	}
	return versions, true
}

// serveAgentReports answers the reports of a service's agents that this instance has received. It
// does not include those that other instances have.
func (n *Node) serveAgentReports(w http.ResponseWriter, r *http.Request) {
	service := serviceName(r)
	reports := AgentReports{
		ID:      n.cfg.ID,
		Service: service,
		Agents:  n.reports.ofService(service, time.Now()),
		Peers:   map[string]string{},
	}
	// Read after the reports, so that no agent has newer settings than the newest.
	reports.Version = newestSettings(n.state.history(service)).Version
	for _, peer := range n.cfg.Peers {
		reports.Peers[peer.ID] = peer.Admin
	}
	writeJSON(w, reports)
}
