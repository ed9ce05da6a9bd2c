// Package downstream serves the clients: it accepts their connections, reads requests, hands them to a Dispatcher and
// writes the final responses, and it drains the connections at a shutdown. Each connection has a goroutine of
// net/http's. The package decides nothing about where a request goes.
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
	// requestHeadTimeout bounds how long a request's head may take to arrive: clients may take 2 s, and peers
	// that send none must get an error or a close 3 s after connecting.
	requestHeadTimeout = 2600 * time.Millisecond
	// maxRequestTimeoutMs bounds the timeout that a client may give, in ms.
	maxRequestTimeoutMs = 60_000
	// writeTimeout bounds the write of a response, from the request's head on.
	writeTimeout = maxRequestTimeoutMs*time.Millisecond + 10*time.Second
	// keepAliveTimeout is how long a client's connection may be idle.
	keepAliveTimeout = 2 * time.Minute
	// maxRequestHead is the largest head of a request.
	maxRequestHead = 16 << 10
	// readyPath is the path by which the platform asks whether clients are to connect.
	readyPath = "/-/ready"
)

// Dispatcher takes the requests of clients and gives each its one final response. It also counts and logs what
// happens to clients. Its methods may be called from any goroutine.
type Dispatcher interface {
	// Dispatch takes a request over; its response comes on the request's channel.
	Dispatch(request *message.Request)
	// Abandon ends a request whose client no longer waits for the response.
	Abandon(request *message.Request)
	// CancelStreaming cancels the attempts whose streamed body is still on its way to a server.
	CancelStreaming()
	// EndAll gives every open request its final response.
	EndAll()
	// AcceptFailed counts and logs an accept that failed temporarily.
	AcceptFailed(err error)
	// InvalidRequest counts and logs what came in that is not a request of the protocol.
	InvalidRequest(id, from string, invalid *message.RequestError)
	// ResponseAborted counts and logs a response that was begun and not passed on completely.
	ResponseAborted(request *message.Request, fromServer, toClient error)
}

// Server serves the clients.
type Server struct {
	dispatcher Dispatcher
	server     *http.Server
	listener   *clientListener
	shared     bool // other processes accept from the listener's queue too
	log        *slog.Logger
	classes    atomic.Pointer[requestClasses]
	bodies     message.Quota // of bytes of buffered request bodies
	conns      *clientConns

	// acceptsClients means that clients should connect: a server may be sent requests, or one was waited for.
	acceptsClients atomic.Bool
	// serving means that a server may be sent requests, and that the shutdown has not begun.
	serving atomic.Bool

	mu           sync.Mutex
	draining     atomic.Bool        // clients are to go elsewhere; set under mu
	cancelDrain  context.CancelFunc // ends the draining; nil: there is none
	shuttingDown bool               // the draining is for good
	onDrain      func(bool)         // called when draining begins and ends
	rejectsAll   atomic.Bool        // requests that are still arriving are rejected

	accepting sync.WaitGroup // Serve, until it accepts no more
}

// requestClasses has the rules of each class by its name, and what else the settings say of requests. It is
// never changed, but replaced.
type requestClasses struct {
	rules        map[string]*balancer.RequestRules
	marksRetry   bool // clients mark their retries
	retryAfterMs float64
}

// Options are what a Server is made of besides the agent's configuration.
type Options struct {
	// Listener is where clients connect. The server owns it from New on.
	Listener net.Listener
	// Shared means that other processes accept from the listener's queue too.
	Shared bool
	// Dispatcher takes the requests.
	Dispatcher Dispatcher
	// OnDrain is called when draining begins and ends.
	OnDrain func(draining bool)
}

// New makes the server of an agent's clients. A request's context ends with its client, or with ctx.
func New(ctx context.Context, cfg *config.Config, options Options) *Server {
	s := &Server{
		dispatcher: options.Dispatcher,
		shared:     options.Shared,
		log:        cfg.Logger(),
		bodies:     message.NewBodyBudget(cfg.MemoryBytes()),
		conns:      newClientConns(cfg.ClientConns()),
		onDrain:    options.OnDrain,
	}
	s.ApplySettings(cfg)
	onFailure := func(err error, _ uint64) { s.dispatcher.AcceptFailed(err) }
	accepting := listener.New(options.Listener, onFailure)
	s.listener = newClientListener(accepting, s.conns.slots)
	s.server = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: requestHeadTimeout,
		WriteTimeout:      writeTimeout,
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

// ApplySettings puts the settings in force for requests that arrive from now on.
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

// Start accepts clients in a goroutine of its own until the listener is closed, and sends how that ended on ended,
// whose receiver may come late.
func (s *Server) Start(ended chan<- error) {
	s.accepting.Add(1) // before a shutdown can wait for it
	go func() { ended <- s.serve() }()
}

// serve accepts clients until the listener is closed.
func (s *Server) serve() error {
	defer s.accepting.Done()
	err := s.server.Serve(s.listener)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shuttingDown || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("downstream: %w", err)
}

// Close closes the listener and all connections at once. Errors of closing sockets that are given up say nothing
// of use.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.server.Close()
}

// ConnSlots bounds the accepted connections.
func (s *Server) ConnSlots() message.Quota { return s.conns.slots }

// BodyBudget bounds the bytes of buffered request bodies.
func (s *Server) BodyBudget() message.Quota { return s.bodies }

// SetConnLimit bounds the client connections from now on.
func (s *Server) SetConnLimit(maxConns int) { s.conns.setLimit(maxConns) }

// ConnLimit is the bound on the client connections.
func (s *Server) ConnLimit() int { return s.conns.limit() }

// OpenConns is the number of client connections.
func (s *Server) OpenConns() int { return s.conns.size() }

// AcceptClients has the readiness path say yes before a server is known.
func (s *Server) AcceptClients() { s.acceptsClients.Store(true) }

// IsServing reports whether a server may be sent requests, and the shutdown has not begun.
func (s *Server) IsServing() bool { return s.serving.Load() }

// SetServing is called once a server may be sent requests.
func (s *Server) SetServing() {
	s.acceptsClients.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving.Store(!s.shuttingDown)
}

// ServeHTTP answers one request of a client, or of the platform for readiness.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	abortOnClosedConn(req)
	control := http.NewResponseController(w)
	if req.ContentLength != 0 {
		// A body that is not wanted is read too: to its end, or for that long.
		_ = control.SetReadDeadline(time.Now().Add(message.BodyGracePeriod)) // every client's connection has deadlines
	}
	// The server reads a chunked body by its chunks and drops a length that was given with it. By that length
	// what follows would still be body and must not be read as a request, so nothing more is read.
	if len(req.TransferEncoding) > 0 || s.draining.Load() {
		closeAfterResponse(w)
	}
	if req.URL.Path == readyPath {
		s.writeReadiness(w)
		return
	}
	s.serveRequest(w, req, control)
}

// abortOnClosedConn ends a request whose connection was just closed as idle. Its client can't get a response and sends
// the request again on another connection: forwarded as well, this copy would run beside that one.
func abortOnClosedConn(req *http.Request) {
	if conn, ok := req.Context().Value(connKey{}).(*clientConn); ok && conn.closed.Load() {
		panic(http.ErrAbortHandler)
	}
}

// serveRequest answers a request that is not for readiness.
func (s *Server) serveRequest(w http.ResponseWriter, req *http.Request, control *http.ResponseController) {
	request, invalid := s.readRequest(w, req)
	defer s.bodies.Release(request.reserved)
	if invalid != nil {
		s.writeInvalid(w, req, control, invalid)
		return
	}
	if s.rejectsAll.Load() {
		rejection := message.Response{Kind: message.Rejected, RetryAfterMs: s.classes.Load().retryAfterMs}
		s.writeResponse(w, request.Request, rejection)
		return
	}
	s.dispatch(w, request.Request)
}

// dispatch gives a request to the dispatcher and writes the final response.
func (s *Server) dispatch(w http.ResponseWriter, request *message.Request) {
	s.dispatcher.Dispatch(request)
	select {
	case response := <-request.Response:
		s.writeResponse(w, request, response)
	case <-request.Context.Done():
		s.dispatcher.Abandon(request)
		// The client may have ended only its sending, and still read. With nothing written here the server
		// would write an empty 200.
		s.writeResponse(w, request, message.Response{Kind: message.Failed})
	}
}

// writeReadiness answers the platform. The answer is not one to a request of the protocol, so no rejection.
func (s *Server) writeReadiness(w http.ResponseWriter) {
	if s.acceptsClients.Load() && !s.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, "takes no clients", http.StatusServiceUnavailable)
}

// writeInvalid answers what is not a request of the protocol, and has its connection closed: what follows it
// may not be a request either.
func (s *Server) writeInvalid(
	w http.ResponseWriter, req *http.Request, control *http.ResponseController, invalid *message.RequestError,
) {
	_ = control.SetReadDeadline(time.Now().Add(message.LingerTimeout)) // as in ServeHTTP
	s.dispatcher.InvalidRequest(req.Header.Get("Request-Id"), req.RemoteAddr, invalid)
	closeAfterResponse(w)
	http.Error(w, invalid.Error(), invalid.Status)
}
