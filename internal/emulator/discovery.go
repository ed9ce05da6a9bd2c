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

// maxWatchMs bounds the time, in ms, that a watch waits for a change.
const maxWatchMs = 60_000

// serveDiscovery opens an agent's discovery address.
func (e *Emulator) serveDiscovery(agent, address string) error {
	listener, err := listenTCP(address)
	if err != nil {
		return err
	}
	view := e.endpoints.agentViews[agent]
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", func(rw http.ResponseWriter, r *http.Request) {
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

// listQuery is an agent's call for the endpoint list: a poll, which gets the full list, or a watch, which names the
// version that the agent has.
type listQuery struct {
	watch   bool
	version uint64
	wait    time.Duration // how long a watch waits for a change
}

// parseListQuery reads the parameters of a call: "index", the version of a watch, and "wait", its time in ms.
func parseListQuery(r *http.Request) (query listQuery, err error) {
	if index := r.FormValue("index"); index != "" {
		query.watch = true
		if query.version, err = strconv.ParseUint(index, 10, 64); err != nil {
			return listQuery{}, fmt.Errorf("index: %w", err)
		}
	}
	waitMs, _ := strconv.Atoi(r.FormValue("wait")) // without a number the answer is immediate
	query.wait = time.Duration(min(max(waitMs, 0), maxWatchMs)) * time.Millisecond
	return query, nil
}

// handleList answers a poll with the full list, and a watch with the changes after its version, once there are any or
// its time is over.
func (l *endpointList) handleList(view *agentView, rw http.ResponseWriter, r *http.Request) {
	l.calls.Add(1)
	query, err := parseListQuery(r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	list, ok := l.awaitList(r.Context(), view, query)
	if !ok {
		return // the agent has closed the connection
	}
	l.entriesSent.Add(uint64(len(list.Servers)))
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(list) // an error: the agent has closed the connection
}

// awaitList returns the answer to a call once discovery is available and the answer is due; false: the context has
// ended before.
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
			// The agent counts as notified now, so an outage that begins at this moment does not hold back the answer.
			list, _ = l.answer(view, query)
			return list, true
		case <-timeout.C:
			timedOut = true
		case <-ctx.Done():
			return endpoint.List{}, false
		}
	}
}
