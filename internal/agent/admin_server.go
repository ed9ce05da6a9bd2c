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
	adminReadTimeout = 800 * time.Millisecond
	// answerTime bounds how long an operator may take to read an answer, from the call's
	// head on.
	adminWriteTimeout = 2 * time.Second
	// maxCalls bounds the operators' connections, whatever the reserve has room for.
	maxAdminConns = 24
	// maxCallBody bounds the body of a call, which says nothing.
	maxAdminBody = 4 << 10
)

// management is the operators' door: one call to a connection, on a listener of its own. It
// reads and sets what the front shows in atomics and never waits for the loop, so that
// it answers whatever the load.
type adminServer struct {
	downstream *downstreamServer
	membership *membership.Fleet // nil: there is none
	log        *slog.Logger
	server     *http.Server

	mu           sync.Mutex
	awaitingHead []net.Conn // connections that have not brought a whole head, the oldest first
	openConns    int
	maxConns     int
}

func newAdminServer(f *downstreamServer, fl *membership.Fleet, most int) *adminServer {
	m := &adminServer{downstream: f, membership: fl, maxConns: most, log: slog.Default()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", m.readiness)
	mux.HandleFunc("PUT /ops/drain/start", m.afterBody(f.startDrain))
	mux.HandleFunc("PUT /ops/drain/stop", m.afterBody(f.stopDrain))
	if fl != nil {
		mux.HandleFunc("GET /ops/fleet", m.membershipStatus)
	}
	m.server = &http.Server{
		Handler:        mux,
		ReadTimeout:    adminReadTimeout,
		WriteTimeout:   adminWriteTimeout,
		MaxHeaderBytes: 8 << 10,
		ConnState:      m.track,
	}
	m.server.SetKeepAlivesEnabled(false)
	m.setLogger(m.log)
	return m
}

// limit bounds the operators' connections from now on.
func (m *adminServer) setLimit(most int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maxConns = most
}

// logTo sets where lines go; it is called before serve.
func (m *adminServer) setLogger(log *slog.Logger) {
	m.log, m.server.ErrorLog = log, slog.NewLogLogger(log.Handler(), slog.LevelWarn)
}

// serve answers operators until close.
func (m *adminServer) serve(ln net.Listener) error {
	ln = listener.New(ln, listener.LogFailures(m.log, "admin"))
	if err := m.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

func (m *adminServer) close() { m.server.Close() }

func (m *adminServer) readiness(w http.ResponseWriter, _ *http.Request) {
	if !m.downstream.serving.Load() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "serving")
}

// members answers with the fleet view, without its members if "members" is "none", and with
// its changes after the number that "since" gives, if it gives one.
func (m *adminServer) membershipStatus(w http.ResponseWriter, req *http.Request) {
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
	status := m.membership.Status(since)
	if req.FormValue("members") == "none" {
		status = status.Brief()
	}
	if err := json.NewEncoder(w).Encode(status); err != nil {
		m.log.Warn("membership status not sent", "to", req.RemoteAddr, "err", err)
	}
}

// whole makes a call that does something once it has come whole: one cut off does nothing.
func (m *adminServer) afterBody(do func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, maxAdminBody)); err != nil {
			http.Error(w, "the body can't be read", http.StatusBadRequest)
			return
		}
		m.log.Info("admin call", "path", req.URL.Path, "from", req.RemoteAddr)
		if err := do(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		fmt.Fprintln(w, "done")
	}
}

// track closes the connection that has been silent for longest when there are too many:
// callers that send nothing must not keep out those that do.
func (m *adminServer) track(nc net.Conn, state http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch state {
	case http.StateNew:
		m.openConns++
		m.awaitingHead = append(m.awaitingHead, nc)
	case http.StateClosed:
		m.openConns--
		m.headArrived(nc)
	default:
		m.headArrived(nc)
	}
	if m.openConns > m.maxConns && len(m.awaitingHead) > 1 {
		m.awaitingHead[0].Close() // the server's read then fails, and it reports the close
		m.awaitingHead = m.awaitingHead[1:]
	}
}

// speaks takes a connection off the silent ones.
func (m *adminServer) headArrived(nc net.Conn) {
	for i, c := range m.awaitingHead {
		if c == nc {
			m.awaitingHead = append(m.awaitingHead[:i:i], m.awaitingHead[i+1:]...)
			return
		}
	}
}
