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
)

// maxSettings bounds the text of a service's settings, in bytes.
const maxSettingsBytes = 64 << 10

// servePutSettings sets a service's settings whole: the body is their text, 64 KiB at most,
// in the form of the agent's configuration without index and zone. What no agent could take
// is answered with 400 and one line that names the key. With If-Match: VERSION (0: none
// yet) it answers 412 if another version is in place. Otherwise {"version": N}, that of the
// newest where the text is exactly the same.
func (n *Node) servePutSettings(w http.ResponseWriter, r *http.Request) {
	if n.redirectToLeader(w, r) {
		return
	}
	c := command{Op: "settings", Service: r.PathValue("service"), WrittenAtMs: time.Now().UnixMilli()}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSettingsBytes))
	switch {
	case errors.As(err, new(*http.MaxBytesError)):
		err = fmt.Errorf("settings: longer than %d bytes", maxSettingsBytes)
	case err != nil:
		err = fmt.Errorf("body: %w", err)
	default:
		if err = validateName(c.Service); err == nil {
			err = validateSettings(text)
		}
	}
	if match := r.Header.Get("If-Match"); match != "" && err == nil {
		var v uint64
		if v, err = strconv.ParseUint(strings.Trim(match, `"`), 10, 64); err != nil {
			err = fmt.Errorf("If-Match: %.40q is no version", match)
		}
		c.IfVersion = &v
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Text = string(text)
	n.commit(w, c)
}

// serveSettings answers a service's newest settings as SettingsVersion, or with ?version=N
// that version, of the last 20; 404 where it is not kept.
func (n *Node) serveSettings(w http.ResponseWriter, r *http.Request) {
	kept, ok := n.storedSettings(w, r)
	if !ok {
		return
	}
	at := len(kept) - 1
	if text := r.URL.Query().Get("version"); text != "" {
		v, err := uintParam(text)
		if err != nil {
			http.Error(w, "version: "+err.Error(), http.StatusBadRequest)
			return
		}
		at = slices.IndexFunc(kept, func(s SettingsVersion) bool { return s.Version == v })
		if at < 0 {
			http.Error(w, fmt.Sprintf("version %d of the settings of %s is not kept", v, r.PathValue("service")), http.StatusNotFound)
			return
		}
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(kept[at].Version, 10)))
	writeJSON(w, http.StatusOK, kept[at])
}

// serveHistory answers the versions kept of a service's settings, the newest first and
// without their texts; 404 where there are none.
func (n *Node) serveSettingsHistory(w http.ResponseWriter, r *http.Request) {
	kept, ok := n.storedSettings(w, r)
	if !ok {
		return
	}
	out := slices.Clone(kept)
	slices.Reverse(out)
	for i := range out {
		out[i].Text = ""
	}
	writeJSON(w, http.StatusOK, out)
}

// kept is what is kept of the path's service's settings. It answers and gives false where
// that is nothing, or where this instance may not serve reads.
func (n *Node) storedSettings(w http.ResponseWriter, r *http.Request) ([]SettingsVersion, bool) {
	if _, stale := n.rejectStale(w); stale {
		return nil, false
	}
	kept := n.state.history(r.PathValue("service"))
	if len(kept) == 0 {
		http.Error(w, fmt.Sprintf("no settings of %.40q are kept", r.PathValue("service")), http.StatusNotFound)
	}
	return kept, len(kept) > 0
}

// serveHeard answers what this instance, and no other, has heard of a service's agents.
func (n *Node) serveAgentReports(w http.ResponseWriter, r *http.Request) {
	service := r.PathValue("service")
	out := AgentReports{ID: n.cfg.ID, Service: service, Agents: n.reports.ofService(service, time.Now()), Peers: map[string]string{}}
	if kept := n.state.history(service); len(kept) > 0 {
		out.Version = kept[len(kept)-1].Version
	}
	for _, p := range n.cfg.Peers {
		out.Peers[p.ID] = p.Admin
	}
	writeJSON(w, http.StatusOK, out)
}
