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
	// headTime bounds how long a request's head may take to come: clients may take 2 s, and
	// peers that bring none are owed an error or a close 3 s after connecting.
	requestHeadTimeout = 2600 * time.Millisecond
	// maxTimeout bounds the time that a client may give.
	maxRequestTimeoutMs = 60_000
)

// front serves the clients.
type downstreamServer struct {
	loop       *eventLoop
	server     *http.Server
	log        *slog.Logger
	classes    atomic.Pointer[requestClasses]
	bodyBudget quota // of requests' bodies
	conns      *clientConns

	acceptsClients atomic.Bool // clients are to come: a backend may be sent to, or was waited for
	serving        atomic.Bool // a backend may be sent to, clients are accepted, and the end has not begun

	mu           sync.Mutex
	draining     atomic.Bool        // clients are sent away; set under mu
	cancelDrain  context.CancelFunc // ends the emptying
	shuttingDown bool               // the front empties for good
	onDrain      func(bool)         // told when emptying begins and ends; nil: nobody
	rejectsAll   atomic.Bool        // nor are requests taken that are still coming

	accepting sync.WaitGroup // serve, until it accepts no more
}

func newDownstreamServer(cfg *Config) *downstreamServer {
	f := &downstreamServer{bodyBudget: newBodyBudget(cfg), log: cfg.logger()}
	f.applySettings(cfg)
	f.conns = newClientConns(cfg.clientConns())
	f.server = &http.Server{
		Handler:           f,
		ReadHeaderTimeout: requestHeadTimeout,
		WriteTimeout:      maxRequestTimeoutMs*time.Millisecond + 10*time.Second, // counts from the request's head
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
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

// classTable has the rules of each class by its name, and what else settings say of requests.
// It is never changed, but replaced.
type requestClasses struct {
	rules        map[string]*balancer.RequestRules
	marksRetry   bool
	retryAfterMs float64
}

// retune puts the settings in force for requests that come from now on.
func (f *downstreamServer) applySettings(cfg *Config) {
	t := &requestClasses{rules: map[string]*balancer.RequestRules{}, marksRetry: cfg.Settings.Clients.MarksRetry,
		retryAfterMs: cfg.Settings.Limits.MaxRetryAfterMs}
	for _, c := range cfg.Settings.Classes {
		t.rules[c.Name] = &balancer.RequestRules{Class: c, MaxAttempts: cfg.Settings.Limits.MaxAttempts}
	}
	f.classes.Store(t)
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
	return fmt.Errorf("front: %w", err)
}

// acceptFailed counts and logs an accept that failed for a moment.
func (f *downstreamServer) acceptFailed(err error, _ uint64) {
	f.loop.post(func() {
		f.loop.metrics.acceptFailures++
		f.loop.log(slog.LevelWarn, "accept failed", "err", err)
	})
}

// ready tells the front once a backend may be sent to.
func (f *downstreamServer) setServing() {
	f.acceptsClients.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serving.Store(!f.shuttingDown)
}

func (f *downstreamServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	// A connection that is being closed as idle may just have brought a request. Its
	// client can't have an answer and sends the request once more on another
	// connection: passed on as well, this copy would run beside that one.
	if c, ok := req.Context().Value(connKey{}).(*clientConn); ok && c.closed.Load() {
		panic(http.ErrAbortHandler)
	}
	control := http.NewResponseController(w)
	if req.ContentLength != 0 {
		// Also a body that no one wants is read to its end, or for that long.
		_ = control.SetReadDeadline(time.Now().Add(bodyGracePeriod))
	}
	// The server reads a chunked body by its chunks and drops a length that was given
	// with it. By that length what follows would be body still: it must not be read as
	// a request, so nothing more is read.
	if len(req.TransferEncoding) > 0 || f.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if req.URL.Path == "/-/ready" {
		if f.acceptsClients.Load() && !f.draining.Load() {
			w.WriteHeader(http.StatusOK)
		} else {
			// Not a request of the protocol's, so no refusal either.
			http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		}
		return
	}
	c, held, status, err := f.readRequest(w, req)
	defer f.bodyBudget.Release(held)
	if err != nil {
		_ = control.SetReadDeadline(time.Now().Add(badRequestReadTime))
		id, from := req.Header.Get("Request-Id"), req.RemoteAddr
		f.loop.post(func() { f.loop.invalidRequest(id, from, status, err) })
		// Who sends what is no request has no claim on what comes behind it.
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), status)
		return
	}
	if f.rejectsAll.Load() {
		f.writeResponse(w, c, finalResponse{kind: responseRejected, retryAfterMs: f.classes.Load().retryAfterMs})
		return
	}
	took := make(chan *request, 1)
	f.loop.post(func() { took <- f.loop.startRequest(c) })
	select {
	case a := <-c.response:
		f.writeResponse(w, c, a)
	case <-req.Context().Done():
		f.loop.post(func() { f.loop.discardResponse(<-took) })
		// The client may have ended only its sending, and still read. With nothing
		// written here the server would write an empty 200.
		f.writeResponse(w, c, finalResponse{kind: responseFailed})
	}
}
