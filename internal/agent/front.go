package agent

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// linger is how long connections still come after SIGTERM or a drain's start: 0.4 s at
	// most, and what stands in the accept queue by then. Those that idle after it are closed.
	drainAcceptTime = 500 * time.Millisecond
	// takenFor is how long after SIGTERM requests are still taken: what comes later is lost
	// if the kill finds it unanswered, and can go to another process.
	shutdownAdmitTime = 600 * time.Millisecond
	// sweepIdle is how often idle connections are looked for while the front empties.
	drainSweepInterval = 50 * time.Millisecond
	// headTime bounds how long a request's head may take to come: clients may take 2 s, and
	// peers that bring none are owed an error or a close 3 s after connecting.
	requestHeadTimeout = 2600 * time.Millisecond
	// rejectTime bounds how long what follows on a rejected request is read, so that its
	// peer can read the answer.
	badRequestReadTime = 300 * time.Millisecond
	// queueLook is how often the accept queue is looked at while slots are lacking: the time
	// that a request has waited there is known that well.
	queuePollInterval = 25 * time.Millisecond
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

// errEnding answers operators who would have a process that ends take clients.
var errShuttingDown = errors.New("the process is ending")

// startDrain begins to empty the front: /-/ready says no, every answer closes its
// connection, and what idles is closed once no more connections come.
func (f *downstreamServer) startDrain() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelDrain != nil {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.cancelDrain = cancel
	f.draining.Store(true)
	f.notifyDrain(true)
	go f.conns.closeIdleUntil(ctx)
	return nil
}

// stopDrain takes clients again.
func (f *downstreamServer) stopDrain() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shuttingDown {
		return errShuttingDown
	}
	if f.cancelDrain != nil {
		f.cancelDrain()
		f.cancelDrain = nil
		f.draining.Store(false)
		f.notifyDrain(false)
	}
	return nil
}

// tellDrain tells who wants to know whether the front empties.
func (f *downstreamServer) notifyDrain(on bool) {
	if f.onDrain != nil {
		f.onDrain(on)
	}
}

// streamsFor is how long answers that are being passed on may take after the last request
// has its answer. The platform kills long before; it is for those that do not.
const shutdownStreamingTime = time.Minute

// shutdown ends service without losing a request: what is held has its answer within held,
// and what is being passed on then goes on, for streamsFor at the most. An accept queue that is
// closed resets what it holds, so while connections still come after the signal they are
// accepted. A queue that is shared is not closed with this process's listener: what it
// holds is for the other process, at once.
func (f *downstreamServer) shutdown(ln *clientListener, shared bool, held time.Duration) error {
	over := time.NewTimer(held)
	defer over.Stop()
	defer time.AfterFunc(shutdownAdmitTime, func() {
		f.rejectsAll.Store(true)
		f.loop.post(f.loop.cancelStreaming)
	}).Stop()
	f.mu.Lock()
	f.shuttingDown = true
	f.serving.Store(false)
	f.mu.Unlock()
	if err := f.startDrain(); err != nil {
		return err
	}
	if !shared {
		time.Sleep(drainAcceptTime)
		f.acceptQueued(ln, over)
	}
	ln.Close()
	f.accepting.Wait() // what was accepted last is counted by then
	defer f.server.Close()
	defer f.cancelDrain()
	end := func() {
		f.loop.post(f.loop.endAll)
		f.conns.closeAllIdle()
	}
	for _, then := range []func(){end, func() {}} {
		select {
		case <-f.conns.noneOpen():
			return nil
		case <-over.C:
			f.log.Warn("connections of clients still open", "count", f.conns.size(), "after", held)
			then()
			over.Reset(shutdownStreamingTime)
		}
	}
	return fmt.Errorf("%d connections of clients still open", f.conns.size())
}

// acceptQueued has the connections accepted that still wait, for a slot perhaps: closing the
// listener would reset them. When the time is over they are left, and over fires again.
func (f *downstreamServer) acceptQueued(ln *clientListener, over *time.Timer) {
	if !ln.finishQueue() {
		return
	}
	accepted := make(chan struct{})
	go func() {
		f.accepting.Wait()
		close(accepted)
	}()
	select {
	case <-accepted:
	case <-over.C:
		over.Reset(0)
	}
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

// read turns a client's request into a call, its body read as far as it is kept, or says
// what is wrong with it. What can't be used is never refused: a refusal would tell the
// client to send the same again. The call holds some of the budget.
func (f *downstreamServer) readRequest(w http.ResponseWriter, req *http.Request) (c *clientRequest, held int64, status int, err error) {
	h := req.Header
	bad := func(format string, args ...any) (*clientRequest, int64, int, error) {
		return nil, held, http.StatusBadRequest, fmt.Errorf(format, args...)
	}
	if !req.ProtoAtLeast(1, 1) {
		// Before 1.1 chunks don't count, and a body framed by them would be read as requests.
		return nil, 0, http.StatusHTTPVersionNotSupported, fmt.Errorf("%s is not spoken here", req.Proto)
	}
	if req.Method != http.MethodGet && req.Method != http.MethodPost {
		return nil, 0, http.StatusMethodNotAllowed, fmt.Errorf("method %s is not allowed", req.Method)
	}
	if req.ContentLength > maxRequestBody {
		return nil, 0, http.StatusRequestEntityTooLarge, fmt.Errorf("body over %d bytes", maxRequestBody)
	}
	c = &clientRequest{ctx: req.Context(), id: h.Get("Request-Id"), method: req.Method, host: req.Host, url: req.URL, header: h, response: make(chan finalResponse, 1)}
	client, known := req.Context().Value(connKey{}).(*clientConn)
	if known {
		c.clientGone = client.peerClosed
	}
	classes := f.classes.Load()
	if c.rules = classes.rules[h.Get("Request-Class")]; c.rules == nil {
		return bad("unknown Request-Class")
	}
	if c.id == "" {
		return bad("no Request-Id")
	}
	if c.rules.Idempotency == balancer.IdempotentByKey && h.Get("Idempotency-Key") == "" {
		return bad("no Idempotency-Key, which this class needs")
	}
	left, err := strconv.Atoi(h.Get("Request-Timeout-Ms"))
	if err != nil || left <= 0 || left > maxRequestTimeoutMs {
		return bad("Request-Timeout-Ms is no whole number from 1 to %d", maxRequestTimeoutMs)
	}
	c.timeout = time.Duration(left) * time.Millisecond
	c.retry = classes.marksRetry && h.Get("Client-Retry") == "1"
	if dir, last := path.Split(req.URL.EscapedPath()); len(dir) > 1 && last != "" {
		c.key = hashString(last)
	}
	if req.ContentLength != 0 {
		body := &clientBody{control: http.NewResponseController(w), from: http.MaxBytesReader(w, req.Body, maxRequestBody)}
		var whole bool
		if c.body, whole, held, err = f.bodyBudget.readBody(body, req.ContentLength); err != nil {
			return bad("body can't be read: %v", err)
		}
		if !whole {
			c.streamed = &streamedBody{clientBody: body, length: req.ContentLength}
			// It goes on coming while it is answered.
			if err := body.control.EnableFullDuplex(); err != nil {
				return bad("body can't be streamed: %v", err)
			}
		}
	}
	// A request's time counts from its last byte; of a long one it begins again with that.
	c.arrivedAt = time.Now()
	if known && !client.queuedAt.IsZero() {
		c.arrivedAt = client.queuedAt
	}
	c.deadline = c.arrivedAt.Add(c.timeout)
	return c, held, 0, nil
}

// write sends the final answer.
func (f *downstreamServer) writeResponse(w http.ResponseWriter, c *clientRequest, a finalResponse) {
	defer a.body.release()
	if c.streamed != nil && !c.streamed.complete() {
		// Answered at once, the client may yet be sending, and reads the answer only if
		// what it sends is read. Nothing behind it is a request.
		w.Header().Set("Connection", "close")
		defer func() {
			_ = http.NewResponseController(w).Flush()
			_, _ = io.Copy(io.Discard, c.streamed.clientBody)
		}()
	}
	if f.draining.Load() { // it may have begun since the request came
		w.Header().Set("Connection", "close")
	}
	switch {
	case a.kind == responseServed:
		for name, values := range endToEndHeaders(a.header) {
			w.Header()[name] = values
		}
		if a.body.length >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(a.body.length, 10))
		}
		w.WriteHeader(http.StatusOK)
		fromServer, toClient := a.body.copyTo(w)
		if fromServer != nil || toClient != nil {
			f.loop.post(func() { f.loop.responseAborted(c, fromServer, toClient) })
			// Only a connection that ends before the answer does tells that it is not whole.
			panic(http.ErrAbortHandler)
		}
		return
	case a.kind == responseRejected:
		if a.retryAfterMs > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.retryAfterMs/1000, 'f', 3, 64))
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case a.badRequest:
		w.WriteHeader(http.StatusBadRequest)
	case a.timedOut:
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		w.WriteHeader(http.StatusBadGateway)
	}
}

// connKey is the key of a request's *clientConn in its context.
type connKey struct{}

// clientConn is a client's connection that tells whether this agent has closed it, and ends
// between two requests without crossing one.
type clientConn struct {
	net.Conn
	release      func() // gives its slot back
	closed       atomic.Bool
	requestBegun atomic.Bool // bytes have come since it idled last
	// queuedAt is when its first request may have come, where that waited to be accepted.
	// It belongs to the goroutine that serves the connection.
	queuedAt time.Time

	mu           sync.Mutex
	closeIfIdle  bool      // to be closed if nothing has come: its reader is woken to look
	readDeadline time.Time // the reader's own deadline
	mayReadLate  bool      // one look at what has come is left once that is over
}

// leave has the connection closed by whoever reads it, unless a request has come.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestBegun.Load() {
		c.closeIfIdle = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline sets the reader's deadline; one that is woken keeps it for later.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	c.mayReadLate = t.After(time.Now())
	if c.closeIfIdle {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// woken tells whether the reader was woken to leave, and gives it its own deadline back:
// nothing can be looked at under one that is past.
func (c *clientConn) wokenToClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closeIfIdle {
		return false
	}
	c.closeIfIdle = false
	c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// Read is where a connection that is to leave ends, or whose time is over. Its reader looks
// once more at what has come, so that no request is crossed that was there before.
func (c *clientConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		expired := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if expired && c.wokenToClose() {
			if !c.requestBegun.Load() && isIdleConnAlive(c.Conn) {
				return 0, err
			}
			continue
		}
		if expired {
			n = c.readLate(p)
		}
		if n > 0 {
			c.requestBegun.Store(true)
			return n, nil
		}
		return n, err
	}
}

// lastLook reads what came before the deadline and was not read in time, as the process was
// held up. It does so once for each deadline: who goes on sending gains no time by it.
func (c *clientConn) readLate(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	sc, ok := c.Conn.(syscall.Conn)
	if !ok || !c.mayReadLate {
		return 0
	}
	c.mayReadLate = false
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := raw.Control(func(fd uintptr) { n = readNow(int(fd), p) }); err != nil { // unlike Read past the deadline
		return 0
	}
	return n
}

// gone tells whether the client has closed its side, also behind bytes that nobody has read:
// a server that has read ahead of a request, or leaves its body unread, does not notice.
func (c *clientConn) peerClosed() bool {
	return pollSocket(c.Conn, unix.POLLRDHUP, peerClosedEvents)
}

func (c *clientConn) Close() error {
	err := c.Conn.Close()
	if !c.closed.Swap(true) {
		c.release()
	}
	return err
}

// clientListener accepts as many connections as there are slots: clients beyond them wait
// in the accept queue, not as descriptors.
type clientListener struct {
	net.Listener
	slots     quota
	open      context.Context
	stop      context.CancelFunc
	finishing atomic.Bool // Accept ends once no connection waits
	// queuedAt is since when connections have waited to be accepted, where slots were
	// lacking: those that wait now came after it. Zero: none has waited. It is Accept's.
	queuedAt time.Time
}

func newClientListener(ln net.Listener, slots quota) *clientListener {
	open, stop := context.WithCancel(context.Background())
	return &clientListener{Listener: ln, slots: slots, open: open, stop: stop}
}

// noClients is a listener to which nobody comes.
type unusedListener struct {
	closed context.Context
	close  context.CancelFunc
}

func newUnusedListener() unusedListener {
	closed, stop := context.WithCancel(context.Background())
	return unusedListener{closed, stop}
}

func (l unusedListener) Accept() (net.Conn, error) {
	<-l.closed.Done()
	return nil, net.ErrClosed
}

func (l unusedListener) Close() error {
	l.close()
	return nil
}

func (l unusedListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *clientListener) Accept() (net.Conn, error) {
	if l.finishing.Load() && !l.queued() {
		return nil, net.ErrClosed
	}
	if !l.slots.TryAcquire(1) {
		if err := l.awaitSlot(); err != nil {
			return nil, net.ErrClosed
		}
	}
	nc, err := l.Listener.Accept()
	if err != nil {
		l.slots.Release(1)
		return nil, err
	}
	c := &clientConn{Conn: nc, release: func() { l.slots.Release(1) }}
	if !l.queuedAt.IsZero() {
		l.setQueuedAt(c)
	}
	return c, nil
}

// awaitSlot waits for a slot, and notes since when connections wait for it too.
func (l *clientListener) awaitSlot() error {
	for {
		looked := time.Now()
		if l.queuedAt.IsZero() && l.queued() {
			l.queuedAt = looked.Add(-queuePollInterval)
		}
		ctx, cancel := context.WithTimeout(l.open, queuePollInterval)
		err := l.slots.Acquire(ctx, 1)
		cancel()
		if err == nil || l.open.Err() != nil {
			return err
		}
	}
}

// noteQueued tells a connection since when it may have waited with a request on it.
func (l *clientListener) setQueuedAt(c *clientConn) {
	if !isIdleConnAlive(c.Conn) { // its bytes were there before it was accepted
		c.queuedAt = l.queuedAt
	}
	if !l.queued() {
		l.queuedAt = time.Time{}
	}
}

// finish has Accept end once it has taken the connections that wait, and tells whether any do.
func (l *clientListener) finishQueue() bool {
	l.finishing.Store(true)
	return l.queued()
}

// queued tells whether connections wait to be accepted.
func (l *clientListener) queued() bool {
	return pollSocket(l.Listener, unix.POLLIN, unix.POLLIN)
}

func (l *clientListener) Close() error {
	l.stop()
	return l.Listener.Close()
}

// clientConns ends the client connections that have idled longest when there
// are nearly as many as may be: clients keep connections for good, and those that
// wait for a descriptor would wait as long.
//
// It looks both when a connection comes and when one falls idle. At the limit none
// comes any more, and if all fell idle only then nobody would ever make room. One
// that is being ended no longer counts and is not chosen again, unless a request
// proves to have come on it: then another makes room.
type clientConns struct {
	slots     quota
	mu        sync.Mutex
	maxConns  int
	open      map[net.Conn]bool // true: being ended
	closing   int
	order     list.List // idle connections, the longest idle first
	idle      map[net.Conn]*list.Element
	allClosed chan struct{} // if anyone waits for it: closed once none is open
}

func newClientConns(most int) *clientConns {
	return &clientConns{maxConns: most, slots: newQuota(int64(most)), open: map[net.Conn]bool{}, idle: map[net.Conn]*list.Element{}}
}

func (c *clientConns) track(nc net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeIdle(nc)
	switch state {
	case http.StateNew:
		c.open[nc] = false
	case http.StateActive:
		if cc, ok := nc.(*clientConn); ok {
			cc.requestBegun.Store(true) // also where its bytes were read with those of the last
		}
		if c.open[nc] {
			c.open[nc] = false
			c.closing--
		}
	case http.StateIdle:
		if cc, ok := nc.(*clientConn); ok {
			cc.requestBegun.Store(false)
			cc.queuedAt = time.Time{}
		}
		if !c.open[nc] {
			c.idle[nc] = c.order.PushBack(nc)
		}
	case http.StateClosed, http.StateHijacked:
		if c.open[nc] {
			c.closing--
		}
		delete(c.open, nc)
		if len(c.open) == 0 && c.allClosed != nil {
			close(c.allClosed)
			c.allClosed = nil
		}
	}
	c.closeLongestIdle()
}

// limit bounds the connections from now on; the slots bound what is accepted.
func (c *clientConns) setLimit(most int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxConns = most
	c.closeLongestIdle()
}

// makeRoom ends those that have idled longest while there are nearly too many. The lock is held.
func (c *clientConns) closeLongestIdle() {
	for len(c.open)-c.closing > c.maxConns*7/8 && c.order.Len() > 0 {
		oldest := c.order.Front().Value.(net.Conn)
		c.removeIdle(oldest)
		c.open[oldest] = true
		c.closing++
		if cc, ok := oldest.(*clientConn); ok {
			cc.closeWhenIdle() // the server's read then fails, and it reports the close
		}
	}
}

// busy takes a connection off the idle ones.
func (c *clientConns) removeIdle(nc net.Conn) {
	if e := c.idle[nc]; e != nil {
		c.order.Remove(e)
		delete(c.idle, nc)
	}
}

// empty closes idle connections until ctx ends: not at once, as connections still come
// and clients still choose among those they have.
func (c *clientConns) closeIdleUntil(ctx context.Context) {
	sweep := time.NewTimer(drainAcceptTime)
	defer sweep.Stop()
	for {
		select {
		case <-sweep.C:
		case <-ctx.Done():
			return
		}
		c.mu.Lock()
		for nc := range c.idle {
			if cc, ok := nc.(*clientConn); ok {
				cc.closeWhenIdle()
			}
		}
		c.mu.Unlock()
		sweep.Reset(drainSweepInterval)
	}
}

// leaveSilent ends all connections on which no request has begun, also those that never
// brought one.
func (c *clientConns) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.open {
		if cc, ok := nc.(*clientConn); ok {
			cc.closeWhenIdle()
		}
	}
}

// none returns a channel that is closed once no connection is open.
func (c *clientConns) noneOpen() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.allClosed == nil {
		c.allClosed = make(chan struct{})
		if len(c.open) == 0 {
			left := c.allClosed
			c.allClosed = nil
			close(left)
			return left
		}
	}
	return c.allClosed
}

func (c *clientConns) size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}
