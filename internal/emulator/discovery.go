package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
)

// maxWatchMs bounds how long, in ms, a watch waits for a change.
const maxWatchMs = 60_000

// serveDiscovery serves the endpoint list at an agent's discovery address.
func (e *Emulator) serveDiscovery(agent, address string) error {
	listener, err := listenTCP(address)
	if err != nil {
		return err
	}
	view := e.endpoints.agentViews[agent]
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpoint.ListPath, func(rw http.ResponseWriter, r *http.Request) {
		e.endpoints.handleList(view, rw, r)
	})
	s := &http.Server{Handler: mux, ErrorLog: log.New(io.Discard, "", 0)}
	e.discoveryServers = append(e.discoveryServers, s)
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.recordError(err)
		}
	}()
	return nil
}

// listQuery is an agent's request for the endpoint list: a poll for the full list, or a watch for the changes after the
// version that the agent has.
type listQuery struct {
	watch   bool
	version uint64
	wait    time.Duration // longest wait of a watch for a change
}

// parseListQuery parses the query parameters: "index", the version of a watch, and "wait", its longest wait in ms.
func parseListQuery(r *http.Request) (query listQuery, err error) {
	if index := r.FormValue(endpoint.QueryIndex); index != "" {
		query.watch = true
		if query.version, err = strconv.ParseUint(index, 10, 64); err != nil {
			return listQuery{}, fmt.Errorf("index: %w", err)
		}
	}
	waitMs, _ := strconv.Atoi(r.FormValue(endpoint.QueryWait)) // a missing or invalid wait counts as 0
	query.wait = time.Duration(min(max(waitMs, 0), maxWatchMs)) * time.Millisecond
	return query, nil
}

// handleList answers a poll with the full list. It answers a watch with the changes after its version, as soon as there
// are any or its wait is over.
func (l *endpointList) handleList(view *agentView, rw http.ResponseWriter, r *http.Request) {
	l.calls.Add(1)
	query, err := parseListQuery(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	list, ok := l.awaitList(r.Context(), view, query)
	if !ok {
		return // the agent closed the connection
	}
	l.entriesSent.Add(uint64(len(list.Servers)))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(list) // fails only if the agent closed the connection
}

// awaitList returns the answer to a query once discovery is available and the answer is due. It returns false if the
// context ends first.
func (l *endpointList) awaitList(ctx context.Context, view *agentView, query listQuery) (endpoint.List, bool) {
	timeout := time.NewTimer(query.wait)
	defer timeout.Stop()
	timedOut := false
	for {
		if restored := l.outage(); restored != nil {
			select {
			case <-restored:
				continue
			case <-ctx.Done():
				return endpoint.List{}, false
			}
		}
		list, changed := l.answer(view, query)
		if !query.watch || timedOut || list.Full || len(list.Servers) > 0 {
			return list, true
		}
		select {
		case <-changed:
			// The agent already counts as notified of the change, so an outage that begins now must not delay the answer.
			list, _ = l.answer(view, query)
			return list, true
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return endpoint.List{}, false
		}
	}
}
