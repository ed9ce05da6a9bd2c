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

// downstreamServer serves the clients.
type downstreamServer struct {
	loop       *eventLoop
	server     *http.Server
	log        *slog.Logger
	classes    atomic.Pointer[requestClasses]
	bodyBudget quota // of bytes of buffered request bodies
	conns      *clientConns

	// acceptsClients tells that clients should connect: a server may be sent requests, or one was waited for.
	acceptsClients atomic.Bool
	// serving tells that a server may be sent requests, and that the shutdown has not begun.
	serving atomic.Bool

	mu           sync.Mutex
	draining     atomic.Bool        // clients are to go elsewhere; set under mu
	cancelDrain  context.CancelFunc // ends the draining; nil: there is none
	shuttingDown bool               // the draining is for good
	onDrain      func(bool)         // called when draining begins and ends; may be nil
	rejectsAll   atomic.Bool        // requests that are still arriving are rejected

	accepting sync.WaitGroup // serve, until it accepts no more
}

func newDownstreamServer(cfg *Config) *downstreamServer {
	f := &downstreamServer{bodyBudget: newBodyBudget(cfg), log: cfg.logger()}
	f.applySettings(cfg)
	f.conns = newClientConns(cfg.clientConns())
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: requestHeadTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       keepAliveTimeout,
		MaxHeaderBytes:    maxRequestHead,
		ConnState:         f.conns.track,
		// A request's context ends with its client, or with the loop.
		BaseContext: func(net.Listener) context.Context { return f.loop.ctx },
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
func (f *downstreamServer) serve(ln net.Listener) error {
	f.accepting.Add(1)
	defer f.accepting.Done()
	err := f.server.Serve(ln)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shuttingDown || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("downstream: %w", err)
}

// acceptFailed counts and logs an accept that failed temporarily.
func (f *downstreamServer) acceptFailed(err error, _ uint64) {
	f.loop.post(func() {
		f.loop.metrics.acceptFailures++
		f.loop.log(slog.LevelWarn, "accept failed", "err", err)
	})
}

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
	defer f.bodyBudget.Release(reserved)
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

// forward gives a request to the event loop and writes the final response.
func (f *downstreamServer) forward(w http.ResponseWriter, c *clientRequest) {
	started := make(chan *request, 1)
	f.loop.post(func() { started <- f.loop.startRequest(c) })
	select {
	case response := <-c.response:
		f.writeResponse(w, c, response)
	case <-c.ctx.Done():
		f.loop.post(func() { f.loop.discardResponse(<-started) })
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
	id := req.Header.Get("Request-Id")
	from := req.RemoteAddr
	f.loop.post(func() { f.loop.invalidRequest(id, from, invalid.status, invalid) })
	closeAfterResponse(w)
	http.Error(w, invalid.Error(), invalid.status)
}
