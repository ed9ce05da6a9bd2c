// Package admin implements the operators' HTTP endpoint: readiness, drain and the membership view. Its server uses a
// goroutine for each call, which never waits for the event loop.
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
	// readTimeout is the time allowed for reading a call, whose response is due within a second.
	readTimeout = 800 * time.Millisecond
	// writeTimeout is the time allowed for writing the response, measured from the arrival of the call's head.
	writeTimeout = 2 * time.Second
	// maxBody is the maximum size of the body of a call, in bytes. The body is ignored.
	maxBody = 4 << 10
	// maxHead is the maximum size of the head of a call, in bytes.
	maxHead = 8 << 10
)

// Drainer is the part of the downstream server that operators control. Its methods never wait for the event loop.
type Drainer interface {
	// IsServing reports whether a server may be sent requests and the shutdown has not begun.
	IsServing() bool
	// StartDrain starts a drain, and StopDrain ends it so that clients are served again.
	StartDrain() error
	StopDrain() error
}

// Server is the operators' HTTP endpoint, with its own listener and one call per connection. It never waits for the
// event loop, so that it responds under any load.
type Server struct {
	drainer    Drainer
	membership *membership.Membership // nil if there is none
	log        *slog.Logger
	server     *http.Server

	mu           sync.Mutex
	awaitingHead []net.Conn // connections without a complete head so far, oldest first
	openConns    int
	maxConns     int
}

// Options are the parameters of New.
type Options struct {
	// Drainer is the downstream server.
	Drainer Drainer
	// Membership is the agent's membership view; nil if it keeps none.
	Membership *membership.Membership
	// MaxConns is the maximum number of admin connections.
	MaxConns int
	Log      *slog.Logger
}

// New returns a Server, which serves no calls before Serve.
func New(options Options) *Server {
	s := &Server{
		drainer:    options.Drainer,
		membership: options.Membership,
		log:        options.Log,
		maxConns:   options.MaxConns,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ops/readiness", s.readiness)
	mux.HandleFunc("PUT /ops/drain/start", s.afterBody(s.drainer.StartDrain))
	mux.HandleFunc("PUT /ops/drain/stop", s.afterBody(s.drainer.StopDrain))
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

// SetConnLimit changes the maximum number of admin connections.
func (s *Server) SetConnLimit(maxConns int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = maxConns
}

// Serve answers operators on ln until Close.
func (s *Server) Serve(ln net.Listener) error {
	ln = listener.New(ln, listener.LogFailures(s.log, "admin"))
	if err := s.server.Serve(limitedListener{ln}); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Close closes the listener and all connections. It ignores errors, because the sockets are given up anyway.
func (s *Server) Close() { _ = s.server.Close() }

// readiness reports whether the agent serves clients.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if !s.drainer.IsServing() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	writeLine(w, "serving")
}

// membershipStatus responds with the membership view. It omits the members if the parameter "members" is "none", and
// includes the changes after the number in the parameter "since", if present.
func (s *Server) membershipStatus(w http.ResponseWriter, req *http.Request) {
	since := uint64(math.MaxUint64)
	if text := req.FormValue("since"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			http.Error(w, "since: not a number", http.StatusBadRequest)
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

// afterBody returns a handler that performs an action once the whole body of the call has arrived, so that a truncated
// call has no effect.
func (s *Server) afterBody(action func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, req.Body, maxBody)); err != nil {
			http.Error(w, "request body can't be read", http.StatusBadRequest)
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

// writeLine writes a line to an operator. It ignores a failed write, because the operator has then disconnected.
func writeLine(w io.Writer, line string) { _, _ = fmt.Fprintln(w, line) }

// track is the ConnState hook of the HTTP server. If there are too many connections, it closes the one that has been
// without a complete head for longest, so that callers that send nothing do not keep out others.
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
		_ = s.awaitingHead[0].Close() // the HTTP server's read then fails, and it reports the close
		s.awaitingHead = s.awaitingHead[1:]
	}
}

// headArrived removes a connection from those that await a head. The caller holds s.mu.
func (s *Server) headArrived(conn net.Conn) {
	if i := slices.Index(s.awaitingHead, conn); i >= 0 {
		s.awaitingHead = slices.Delete(s.awaitingHead, i, i+1)
	}
}
