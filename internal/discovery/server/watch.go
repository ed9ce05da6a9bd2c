package server

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxWatchWait bounds the wait of a watch, as specified by the discovery protocol.
const maxWatchWait = 60 * time.Second

// watchRequest is a GET /api/targets request: a poll or a watch.
type watchRequest struct {
	watchQuery
	wait   time.Duration
	agent  string
	report SettingsReport
}

// parseWatchRequest parses the query parameters. It ignores those for settings if no service is given.
func parseWatchRequest(query url.Values) (watchRequest, error) {
	var request watchRequest
	version, versionErr := parseUint(query.Get(endpoint.QueryIndex))
	waitMs, waitErr := parseUint(query.Get(endpoint.QueryWait))
	if err := errors.Join(versionErr, waitErr); err != nil {
		return request, err
	}
	request.version = version
	request.full = !query.Has(endpoint.QueryIndex)
	request.wait = time.Duration(min(waitMs, uint64(maxWatchWait.Milliseconds()))) * time.Millisecond
	request.service = query.Get(endpoint.QueryService)
	if request.service == "" {
		return request, nil
	}
	report, err := parseSettingsReport(query)
	if err != nil {
		return request, err
	}
	request.agent = query.Get(endpoint.QueryAgent)
	request.report = report
	request.knownSettings = max(report.InForce, report.Rejected)
	return request, validateServiceName(request.service)
}

// parseSettingsReport parses the query parameters with which an agent reports the state of its settings.
func parseSettingsReport(query url.Values) (SettingsReport, error) {
	inForce, err := parseUint(query.Get(endpoint.QueryInForce))
	if err != nil {
		return SettingsReport{}, fmt.Errorf("%s: %w", endpoint.QueryInForce, err)
	}
	rejected, err := parseUint(query.Get(endpoint.QueryRejected))
	if err != nil {
		return SettingsReport{}, fmt.Errorf("%s: %w", endpoint.QueryRejected, err)
	}
	reason := oneLine(query.Get(endpoint.QueryReason), maxReasonBytes)
	return SettingsReport{InForce: inForce, Rejected: rejected, Reason: reason}, nil
}

// serveEndpoints responds to GET /api/targets. Without the parameter index it responds with the full
// list. With index it waits up to wait milliseconds (at most 60,000) for a change, and responds with
// the changes since the version index.
//
// If the request has a service, the agent's report is recorded, and the watch also ends once the
// service's settings are newer than those that the agent has. A follower that has had no contact with a
// leader within MaxStale responds with 503, even to a watch that is already waiting. For an index that
// is newer than the list applied by this instance, see awaitVersion.
func (n *Node) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	request, err := parseWatchRequest(r.URL.Query())
	if err == nil && request.service != "" && request.agent != "" {
		n.reports.record(request.service, request.agent, request.report, time.Now())
	}
	if _, stale := n.rejectIfStale(r.Context(), w); stale {
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fullList, err := n.awaitVersion(r.Context(), request.version)
	if err != nil {
		writeUnavailable(w, n.instanceError("%w", err))
		return
	}
	request.full = request.full || fullList
	n.watch(r.Context(), w, request)
}

// watch responds to a request once there is an update for it or its wait is over.
func (n *Node) watch(ctx context.Context, w http.ResponseWriter, request watchRequest) {
	timeout := time.NewTimer(request.wait)
	defer timeout.Stop()
	respondNow := request.wait == 0
	for {
		remaining, stale := n.rejectIfStale(ctx, w)
		if stale {
			return
		}
		response := n.state.changesSince(request.watchQuery)
		if response.hasUpdate || respondNow {
			writeList(w, response.body)
			return
		}
		select {
		case <-response.changed:
			respondNow = true // even if the change turns out not to affect this watch
		case <-response.settingsChanged: // possibly another service's settings, so check again
		case <-timeout.C:
			respondNow = true
		case <-time.After(remaining): // check again whether the list is stale
		case <-ctx.Done():
			return
		case <-n.closed:
			return
		}
	}
}

// writeList responds with an encoded endpoint.List.
func writeList(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the client has disconnected
}
