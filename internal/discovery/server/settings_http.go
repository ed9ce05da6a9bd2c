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

// maxSettingsBytes bounds the size of a service's settings.
const maxSettingsBytes = 64 << 10

// servePutSettings replaces a service's settings. The body is the text of the settings, at most 64 KiB,
// in the format of the agent's configuration but without index and zone. The response to settings that
// agents would reject is 400 with one line that includes the key. If the newest version has the same
// text, nothing is written and the response is {"version": N} with that version. Otherwise, with
// If-Match: VERSION (0: there are none yet), the response is 412 if the newest version is a different
// one. In all other cases the response is {"version": N} with the version of this write.
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

// parseSettingsWrite reads and validates a write of settings.
func parseSettingsWrite(w http.ResponseWriter, r *http.Request) (command, error) {
	write := command{Op: operationSettings, Service: serviceName(r), WrittenAtMs: time.Now().UnixMilli()}
	text, err := readSettings(w, r)
	if err != nil {
		return write, err
	}
	if err := validateServiceName(write.Service); err != nil {
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

// parseIfMatch parses an If-Match header, whose version may be in quotes. It returns nil if the header
// is empty.
func parseIfMatch(header string) (*uint64, error) {
	if header == "" {
		return nil, nil
	}
	version, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("If-Match: %.40q is not a version", header)
	}
	return &version, nil
}

// serveSettings responds with a service's newest settings as a SettingsVersion. With ?version=N it
// responds with that version, which must be one of the last 20. It responds with 404 if the version is
// not stored.
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

// serveSettingsHistory responds with the stored versions of a service's settings, newest first and
// without their texts, or with 404 if there are none.
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

// storedSettings returns the stored versions of the settings of the service in the request's path,
// oldest first. If there are none, or if this instance may not serve reads, it responds with an error
// and returns false.
func (n *Node) storedSettings(w http.ResponseWriter, r *http.Request) ([]SettingsVersion, bool) {
	if _, stale := n.rejectIfStale(r.Context(), w); stale {
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

// serveAgentReports responds with the reports that this instance has received from a service's agents.
// Reports received by other instances are not included.
func (n *Node) serveAgentReports(w http.ResponseWriter, r *http.Request) {
	service := serviceName(r)
	reports := AgentReports{
		ID:      n.cfg.ID,
		Service: service,
		Agents:  n.reports.forService(service, time.Now()),
		Peers:   map[string]string{},
	}
	// The version is read after the reports, so that no agent in the reports has a newer one.
	reports.Version = newestSettings(n.state.history(service)).Version
	for _, peer := range n.cfg.Peers {
		reports.Peers[peer.ID] = peer.AdminAddr
	}
	writeJSON(w, reports)
}
