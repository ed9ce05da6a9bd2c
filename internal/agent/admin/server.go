// Package admin is the operators' HTTP endpoint: readiness, drain and the membership view. Its server runs a goroutine
// for each call, which never waits for the event loop.
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"fernbeam.example/fernbeam/internal/listener"
	"fernbeam.example/fernbeam/internal/membership"
)

const (
	// readTimeout bounds how long a call may take to arrive: its response is due within a second.
	readTimeout = 800 * time.Millisecond
	// writeTimeout bounds how long the response may take to be read, from the call's head on.
	writeTimeout = 2 * time.Second
	// maxBody bounds the body of a call, which is ignored, in bytes.
	maxBody = 4 << 10
	// maxHead is the largest head of a call, in bytes.
	maxHead = 8 << 10
)

// Drainer is the part of the downstream server that operators control. Its methods never wait for the event loop.
type Drainer interface {
	// IsServing reports whether a server may be sent requests, and the shutdown has not begun.
	IsServing() bool
	// StartDrain begins to drain, and StopDrain serves clients again.
	StartDrain() error
	StopDrain() error
}

// Server is the operators' HTTP endpoint: one call to a connection, on a listener of its own. It never waits
// for the event loop, so that it responds whatever the load.
type Server struct {
	clients    Drainer
	membership *membership.Membership // nil: there is none
	log        *slog.Logger
	server     *http.Server

	mu           sync.Mutex
	awaitingHead []net.Conn // connections that have not sent a complete head, the oldest first
	openConns    int
	maxConns     int
}

// Options are what a Server is made of.
type Options struct {
	// Clients is the server of the agent's clients.
	Clients Drainer
	// Membership is the agent's membership view; nil: it keeps none.
	Membership *membership.Membership
	// MaxConns bounds the admin connections.
	MaxConns int
	Log      *slog.Logger
}

// New makes the endpoint.
func New(options Options) *Server {
	s := &Server{
		clients:    options.Clients,
		membership: options.Membership,
		log:        options.Log,
		maxConns:   options.MaxConns,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", s.readiness)
	mux.HandleFunc("PUT /ops/drain/start", s.afterBody(s.clients.StartDrain))
	mux.HandleFunc("PUT /ops/drain/stop", s.afterBody(s.clients.StopDrain))
	if s.membership != nil {
		mux.HandleFunc("GET /ops/fleet", s.membershipStatus)
	}
	s.server = &http.Server{
		Handler:        mux,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHead,
		ConnState:      s.track,
		ErrorLog:       slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// SetConnLimit bounds the admin connections from now on.
func (s *Server) SetConnLimit(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = maxConns
}

// Serve answers operators until Close.
func (s *Server) Serve(ln net.Listener) error {
	ln = listener.New(ln, listener.LogFailures(s.log, "admin"))
	if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close closes the listener and all connections; their errors say nothing of use.
func (s *Server) Close() { _ = s.server.Close() }

// readiness responds whether the agent serves clients.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if !s.clients.IsServing() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	writeLine(w, "serving")
}

// membershipStatus responds with the membership view: without its members if "members" is "none", and with its
// changes after the number that "since" gives, if it gives one.
func (s *Server) membershipStatus(w http.ResponseWriter, req *http.Request) {
	since := uint64(math.MaxUint64)
	if text := req.FormValue("since"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "since: no number", http.StatusBadRequest)
			return
		}
		since = number
	}
	w.Header().Set("Content-Type", "application/json")
	status := s.membership.Status(since)
	if req.FormValue("members") == "none" {
		status = status.WithoutMembers()
	}
	if err := json.NewEncoder(w).Encode(status); err != nil {
		s.log.Warn("membership status not sent", "to", req.RemoteAddr, "err", err)
	}
}

// afterBody handles a call by an action once all of its body has arrived: a call that is cut off does nothing.
func (s *Server) afterBody(action func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, maxBody)); err != nil {
			http.Error(w, "the body can't be read", http.StatusBadRequest)
			return
		}
		s.log.Info("admin call", "path", req.URL.Path, "from", req.RemoteAddr)
		if err := action(); err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		writeLine(w, "done")
	}
}

// writeLine writes a line to an operator. A failed write means that the operator has gone.
func writeLine(w io.Writer, line string) { _, _ = fmt.Fprintln(w, line) }

// track closes the connection that has sent no complete head for longest when there are too many connections:
// callers that send nothing must not keep out those that do.
func (s *Server) track(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.openConns++
		s.awaitingHead = append(s.awaitingHead, conn)
	case http.StateClosed:
		s.openConns--
		s.headArrived(conn)
	default:
		s.headArrived(conn)
	}
	if s.openConns > s.maxConns && len(s.awaitingHead) > 1 {
		_ = s.awaitingHead[0].Close() // the server's read then fails, and it reports the close
		s.awaitingHead = s.awaitingHead[1:]
	}
}

// headArrived takes a connection out of those that await a head. The caller has the lock.
func (s *Server) headArrived(conn net.Conn) {
	if i := slices.Index(s.awaitingHead, conn); i >= 0 {
		s.awaitingHead = slices.Delete(s.awaitingHead, i, i+1)
	}
}
