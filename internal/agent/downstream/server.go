// Package downstream serves the clients: it accepts their connections, reads requests, hands them to a Dispatcher and
// writes the final responses. At a shutdown it drains the connections. Each connection is served by a goroutine of
// net/http. The package makes no decision about where a request is sent.
package downstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/agent/config"
	"fernbeam.example/fernbeam/internal/agent/message"
	"fernbeam.example/fernbeam/internal/balancer"
	"fernbeam.example/fernbeam/internal/listener"
)

const (
	// requestHeadTimeout is the time allowed for reading the head of a request. Clients may take 2 s, and a peer that
	// sends nothing must get an error or a close within 3 s of connecting.
	requestHeadTimeout = 2600 * time.Millisecond
	// maxRequestTimeoutMs is the longest request timeout that a client may set, in milliseconds.
	maxRequestTimeoutMs = 60_000
	// keepAliveTimeout is how long a client connection may stay idle.
	keepAliveTimeout = 2 * time.Minute
	// readyPath is the path on which the platform checks whether clients should connect.
	readyPath = "/-/ready"
)

// Dispatcher handles the requests of clients and gives each one final response. It also counts and logs failures on the
// side of the clients. Its methods are safe for concurrent use.
type Dispatcher interface {
	// Dispatch takes over a request. The response is sent on the channel request.Response.
	Dispatch(request *message.Request)
	// Abandon ends a request whose client has stopped waiting for the response.
	Abandon(request *message.Request)
	// CancelStreaming cancels the attempts of requests whose streamed body is still being sent to a server.
	CancelStreaming()
	// EndAll gives every open request its final response.
	EndAll()
	// AcceptFailed counts and logs a temporary failure of accept.
	AcceptFailed(err error)
	// InvalidRequest counts and logs a message from a client that is not a valid request.
	InvalidRequest(id, from string, invalid *message.RequestError)
	// ResponseAborted counts and logs a response that was started but not written to the client completely.
	ResponseAborted(request *message.Request, serverErr, clientErr error)
}

// Server accepts client connections and serves their requests.
type Server struct {
	dispatcher Dispatcher
	server     *http.Server
	listener   *clientListener
	shared     bool // other processes also accept from the listener's queue
	log        *slog.Logger
	classes    atomic.Pointer[requestClasses]
	bodies     message.Quota // bytes of buffered request bodies
	admission  *admission
	conns      *clientConns

	// acceptsClients is set once clients should connect: a server has become available, or the wait for one has ended.
	acceptsClients atomic.Bool
	// serving is set while a server may be sent requests and the shutdown has not begun.
	serving atomic.Bool

	mu           sync.Mutex
	draining     atomic.Bool        // clients should connect elsewhere; set under mu
	cancelDrain  context.CancelFunc // ends the drain; nil if not draining
	shuttingDown bool               // the drain can no longer be stopped
	onDrain      func(bool)         // called when a drain starts and ends
	rejectingNew atomic.Bool        // requests still arriving are rejected

	accepting sync.WaitGroup // done once serve accepts no more connections
}

// requestClasses has the request rules of each class, by class name, and the other settings that apply to requests. It
// is immutable; a change of settings replaces it.
type requestClasses struct {
	rules        map[string]*balancer.RequestRules
	marksRetry   bool // clients mark their retries
	retryAfterMs float64
}

// Options are the parameters of New other than the configuration of the agent.
type Options struct {
	// Listener accepts the client connections. New takes ownership of it.
	Listener net.Listener
	// Shared means that other processes also accept from the listener's queue.
	Shared bool
	// Dispatcher handles the requests.
	Dispatcher Dispatcher
	// Streams is the quota of connections to servers on which a body is streamed.
	Streams message.Quota
	// OnDrain is called when a drain starts and ends.
	OnDrain func(draining bool)
}

// New returns a Server for the clients of an agent. The context of a request is canceled when its client disconnects or
// ctx is done.
func New(ctx context.Context, cfg *config.Config, options Options) *Server {
	s := &Server{
		dispatcher: options.Dispatcher,
		shared:     options.Shared,
		log:        cfg.Logger(),
		bodies:     message.NewQuota(cfg.Memory().RequestBodies),
		conns:      newClientConns(cfg.MaxClientConns()),
		onDrain:    options.OnDrain,
	}
	s.ApplySettings(cfg)
	retryAfterMs := func() float64 { return s.classes.Load().retryAfterMs }
	s.admission = newAdmission(cfg.Memory(), options.Streams, retryAfterMs)
	onFailure := func(err error, _ uint64) { s.dispatcher.AcceptFailed(err) }
	accepting := listener.New(options.Listener, onFailure)
	s.listener = newClientListener(accepting, s.conns.slots)
	s.listener.refuse = s.admission.refuseQueued
	s.listener.makeRoom = s.conns.closeSilent
	// There is no WriteTimeout: it would count from a request's head, and a body may take longer than any timeout. Each
	// write has its own deadline (clientConn.Write).
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: requestHeadTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxRequestHead,
		ConnState:         s.conns.track,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelWarn),
	}
	return s
}

// ApplySettings applies the settings to requests that arrive from now on.
func (s *Server) ApplySettings(cfg *config.Config) {
	classes := &requestClasses{
		rules:        map[string]*balancer.RequestRules{},
		marksRetry:   cfg.Settings.Clients.MarksRetry,
		retryAfterMs: cfg.Settings.Limits.MaxRetryAfterMs,
	}
	for _, class := range cfg.Settings.Classes {
		classes.rules[class.Name] = &balancer.RequestRules{Class: class, MaxAttempts: cfg.Settings.Limits.MaxAttempts}
	}
	s.classes.Store(classes)
}

// Start accepts clients in a new goroutine until the listener is closed. The goroutine then sends the result of serving
// on the channel ended. Start itself does not wait for a receiver.
func (s *Server) Start(ended chan<- error) {
	s.accepting.Add(1) // before a shutdown can wait for accepting
	go func() { ended <- s.serve() }()
}

// serve accepts clients until the listener is closed.
func (s *Server) serve() error {
	defer s.accepting.Done()
	err := s.server.Serve(framingListener{clientListener: s.listener, admission: s.admission})
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("downstream: %w", err)
}

// Close closes the listener and all connections immediately. It ignores errors, because the sockets are given up
// anyway.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.server.Close()
}

// ConnSlots returns the quota of accepted connections.
func (s *Server) ConnSlots() message.Quota { return s.conns.slots }

// BodyBudget returns the quota of bytes of buffered request bodies.
func (s *Server) BodyBudget() message.Quota { return s.bodies }

// RequestBudgets returns the quotas of the bytes of requests in progress and of streamed request bodies.
func (s *Server) RequestBudgets() []message.Quota {
	a := s.admission
	return []message.Quota{a.requests, a.large, a.unproven, a.uploads}
}

// Refusals returns the counts of requests that were refused before they reached the dispatcher.
func (s *Server) Refusals() *Refusals { return &s.admission.refusals }

// SetConnLimit changes the limit on client connections.
func (s *Server) SetConnLimit(maxConns int) { s.conns.setLimit(maxConns) }

// ConnLimit returns the limit on client connections.
func (s *Server) ConnLimit() int { return s.conns.limit() }

// OpenConns returns the number of open client connections.
func (s *Server) OpenConns() int { return s.conns.size() }

// AcceptClients makes the readiness check succeed although no server is known yet.
func (s *Server) AcceptClients() { s.acceptsClients.Store(true) }

// IsServing reports whether a server may be sent requests and the shutdown has not begun.
func (s *Server) IsServing() bool { return s.serving.Load() }

// SetServing records that a server may be sent requests.
func (s *Server) SetServing() {
	s.acceptsClients.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving.Store(!s.shuttingDown)
}

// ServeHTTP answers a client's request or the platform's readiness check.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	abortOnClosedConn(req)
	control := http.NewResponseController(w)
	if req.ContentLength != 0 {
		// An unwanted body is also read, to its end or until this deadline.
		_ = control.SetReadDeadline(time.Now().Add(message.BodyGracePeriod)) // client connections support deadlines
	}
	// The HTTP server decodes a chunked body and ignores a Content-Length given along with it. By that length, the bytes
	// after the chunks could still belong to the body. They must not be read as a request, so the connection is closed.
	if len(req.TransferEncoding) > 0 || s.draining.Load() || isLastRequest(req) {
		closeAfterResponse(w)
	}
	if req.URL.Path == readyPath {
		s.writeReadiness(w)
		return
	}
	s.serveRequest(w, req, control)
}

// abortOnClosedConn aborts a request whose connection has just been closed as idle. The client gets no response and
// sends the request again on another connection; if this copy were forwarded as well, both would execute.
func abortOnClosedConn(req *http.Request) {
	if conn := connOf(req); conn != nil && conn.closed.Load() {
		panic(http.ErrAbortHandler)
	}
}

// connOf returns the connection of a request, or nil if it is not a client connection.
func connOf(req *http.Request) *framedConn { return clientConnOf(req.Context()) }

// clientConnOf is like connOf, for the context of a request.
func clientConnOf(ctx context.Context) *framedConn {
	conn, _ := ctx.Value(connKey{}).(*framedConn)
	return conn
}

// isLastRequest reports whether the end of a request is not known to its connection, so that no other may follow it.
func isLastRequest(req *http.Request) bool {
	conn := connOf(req)
	return conn != nil && conn.opaque
}

// serveRequest answers a request that is not a readiness check.
func (s *Server) serveRequest(w http.ResponseWriter, req *http.Request, control *http.ResponseController) {
	request, invalid := s.readRequest(w, req)
	defer s.bodies.Release(request.reserved)
	if invalid != nil {
		s.writeInvalid(w, req, control, invalid)
		return
	}
	if s.rejectingNew.Load() || request.refused {
		rejection := message.Response{
			Kind:         message.Rejected,
			RetryAfterMs: s.classes.Load().retryAfterMs,
			NoMemory:     request.refused,
		}
		s.writeResponse(w, request.Request, rejection)
		return
	}
	s.dispatch(w, request.Request)
}

// dispatch hands a request to the dispatcher and writes the final response.
func (s *Server) dispatch(w http.ResponseWriter, request *message.Request) {
	s.dispatcher.Dispatch(request)
	select {
	case response := <-request.Response:
		s.writeResponse(w, request, response)
	case <-request.Context.Done():
		s.dispatcher.Abandon(request)
		// The client may have closed only its sending side and still read. If nothing were written, net/http would send an
		// empty 200 response.
		s.writeResponse(w, request, message.Response{Kind: message.Failed})
	}
}

// writeReadiness answers the platform's readiness check. A negative answer is not a rejection, because the check is not
// a request of the protocol.
func (s *Server) writeReadiness(w http.ResponseWriter) {
	if s.acceptsClients.Load() && !s.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, "takes no clients", http.StatusServiceUnavailable)
}

// writeInvalid answers an invalid request and closes its connection, because what follows may not be a valid request
// either.
func (s *Server) writeInvalid(
	w http.ResponseWriter, req *http.Request, control *http.ResponseController, invalid *message.RequestError,
) {
	_ = control.SetReadDeadline(time.Now().Add(message.LingerTimeout)) // as in ServeHTTP
	s.dispatcher.InvalidRequest(req.Header.Get("Request-Id"), req.RemoteAddr, invalid)
	closeAfterResponse(w)
	http.Error(w, invalid.Error(), invalid.Status)
}
