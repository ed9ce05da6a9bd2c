package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/hashicorp/raft"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// maxBodyBytes bounds the body of a write, as specified by the discovery protocol.
	maxBodyBytes = 64 << 10
	// commitTimeout bounds how long a write waits to be added to the Raft log.
	commitTimeout = 5 * time.Second
)

// WriteResult is the response body of a committed write.
type WriteResult struct {
	Version uint64 `json:"version"` // of the write
}

// servePutEndpoint replaces a server's entry with the endpoint.Endpoint in the JSON body.
func (n *Node) servePutEndpoint(w http.ResponseWriter, r *http.Request) {
	if n.redirectToLeader(w, r) {
		return
	}
	var entry endpoint.Endpoint
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&entry); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if entry.ID == "" {
		entry.ID = serverID(r)
	}
	if err := validateEndpoint(entry, serverID(r)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.commit(w, command{Op: operationPut, Server: entry})
}

// serveDeleteEndpoint removes a server from the list.
func (n *Node) serveDeleteEndpoint(w http.ResponseWriter, r *http.Request) {
	if n.redirectToLeader(w, r) {
		return
	}
	n.commit(w, command{Op: operationRemove, Server: endpoint.Endpoint{ID: serverID(r)}})
}

// commit replicates a write and responds with {"version": N} once a majority has stored it.
func (n *Node) commit(w http.ResponseWriter, c command) {
	data, err := json.Marshal(c)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	applied := n.raft.Apply(data, commitTimeout)
	if err := applied.Error(); err != nil {
		n.log.Warn("write not committed", "operation", c.Op, "id", c.target(), "err", err)
		http.Error(w, "not committed: "+err.Error(), commitErrorStatus(err))
		return
	}
	result, _ := applied.Response().(applyResult) // the type that stateMachine.Apply returns
	if result.err != nil {
		http.Error(w, result.err.Error(), applyErrorStatus(result.err))
		return
	}
	writeJSON(w, WriteResult{Version: result.version})
}

// commitErrorStatus returns the HTTP status for a write that Raft did not commit: 503 if the write may
// succeed at another instance or later.
func commitErrorStatus(err error) int {
	var storeErr *StoreError
	switch {
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipLost),
		errors.Is(err, raft.ErrEnqueueTimeout), errors.As(err, &storeErr):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

// applyErrorStatus returns the HTTP status for a write that was committed but that the state machine
// rejected.
func applyErrorStatus(err error) int {
	var conflict versionConflictError
	if errors.As(err, &conflict) {
		return http.StatusPreconditionFailed
	}
	return http.StatusInternalServerError
}

// validateEndpoint returns an error if an entry is invalid or its id is not the given one.
func validateEndpoint(entry endpoint.Endpoint, id string) error {
	switch {
	case entry.ID != id:
		return fmt.Errorf("id %q in the body differs from %q in the path", entry.ID, id)
	case entry.Addr == "":
		return errors.New("addr: missing")
	case entry.State != endpoint.StateUp && entry.State != endpoint.StateDraining:
		return fmt.Errorf("state %q: want up or draining", entry.State)
	case !(entry.Weight > 0) || math.IsInf(entry.Weight, 0):
		return fmt.Errorf("weight %v: want a finite number above zero", entry.Weight)
	case entry.Cell < 0 || entry.StartedMs < 0 || math.IsInf(entry.StartedMs, 0):
		return errors.New("cell and started_ms: want zero or more")
	}
	return nil
}
