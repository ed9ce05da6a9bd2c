package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// readMux returns the handler of the discovery protocol, for Config.HTTPAddr.
func (n *Node) readMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoint.ListPath, n.serveEndpoints)
	return mux
}

// adminMux returns the handler of writes, settings and status, for Config.AdminAddr.
func (n *Node) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+endpoint.ServerPattern, n.servePutEndpoint)
	mux.HandleFunc("DELETE "+endpoint.ServerPattern, n.serveDeleteEndpoint)
	mux.HandleFunc("GET "+endpoint.StatusPath, n.serveStatus)
	mux.HandleFunc("PUT "+endpoint.SettingsPattern, n.servePutSettings)
	mux.HandleFunc("GET "+endpoint.SettingsPattern, n.serveSettings)
	mux.HandleFunc("GET "+endpoint.SettingsHistoryPattern, n.serveSettingsHistory)
	mux.HandleFunc("GET "+endpoint.AgentReportsPattern, n.serveAgentReports)
	return mux
}

// serverID returns the server id in a request's path.
func serverID(r *http.Request) string { return r.PathValue(endpoint.WildcardID) }

// serviceName returns the service name in a request's path.
func serviceName(r *http.Request) string { return r.PathValue(endpoint.WildcardService) }

// instanceError returns an error whose message includes the instance's id. The message is part of
// response bodies, so it keeps the prefix "listsvc" of the first version.
func (n *Node) instanceError(format string, args ...any) error {
	return fmt.Errorf("listsvc %s: %w", n.cfg.ID, fmt.Errorf(format, args...))
}

// writeUnavailable responds with 503, the error's message and a Retry-After of one second.
func writeUnavailable(w http.ResponseWriter, err error) {
	w.Header().Set("Retry-After", "1")
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}

// writeJSON responds with 200 and a value encoded as JSON.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

// parseUint parses a query parameter. It returns 0 if the parameter is empty or absent.
func parseUint(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a non-negative integer", text)
	}
	return value, nil
}

// rejectIfStoreUnavailable responds to a write with 503 if the store is unavailable, and reports whether it
// did.
func (n *Node) rejectIfStoreUnavailable(w http.ResponseWriter) bool {
	err := n.store.available()
	if err == nil {
		return false
	}
	writeUnavailable(w, n.instanceError("%w", err))
	return true
}

// redirectToLeader redirects a write to the leader's admin address with 307, or responds with 503 if
// no leader is known or this instance's store is unavailable. It reports whether it responded; if
// not, this instance is the leader.
func (n *Node) redirectToLeader(w http.ResponseWriter, r *http.Request) bool {
	if n.rejectIfStoreUnavailable(w) {
		return true
	}
	if n.isLeader() {
		return false
	}
	leader, err := n.leader()
	if err != nil {
		writeUnavailable(w, err)
		return true
	}
	http.Redirect(w, r, "http://"+leader.AdminAddr+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	return true
}
