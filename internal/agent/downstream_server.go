package agent

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

// dispatcher takes the requests of clients and gives each its one final response. It also counts and logs what
// happens to clients. Its methods may be called from any goroutine.
type dispatcher interface {
	// dispatch takes a request over; its response comes on the request's channel.
	dispatch(c *clientRequest)
	// abandon ends a request whose client no longer waits for the response.
	abandon(c *clientRequest)
	// cancelStreaming cancels the attempts whose streamed body is still on its way to a server.
	cancelStreaming()
	// endAll gives every open request its final response.
	endAll()
	// acceptFailed counts and logs an accept that failed temporarily.
	acceptFailed(err error)
	// invalidRequest counts and logs what came in that is not a request of the protocol.
	invalidRequest(id, from string, invalid *requestError)
	// responseAborted counts and logs a response that was begun and not passed on completely.
	responseAborted(c *clientRequest, fromServer, toClient error)
}

// downstreamServer serves the clients.
type downstreamServer struct {
	dispatcher dispatcher
	server     *http.Server
	listener   *clientListener
	shared     bool // other processes accept from the listener's queue too
	log        *slog.Logger
	classes    atomic.Pointer[requestClasses]
	bodies     quota // of bytes of buffered request bodies
	conns      *clientConns

	// acceptsClients tells that clients should connect: a server may be sent requests, or one was waited for.
	acceptsClients atomic.Bool
	// serving tells that a server may be sent requests, and that the shutdown has not begun.
	serving atomic.Bool

	mu           sync.Mutex
	draining     atomic.Bool        // clients are to go elsewhere; set under mu
	cancelDrain  context.CancelFunc // ends the draining; nil: there is none
	shuttingDown bool               // the draining is for good
	onDrain      func(bool)         // called when draining begins and ends
	rejectsAll   atomic.Bool        // requests that are still arriving are rejected

	accepting sync.WaitGroup // serve, until it accepts no more
}

// newDownstreamServer makes the server of the clients that connect to ln, which is the server's from now on.
// Shared tells that other processes accept from its queue too. A request's context ends with its client, or with
// ctx. onDrain is called when draining begins and ends.
func newDownstreamServer(
	ctx context.Context, cfg *Config, ln net.Listener, shared bool, requests dispatcher, onDrain func(bool),
) *downstreamServer {
	f := &downstreamServer{
		dispatcher: requests,
		shared:     shared,
		log:        cfg.logger(),
		bodies:     newBodyBudget(cfg.MemoryMB),
		conns:      newClientConns(cfg.clientConns()),
		onDrain:    onDrain,
	}
	f.applySettings(cfg)
	accepting := listener.New(ln, func(err error, _ uint64) { requests.acceptFailed(err) })
	f.listener = newClientListener(accepting, f.conns.slots)
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: requestHeadTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxRequestHead,
		ConnState:         f.conns.track,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ErrorLog: slog.NewLogLogger(f.log.Handler(), slog.LevelWarn),
	}
	return f
}

// requestClasses has the rules of each class by its name, and what else the settings say of requests. It is
// never changed, but replaced.
type requestClasses struct {
	rules        map[string]*balancer.RequestRules
	marksRetry   bool // clients mark their retries
	retryAfterMs float64
}

// applySettings puts the settings in force for requests that arrive from now on.
func (f *downstreamServer) applySettings(cfg *Config) {
	classes := &requestClasses{
		rules:        map[string]*balancer.RequestRules{},
		marksRetry:   cfg.Settings.Clients.MarksRetry,
		retryAfterMs: cfg.Settings.Limits.MaxRetryAfterMs,
	}
	for _, class := range cfg.Settings.Classes {
		classes.rules[class.Name] = &balancer.RequestRules{Class: class, MaxAttempts: cfg.Settings.Limits.MaxAttempts}
	}
	f.classes.Store(classes)
}

// serve accepts clients until the listener is closed.
func (f *downstreamServer) serve() error {
	f.accepting.Add(1)
	defer f.accepting.Done()
	err := f.server.Serve(f.listener)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shuttingDown || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("downstream: %w", err)
}

// close closes the listener and all connections at once. Errors of closing sockets that are given up say nothing
// of use.
func (f *downstreamServer) close() {
	_ = f.listener.Close()
	_ = f.server.Close()
}

// connSlots bounds the accepted connections.
func (f *downstreamServer) connSlots() quota { return f.conns.slots }

// bodyBudget bounds the bytes of buffered request bodies.
func (f *downstreamServer) bodyBudget() quota { return f.bodies }

// setConnLimit bounds the client connections from now on.
func (f *downstreamServer) setConnLimit(maxConns int) { f.conns.setLimit(maxConns) }

// connLimit is the bound on the client connections.
func (f *downstreamServer) connLimit() int { return f.conns.limit() }

// openConns is the number of client connections.
func (f *downstreamServer) openConns() int { return f.conns.size() }

// acceptClients has the readiness path say yes before a server is known.
func (f *downstreamServer) acceptClients() { f.acceptsClients.Store(true) }

// isServing tells whether a server may be sent requests, and the shutdown has not begun.
func (f *downstreamServer) isServing() bool { return f.serving.Load() }

// setServing is called once a server may be sent requests.
func (f *downstreamServer) setServing() {
	f.acceptsClients.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serving.Store(!f.shuttingDown)
}

// ServeHTTP answers one request of a client, or of the platform for readiness.
func (f *downstreamServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	// A connection that is being closed as idle may just have brought a request. Its client can't get a
	// response and sends the request again on another connection: forwarded as well, this copy would run beside
	// that one.
	if conn, ok := req.Context().Value(connKey{}).(*clientConn); ok && conn.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	control := http.NewResponseController(w)
	if req.ContentLength != 0 {
		// A body that is not wanted is read too: to its end, or for that long.
		_ = control.SetReadDeadline(time.Now().Add(bodyGracePeriod)) // without deadlines it is not a client's
	}
	// The server reads a chunked body by its chunks and drops a length that was given with it. By that length
	// what follows would still be body and must not be read as a request, so nothing more is read.
	if len(req.TransferEncoding) > 0 || f.draining.Load() {
		closeAfterResponse(w)
	}
	if req.URL.Path == readyPath {
		f.writeReadiness(w)
		return
	}
	c, reserved, invalid := f.readRequest(w, req)
	defer f.bodies.Release(reserved)
	if invalid != nil {
		f.writeInvalid(w, req, control, invalid)
		return
	}
	if f.rejectsAll.Load() {
		f.writeResponse(w, c, finalResponse{kind: responseRejected, retryAfterMs: f.classes.Load().retryAfterMs})
		return
	}
	f.forward(w, c)
}

// forward gives a request to the dispatcher and writes the final response.
func (f *downstreamServer) forward(w http.ResponseWriter, c *clientRequest) {
	f.dispatcher.dispatch(c)
	select {
	case response := <-c.response:
		f.writeResponse(w, c, response)
	case <-c.ctx.Done():
		f.dispatcher.abandon(c)
		// The client may have ended only its sending, and still read. With nothing written here the server
		// would write an empty 200.
		f.writeResponse(w, c, finalResponse{kind: responseFailed})
	}
}

// writeReadiness answers the platform. The answer is not one to a request of the protocol, so no rejection.
func (f *downstreamServer) writeReadiness(w http.ResponseWriter) {
	if f.acceptsClients.Load() && !f.draining.Load() {
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, "takes no clients", http.StatusServiceUnavailable)
}

// writeInvalid answers what is not a request of the protocol, and has its connection closed: what follows it
// may not be a request either.
func (f *downstreamServer) writeInvalid(
	w http.ResponseWriter, req *http.Request, control *http.ResponseController, invalid *requestError,
) {
	_ = control.SetReadDeadline(time.Now().Add(badRequestReadTime)) // without deadlines it is not a client's
	f.dispatcher.invalidRequest(req.Header.Get("Request-Id"), req.RemoteAddr, invalid)
	closeAfterResponse(w)
	http.Error(w, invalid.Error(), invalid.status)
}
