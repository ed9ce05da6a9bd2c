package agent

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/listener"
	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// callTime bounds how long a call of an operator's may take to come: its answer is
	// due within a second.
	callTime = 800 * time.Millisecond
	// answerTime bounds how long an operator may take to read an answer, from the call's
	// head on.
	answerTime = 2 * time.Second
	// maxCalls bounds the operators' connections, whatever the reserve has room for.
	maxCalls = 24
	// maxCallBody bounds the body of a call, which says nothing.
	maxCallBody = 4 << 10
)

// management is the operators' door: one call to a connection, on a listener of its own. It
// reads and sets what the front shows in atomics and never waits for the loop, so that
// it answers whatever the load.
type management struct {
	front  *front
	fleet  *membership.Membership // nil: there is none
	log    *slog.Logger
	server *http.Server

	mu     sync.Mutex
	silent []net.Conn // connections that have not brought a whole head, the oldest first
	open   int
	most   int
}

// limit bounds the operators' connections from now on.
func (m *management) limit(most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.most = most
}

func newManagement(f *front, fl *membership.Membership, most int) *management {
	m := &management{front: f, fleet: fl, most: most, log: slog.Default()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", m.readiness)
	mux.HandleFunc("PUT /ops/drain/start", m.whole(f.startDrain))
	mux.HandleFunc("PUT /ops/drain/stop", m.whole(f.stopDrain))
	if fl != nil {
		mux.HandleFunc("GET /ops/fleet", m.members)
	}
	m.server = &http.Server{
		Handler:        mux,
		ReadTimeout:    callTime,
		WriteTimeout:   answerTime,
		MaxHeaderBytes: 8 << 10,
		ConnState:      m.track,
	}
	m.server.SetKeepAlivesEnabled(false)
	m.logTo(m.log)
	return m
}

// logTo sets where lines go; it is called before serve.
func (m *management) logTo(log *slog.Logger) {
	m.log, m.server.ErrorLog = log, slog.NewLogLogger(log.Handler(), slog.LevelWarn)
}

// serve answers operators until close.
func (m *management) serve(ln net.Listener) error {
	ln = listener.New(ln, listener.LogFailures(m.log, "management"))
	if err := m.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

func (m *management) close() { m.server.Close() }

func (m *management) readiness(w http.ResponseWriter, _ *http.Request) {
	if !m.front.serving.Load() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "serving")
}

// members answers with the fleet view, without its members if "members" is "none", and with
// its changes after the number that "since" gives, if it gives one.
func (m *management) members(w http.ResponseWriter, req *http.Request) {
	since := uint64(math.MaxUint64)
	if s := req.FormValue("since"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			http.Error(w, "since: no number", http.StatusBadRequest)
			return
		}
		since = n
	}
	w.Header().Set("Content-Type", "application/json")
	status := m.fleet.Status(since)
	if req.FormValue("members") == "none" {
		status = status.WithoutMembers()
	}
	if err := json.NewEncoder(w).Encode(status); err != nil {
		m.log.Warn("fleet view not told", "to", req.RemoteAddr, "err", err)
	}
}

// whole makes a call that does something once it has come whole: one cut off does nothing.
func (m *management) whole(do func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, maxCallBody)); err != nil {
			http.Error(w, "the body can't be read", http.StatusBadRequest)
			return
		}
		m.log.Info("operators' call", "path", req.URL.Path, "from", req.RemoteAddr)
		if err := do(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, "done")
	}
}

// track closes the connection that has been silent for longest when there are too many:
// callers that send nothing must not keep out those that do.
func (m *management) track(nc net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.open++
		m.silent = append(m.silent, nc)
	case http.StateClosed:
		m.open--
		m.speaks(nc)
	default:
		m.speaks(nc)
	}
	if m.open > m.most && len(m.silent) > 1 {
		m.silent[0].Close() // the server's read then fails, and it reports the close
		m.silent = m.silent[1:]
	}
}

// speaks takes a connection off the silent ones.
func (m *management) speaks(nc net.Conn) {
	for i, c := range m.silent {
		if c == nc {
			m.silent = append(m.silent[:i:i], m.silent[i+1:]...)
			return
		}
	}
}
