package listsvc

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"clayproxy.example/clayproxy/internal/targets"
)

const (
	// maxWait is the protocol's cap on a watch's wait.
	maxWait = 60 * time.Second
	// maxBody bounds a write's body, as the protocol bounds any body.
	maxBody = 64 << 10
	// applyWithin bounds how long a write waits for its commit.
	applyWithin = 5 * time.Second
)

func (n *Node) readMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", n.serveTargets)
	return mux
}

func (n *Node) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/servers/{id}", n.servePut)
	mux.HandleFunc("DELETE /v1/servers/{id}", n.serveRemove)
	mux.HandleFunc("GET /v1/status", n.serveStatus)
	return mux
}

// serveTargets answers GET /api/targets: the whole list without index, else the changes
// after index, waiting up to wait ms (60,000 at most) for one. A follower that has not
// heard from a leader within MaxStale answers 503.
func (n *Node) serveTargets(w http.ResponseWriter, r *http.Request) {
	if err := n.fresh(); err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	index, err := uintParam(q.Get("index"))
	wait, err2 := uintParam(q.Get("wait"))
	if err = errors.Join(err, err2); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	full := !q.Has("index")
	timer := time.NewTimer(time.Duration(min(wait, uint64(maxWait.Milliseconds()))) * time.Millisecond)
	defer timer.Stop()
	for {
		out, wake := n.list.since(index, full)
		if full || out.Full || out.Version > index || wait == 0 {
			writeJSON(w, http.StatusOK, out)
			return
		}
		select {
		case <-wake:
			wait = 0 // answer with what woke it, or with nothing if it was no change
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		case <-n.closed:
			return
		}
	}
}

// fresh tells whether this instance may serve reads: it leads, or heard from a leader
// within MaxStale.
func (n *Node) fresh() error {
	if n.raft.State() == raft.Leader {
		return nil
	}
	last := n.raft.LastContact()
	if last.IsZero() || time.Since(last) > n.cfg.MaxStale {
		return fmt.Errorf("listsvc %s: no leader heard within %v", n.cfg.ID, n.cfg.MaxStale)
	}
	return nil
}

// servePut sets a server's entry whole from a JSON body in the shape of targets.Target.
func (n *Node) servePut(w http.ResponseWriter, r *http.Request) {
	if n.redirect(w, r) {
		return
	}
	var t targets.Target
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&t); err != nil {
		http.Error(w, "body: "+err.Error(), http.StatusBadRequest)
		return
	}
	if t.ID == "" {
		t.ID = r.PathValue("id")
	}
	if err := check(t, r.PathValue("id")); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.apply(w, command{Op: "put", Server: t})
}

func (n *Node) serveRemove(w http.ResponseWriter, r *http.Request) {
	if !n.redirect(w, r) {
		n.apply(w, command{Op: "remove", Server: targets.Target{ID: r.PathValue("id")}})
	}
}

// apply commits a write and answers {"version": N} once a majority has it.
func (n *Node) apply(w http.ResponseWriter, c command) {
	data, _ := json.Marshal(c)
	f := n.raft.Apply(data, applyWithin)
	if err := f.Error(); err != nil {
		code := http.StatusInternalServerError
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) ||
			errors.Is(err, raft.ErrEnqueueTimeout) {
			code = http.StatusServiceUnavailable
		}
		n.log.Warn("write not committed", "op", c.Op, "id", c.Server.ID, "err", err)
		http.Error(w, "not committed: "+err.Error(), code)
		return
	}
	if err, ok := f.Response().(error); ok {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, http.StatusOK, map[string]uint64{"version": f.Response().(uint64)})
}

// redirect sends a write to the leader's admin door with 307, or answers 503 while no
// leader is known. It tells whether it answered.
func (n *Node) redirect(w http.ResponseWriter, r *http.Request) bool {
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

func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	_, leader := n.raft.LeaderWithID()
	writeJSON(w, http.StatusOK, Status{ID: n.cfg.ID, State: n.raft.State().String(),
		Leader: string(leader), Version: n.list.current(), Applied: n.raft.AppliedIndex(), Usage: n.usage()})
}

// check names what makes an entry unfit for the list.
func check(t targets.Target, id string) error {
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
