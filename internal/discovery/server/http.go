package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// maxWait is the protocol's cap on a watch's wait.
	maxWatchWait = 60 * time.Second
	// maxBody bounds a write's body, as the protocol bounds any body.
	maxBodyBytes = 64 << 10
	// applyWithin bounds how long a write waits for its commit.
	commitTimeout = 5 * time.Second
)

func (n *Node) readMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", n.serveEndpoints)
	return mux
}

func (n *Node) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/servers/{id}", n.servePutEndpoint)
	mux.HandleFunc("DELETE /v1/servers/{id}", n.serveDeleteEndpoint)
	mux.HandleFunc("GET /v1/status", n.serveStatus)
	mux.HandleFunc("PUT /v1/settings/{service}", n.servePutSettings)
	mux.HandleFunc("GET /v1/settings/{service}", n.serveSettings)
	mux.HandleFunc("GET /v1/settings/{service}/history", n.serveSettingsHistory)
	mux.HandleFunc("GET /v1/settings/{service}/heard", n.serveAgentReports)
	return mux
}

// serveTargets answers GET /api/targets: the whole list without index, else the changes
// after index, waiting up to wait ms (60,000 at most) for one. A call that names a service
// is answered too once its settings are newer than the call says the agent has, at once if
// they are already, and what it says of the agent is remembered. A follower that has not
// heard from a leader within MaxStale answers 503, also to a watch that is open. What an
// index gets that is newer than the list applied here stands at settle.
func (n *Node) serveEndpoints(w http.ResponseWriter, r *http.Request) {
	c, err := parseWatchRequest(r.URL.Query())
	if err == nil && c.service != "" && c.agent != "" {
		n.reports.record(c.service, c.agent, c.report, time.Now())
	}
	if _, stale := n.rejectStale(w); stale {
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	whole, err := n.awaitVersion(r.Context(), c.version)
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, fmt.Sprintf("listsvc %s: %v", n.cfg.ID, err), http.StatusServiceUnavailable)
		return
	}
	c.full = c.full || whole
	timer := time.NewTimer(c.wait)
	defer timer.Stop()
	for last := c.wait == 0; ; {
		left, stale := n.rejectStale(w)
		if stale {
			return
		}
		out, wake, settings := n.state.changesSince(c.watchQuery)
		if out.hasUpdate || last {
			w.Header().Set("Content-Type", "application/json")
			w.Write(out.body)
			return
		}
		select {
		case <-wake:
			last = true // answer with what woke it, or with nothing if it was no change
		case <-settings: // perhaps another service's
		case <-timer.C:
			last = true
		case <-time.After(left): // look again whether a leader has been heard
		case <-r.Context().Done():
			return
		case <-n.closed:
			return
		}
	}
}

// watchCall is one call of GET /api/targets.
type watchRequest struct {
	watchQuery
	wait   time.Duration
	agent  string
	report SettingsReport
}

// readCall reads a call's parameters; of settings only where it names a service.
func parseWatchRequest(q url.Values) (c watchRequest, err error) {
	index, err := uintParam(q.Get("index"))
	wait, err2 := uintParam(q.Get("wait"))
	if err = errors.Join(err, err2); err != nil {
		return c, err
	}
	c.version, c.full = index, !q.Has("index")
	c.wait = time.Duration(min(wait, uint64(maxWatchWait.Milliseconds()))) * time.Millisecond
	if c.service = q.Get(endpoint.QueryService); c.service == "" {
		return c, nil
	}
	if c.report.InForce, err = uintParam(q.Get(endpoint.QueryInForce)); err != nil {
		return c, fmt.Errorf("%s: %w", endpoint.QueryInForce, err)
	}
	if c.report.Rejected, err = uintParam(q.Get(endpoint.QueryRejected)); err != nil {
		return c, fmt.Errorf("%s: %w", endpoint.QueryRejected, err)
	}
	c.knownSettings = max(c.report.InForce, c.report.Rejected)
	c.agent, c.report.Reason = q.Get(endpoint.QueryAgent), oneLine(q.Get(endpoint.QueryReason), maxReasonBytes)
	return c, validateName(c.service)
}

// refuseStale answers 503 where this instance may not serve reads, and tells whether it did;
// if not, for how long that holds.
func (n *Node) rejectStale(w http.ResponseWriter) (time.Duration, bool) {
	left, err := n.freshness()
	if err != nil && n.awaitCaughtUp() {
		left, err = n.freshness()
	}
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
	return left, err != nil
}

// fresh tells whether this instance may serve reads: it leads, or heard from a leader
// within MaxStale; and after how long that has to be asked again, if nothing more is heard.
//
// After an outage of the store the list counts as of its begin, and after a start as older than
// any, until it has caught up.
func (n *Node) freshness() (time.Duration, error) {
	last := n.raft.LastContact()
	behind := n.store.health.behindSince(time.Now(), n.store.outageLimit)
	if n.raft.State() == raft.Leader {
		if behind.IsZero() {
			return min(n.cfg.MaxStale, n.leaderLease()), nil
		}
		last = time.Now()
	}
	if !behind.IsZero() && behind.Before(last) {
		last = behind
	}
	left := n.cfg.MaxStale - time.Since(last)
	if last.IsZero() || left < 0 {
		return 0, n.staleError(behind)
	}
	return left + time.Millisecond, nil
}

// staleError says why this instance may not serve reads.
func (n *Node) staleError(behind time.Time) error {
	if behind.IsZero() {
		return fmt.Errorf("listsvc %s: no leader heard within %v", n.cfg.ID, n.cfg.MaxStale)
	}
	return fmt.Errorf("listsvc %s: not caught up with the leader after a start or an outage of the store", n.cfg.ID)
}

// lease is for how long a leader that hears no majority leads on.
func (n *Node) leaderLease() time.Duration { return n.cfg.ElectionTimeout / 2 }

// servePut sets a server's entry whole from a JSON body in the shape of endpoint.Target.
func (n *Node) servePutEndpoint(w http.ResponseWriter, r *http.Request) {
	if n.redirectToLeader(w, r) {
		return
	}
	var t endpoint.Endpoint
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if t.ID == "" {
		t.ID = r.PathValue("id")
	}
	if err := validateEndpoint(t, r.PathValue("id")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.commit(w, command{Op: "put", Server: t})
}

func (n *Node) serveDeleteEndpoint(w http.ResponseWriter, r *http.Request) {
	if !n.redirectToLeader(w, r) {
		n.commit(w, command{Op: "remove", Server: endpoint.Endpoint{ID: r.PathValue("id")}})
	}
}

// apply commits a write and answers {"version": N} once a majority has it.
func (n *Node) commit(w http.ResponseWriter, c command) {
	data, _ := json.Marshal(c)
	f := n.raft.Apply(data, commitTimeout)
	if err := f.Error(); err != nil {
		code := http.StatusInternalServerError
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) ||
			errors.Is(err, raft.ErrEnqueueTimeout) || errors.As(err, new(*StoreError)) {
			code = http.StatusServiceUnavailable
		}
		n.log.Warn("write not committed", "op", c.Op, "id", c.Server.ID+c.Service, "err", err)
		http.Error(w, "not committed: "+err.Error(), code)
		return
	}
	if err, ok := f.Response().(error); ok {
		code := http.StatusInternalServerError
		if errors.As(err, &versionConflict{}) {
			code = http.StatusPreconditionFailed
		}
		http.Error(w, err.Error(), code)
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"version": f.Response().(uint64)})
}

// redirect sends a write to the leader's admin door with 307, or answers 503 while no
// leader is known or this instance's store is unavailable. It tells whether it answered.
func (n *Node) redirectToLeader(w http.ResponseWriter, r *http.Request) bool {
	if n.rejectWithoutStore(w) {
		return true
	}
	if n.raft.State() == raft.Leader {
		return false
	}
	_, id := n.raft.LeaderWithID()
	p, ok := n.peers[id]
	if !ok {
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no leader known", http.StatusServiceUnavailable)
		return true
	}
	http.Redirect(w, r, "http://"+p.Admin+r.URL.RequestURI(), http.StatusTemporaryRedirect)
	return true
}

// Status is what GET /v1/status tells of an instance.
type Status struct {
	ID      string `json:"id"`
	State   string `json:"state"`   // Raft's: Leader, Follower, Candidate, Shutdown
	Leader  string `json:"leader"`  // id, or empty while none is known
	Version uint64 `json:"version"` // of the last change applied here
	Applied uint64 `json:"applied"` // Raft index applied here
	Usage   Usage  `json:"usage"`
}

// serveStatus answers this instance's Status; with ?consistent=true the leader's after a
// barrier, so that it has applied all that was committed before, and 503 anywhere else.
func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("consistent") == "true" {
		if err := n.raft.Barrier(readIndexTimeout).Error(); err != nil {
			http.Error(w, "not consistent: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, leader := n.raft.LeaderWithID()
	writeJSON(w, http.StatusOK, Status{ID: n.cfg.ID, State: n.raft.State().String(),
		Leader: string(leader), Version: n.state.currentVersion(), Applied: n.raft.AppliedIndex(), Usage: n.usage()})
}

// check names what makes an entry unfit for the list.
func validateEndpoint(t endpoint.Endpoint, id string) error {
	switch {
	case t.ID != id:
		return fmt.Errorf("id %q in the body is not %q of the path", t.ID, id)
	case t.Addr == "":
		return errors.New("addr: missing")
	case t.State != "up" && t.State != "draining":
		return fmt.Errorf("state %q: want up or draining", t.State)
	case !(t.Weight > 0) || math.IsInf(t.Weight, 0):
		return fmt.Errorf("weight %v: want a finite number above zero", t.Weight)
	case t.Cell < 0 || t.StartedMs < 0 || math.IsInf(t.StartedMs, 0):
		return errors.New("cell and started_ms: want zero or more")
	}
	return nil
}

func uintParam(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", s)
	}
	return v, nil
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	json.NewEncoder(w).Encode(v)
}
