package agent

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

const (
	// maxHead is the largest head of an answer.
	maxResponseHead = 16 << 10
	// settleTime is how long a connection rests before it carries another message. A backend may
	// bring a second answer some milliseconds late; one that comes later than this would be
	// taken for the next message's.
	settleTime = 20 * time.Millisecond
)

// backend is one listed server. Its fields belong to the loop, but for closed.
type upstreamServer struct {
	id          string
	policyAddr  balancer.Addr // what the module calls it
	addr        string        // where it listens, as told to this agent last
	removed     bool
	inFlight    int         // attempts out
	unavailable atomic.Bool // told to drain or gone: read by attempts just before they write
}

// result is how one attempt ended.
type attemptResult struct {
	status         balancer.Status
	reason         string // what ended a failed attempt, for the log
	connectionLost bool   // the connection broke before any answer
	latencyMs      float64
	header         http.Header
	body           *responseBody
	clientErr      error // what the client broke off in the middle of its body
}

// pool makes attempts and keeps idle connections. http.Transport is not used on
// purpose: it sends again by itself on a broken kept connection, and does not
// tell whether the last byte was written, on which hangs whether an attempt may
// have run.
type connectionPool struct {
	maxConns int
	budget   quota
	dial     dialFunc // nil: dialTCP

	mu             sync.Mutex
	connectTimeout time.Duration
	keepalive      time.Duration // idle connections older than this are not used again

	idle            map[string][]*serverConn // by address, the most recently used last
	closed          bool                     // nothing is kept any more
	openConns       int
	connectAttempts int // connects since the start
	idleTimes       idleTimeModel
}

type serverConn struct {
	net.Conn
	reader    *bufio.Reader
	addr      string
	createdAt time.Time
	idleSince time.Time     // idle since
	uses      int           // requests carried
	idledFor  time.Duration // before the one it carries now
}

// story tells what broke a connection, and whether it was a kept one.
func (c *serverConn) describeFailure(err error) string {
	return fmt.Sprintf("%v on request %d of a connection of %d ms that had idled %d ms", err, c.uses,
		time.Since(c.createdAt).Milliseconds(), c.idledFor.Milliseconds())
}

var (
	errClientGone   = errors.New("client left")
	errNoDescriptor = errors.New("no descriptor left for a connection")
)

func newConnectionPool(c *Config) *connectionPool {
	p := &connectionPool{maxConns: c.serverConns(), budget: newBodyBudget(c), idle: map[string][]*serverConn{}}
	p.applySettings(c)
	return p
}

// limit bounds the connections from now on.
func (p *connectionPool) setLimit(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.maxConns = most; p.openConns > p.maxConns && p.evict(); {
	}
}

// retune puts the settings in force for connections from now on.
func (p *connectionPool) applySettings(c *Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectTimeout = milliseconds(c.Settings.Limits.ConnectTimeoutMs)
	// The backend closes at keepalive at the latest; half of it is well before.
	p.keepalive = milliseconds(c.Settings.Limits.KeepaliveMs / 2)
	if p.connectTimeout <= 0 {
		p.connectTimeout = time.Second
	}
	if p.keepalive <= 0 {
		p.keepalive = time.Second
	}
}

// message is what goes to a backend.
type upstreamMessage struct {
	// request is made for the time that is left.
	newRequest func(left time.Duration) *http.Request
	// sendBy is when a repeat's time is over: nothing is begun later. Zero: it is none.
	sendBy time.Time
	// gone tells whether who sent it has left; nil: it can't be told.
	clientGone func() bool
	// long is the part of its body that is not kept; nil: there is none.
	streamed *streamedBody
	// within is the time that the answer to a long one has from its last byte on.
	responseTime time.Duration
	// written is told when the last byte of a long one is written.
	onSent func()
}

// do makes one attempt and returns how it ended, exactly once. It never sends
// anything twice. Cancelling ctx withdraws the attempt and closes its connection.
func (p *connectionPool) attempt(ctx context.Context, b *upstreamServer, addr string, m *upstreamMessage, sent, deadline time.Time) attemptResult {
	whole := m.streamed == nil
	if written := m.onSent; m.streamed != nil {
		m.onSent = func() {
			sent, whole = time.Now(), true
			written()
		}
	}
	r := p.exchange(ctx, b, addr, m, deadline)
	// A withdrawn attempt says nothing of its backend, also where the withdrawal cut
	// off a connect; an answer that was already there stands.
	if ctx.Err() != nil && r.status != balancer.StatusOK && r.status != balancer.StatusOverloaded {
		if r.status = balancer.StatusCancelled; !whole && !m.streamed.complete() && r.clientErr == nil {
			r.status = balancer.StatusUnsent // its last byte was never sent
		}
	}
	r.latencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

// probe asks a backend whether it is healthy, over the connections that attempts use.
// It is given up after twice the time that a connect may take: a backend that lets a
// cheap answer wait for so long is not validated.
func (p *connectionPool) healthCheck(ctx context.Context, b *upstreamServer, addr, host string) attemptResult {
	m := &upstreamMessage{newRequest: func(time.Duration) *http.Request {
		return &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/-/healthy"}, Host: host,
			Header: http.Header{"User-Agent": {""}}}
	}}
	sent := time.Now()
	r := p.exchange(ctx, b, addr, m, sent.Add(2*p.connectTimeLimit()))
	r.body.release() // only its status counts
	r.latencyMs = float64(time.Since(sent).Microseconds()) / 1000
	return r
}

// exchange writes one message and reads its answer. A kept connection that turns out
// broken before the last byte is written has brought nothing to the backend and says
// nothing of it: the message goes out on the next one, and on a new one at the last.
func (p *connectionPool) exchange(ctx context.Context, b *upstreamServer, addr string, m *upstreamMessage, deadline time.Time) attemptResult {
	for {
		cn, err := p.acquire(ctx, addr, deadline)
		if err != nil { // not a byte was sent
			return connectFailureResult(err)
		}
		kept := cn.uses > 0
		r, unsent := p.exchangeOn(ctx, cn, b, m, deadline)
		if kept {
			p.recordIdleUse(cn.idledFor, unsent || r.connectionLost)
		}
		if !unsent || !kept || ctx.Err() != nil || !time.Now().Before(deadline) || m.streamed.isConsumed() {
			return r
		}
	}
}

// over makes the exchange on one connection; unsent tells that the connection broke
// before the last byte was written.
func (p *connectionPool) exchangeOn(ctx context.Context, cn *serverConn, b *upstreamServer, m *upstreamMessage, deadline time.Time) (r attemptResult, unsent bool) {
	reusable := false
	// Withdrawing makes whatever reads or writes end at once.
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	cn.uses++
	defer func() {
		withdrawn := !stop()
		switch {
		case r.body != nil && r.body.stream != nil && !withdrawn:
			// The connection is the stream's until that ends.
			r.body.stream.extendDeadline(true)
		case r.body != nil && r.body.stream != nil:
			r.body.release()
			r = attemptResult{status: balancer.StatusCancelled}
		case reusable && !withdrawn:
			p.release(cn, b)
		default:
			// If the withdrawal has begun its deadline would hit the next user.
			p.discard(cn)
		}
	}()
	cn.SetDeadline(deadline)
	if ctx.Err() != nil {
		return attemptResult{status: balancer.StatusConnectFailed}, false
	}
	if r, reusable = m.unsendable(b); reusable {
		return r, false
	}
	req := m.newRequest(time.Until(deadline))
	if m.streamed != nil {
		return p.exchangeStreamed(ctx, cn, b, m, req, &reusable)
	}
	var out bytes.Buffer
	if err := req.Write(&out); err != nil {
		return attemptResult{status: balancer.StatusConnectFailed, reason: err.Error()}, false
	}
	if n, err := cn.Write(out.Bytes()); err != nil {
		if n < out.Len() {
			// The last byte never left, and the connection is closed: it cannot run.
			return attemptResult{status: writeFailureStatus(err), reason: cn.describeFailure(err)}, true
		}
		return attemptResult{status: brokenStatus(err), reason: cn.describeFailure(err)}, false
	}
	resp, err := readResponseHead(cn.reader, req.Method)
	r, reusable = p.readResponse(cn, b, resp, err)
	return r, false
}

// barred tells whether the message must not be begun at b any more, and how its attempt ends. The
// connect may have taken long: the drain grace runs from the telling, backends drop repeats for a
// time only, and the client may have left meanwhile.
func (m *upstreamMessage) unsendable(b *upstreamServer) (r attemptResult, yes bool) {
	switch {
	case b.unavailable.Load():
		return attemptResult{status: balancer.StatusConnectFailed, reason: "drains or gone"}, true
	case !m.sendBy.IsZero() && time.Now().After(m.sendBy):
		return attemptResult{status: balancer.StatusUnsent, reason: "the time for repeats is over"}, true
	case m.clientGone != nil && m.clientGone():
		return attemptResult{status: balancer.StatusUnsent, reason: errClientGone.Error(), clientErr: errClientGone}, true
	}
	return attemptResult{}, false
}

// long makes the exchange of a long message: it is written as it comes from the client, and
// an answer that is there before its end ends it.
func (p *connectionPool) exchangeStreamed(ctx context.Context, cn *serverConn, b *upstreamServer, m *upstreamMessage, req *http.Request, reusable *bool) (r attemptResult, unsent bool) {
	type head struct {
		resp *http.Response
		err  error
	}
	// Until all is written the backend has no time to keep, but for each piece.
	cn.SetReadDeadline(time.Time{})
	heads, written := make(chan head, 1), make(chan error, 1)
	go func() {
		resp, err := readResponseHead(cn.reader, req.Method)
		heads <- head{resp, err}
	}()
	go func() {
		w := bufio.NewWriterSize(serverWriter{ctx, cn, m.streamed, m.responseTime}, chunkSize)
		err := req.Write(w)
		if err == nil {
			err = w.Flush()
		}
		written <- err
	}()
	var h head
	var err error
	select {
	case err = <-written:
		switch client := m.streamed.failure(); {
		case err == nil:
			m.onSent()
			cn.SetReadDeadline(m.streamed.respondBy(m.responseTime))
		case client != nil:
			cn.SetReadDeadline(time.Unix(1, 0))
			<-heads
			return attemptResult{status: balancer.StatusCancelled, reason: "client: " + client.Error(), clientErr: client}, false
		default: // an answer may be there, or on its way behind what was not read
			cn.SetReadDeadline(time.Now().Add(earlyResponseWait))
		}
		if ctx.Err() != nil { // the deadlines just set may have undone the withdrawal's
			cn.SetReadDeadline(time.Unix(1, 0))
		}
		h = <-heads
	case h = <-heads:
		err = errEarlyResponse
		select {
		case err = <-written: // only the news of it was later
		case <-time.After(earlyResponseWait):
		}
		if err == nil {
			m.onSent()
		} else {
			// Who writes may yet wait for the client. What that brings is gone.
			m.streamed.consumed.Store(true)
			cn.SetWriteDeadline(time.Unix(1, 0))
		}
	}
	if errors.Is(err, errEarlyResponse) && h.resp == nil && bodyMayHaveLeft(cn, m.streamed) {
		status := brokenStatus(h.err)
		return attemptResult{status: status, reason: cn.describeFailure(h.err), connectionLost: status == balancer.StatusReset}, false
	}
	if err != nil && h.resp == nil {
		// The last byte never left, and the connection is closed: it cannot run.
		err = cmp.Or(h.err, err)
		return attemptResult{status: writeFailureStatus(err), reason: cn.describeFailure(err)}, true
	}
	if r, *reusable = p.readResponse(cn, b, h.resp, h.err); err != nil && r.body != nil {
		r.body.release()
		return attemptResult{status: balancer.StatusError, reason: err.Error()}, false
	}
	*reusable = *reusable && err == nil
	return r, false
}

// mayHaveLeft closes a connection whose writer has not told how far it came, as it may be held up, and returns
// whether the last byte of the request may have been written: only if the body was read to its end by then.
func bodyMayHaveLeft(cn *serverConn, body *streamedBody) bool {
	_ = cn.Close() // whoever writes from now on fails; the pool counts the connection when it closes it
	return body.complete()
}

// earlyAnswer is how long the answer of a backend is waited for that takes no more of a
// long request, and the news that all is written once its answer is there.
const earlyResponseWait = 50 * time.Millisecond

var errEarlyResponse = errors.New("answered before the end of the request")

// read reads the answer behind its head, and tells whether the connection may carry another
// message. An answer that is long or takes long comes back with its rest as a stream.
func (p *connectionPool) readResponse(cn *serverConn, b *upstreamServer, resp *http.Response, err error) (r attemptResult, reusable bool) {
	if resp == nil {
		s := brokenStatus(err)
		return attemptResult{status: s, reason: cn.describeFailure(err), connectionLost: s == balancer.StatusReset}, false
	}
	if r.status = responseStatus(resp); r.status != balancer.StatusOK {
		r.reason = resp.Status
		// What it says is no one's, but it has to have come whole.
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBody))
		if err != nil {
			r.status, r.reason = brokenStatus(err), cn.describeFailure(err)
		}
		return r, err == nil && n < maxBufferedBody && !resp.Close && cn.reader.Buffered() == 0
	}
	r.header = resp.Header
	body := &responseBody{length: resp.ContentLength, budget: p.budget}
	if resp.ContentLength >= 0 && resp.ContentLength <= maxBufferedBody && p.budget.TryAcquire(resp.ContentLength) {
		body.reserved, body.buffered = resp.ContentLength, make([]byte, resp.ContentLength)
		if _, err := io.ReadFull(resp.Body, body.buffered); err != nil {
			body.release()
			return attemptResult{status: brokenStatus(err), reason: cn.describeFailure(err)}, false
		}
		r.body = body
		return r, !resp.Close && cn.reader.Buffered() == 0
	}
	body.stream = newStream(cn, resp.Body)
	body.stream.close = func(whole bool) {
		if whole && !resp.Close && cn.reader.Buffered() == 0 {
			p.release(cn, b)
		} else {
			p.discard(cn)
		}
	}
	r.body = body
	if resp.ContentLength < 0 && p.budget.TryAcquire(maxBufferedBody) {
		body.reserved = maxBufferedBody
		var whole bool
		if body.buffered, whole, err = body.stream.buffer(maxBufferedBody, bufferingTime); err != nil {
			body.stream.detach()
			body.stream = nil
			body.release()
			return attemptResult{status: brokenStatus(err), reason: cn.describeFailure(err)}, false
		}
		if whole {
			body.length, body.stream = int64(len(body.buffered)), nil
			return r, !resp.Close && cn.reader.Buffered() == 0
		}
	}
	return r, false
}

// broken maps what ended an attempt whose last byte was written: it may have run. The kernel's
// ETIMEDOUT, whose Timeout method returns true as well, says that the connection broke.
func brokenStatus(err error) balancer.Status {
	var op *net.OpError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balancer.StatusTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &op):
		return balancer.StatusReset
	}
	return balancer.StatusError // an answer that can't be read
}

// outcome maps a whole answer. Only the backend's own word proves that a request
// did not run: a bare 503 or 504 may come from half-way through.
func responseStatus(resp *http.Response) balancer.Status {
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.StatusOK
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return balancer.StatusOverloaded
	case resp.StatusCode == http.StatusBadRequest:
		return balancer.StatusBadRequest
	}
	return balancer.StatusError
}

// readHead reads the head of one final answer, passing over interim ones.
func readResponseHead(br *bufio.Reader, method string) (*http.Response, error) {
	for range 8 { // interim answers that may come ahead
		if err := checkResponseHead(br); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 200 || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// checkHead waits for a whole head without taking it from br, whose size bounds it, and
// refuses what the library would read in its own way: it holds a line of any length, and
// reads an answer with two framings by its chunks, though the other might be meant and
// its rest be taken for the next answer.
func checkResponseHead(br *bufio.Reader) error {
	const start = "HTTP/1."
	for n := 1; ; n = br.Buffered() + 1 {
		if _, err := br.Peek(n); err != nil {
			return err
		}
		head, _ := br.Peek(br.Buffered())
		if k := min(len(start), len(head)); string(head[:k]) != start[:k] {
			return errors.New("answer is not HTTP")
		}
		end := endOfHead.FindIndex(head)
		if end == nil {
			continue
		}
		if head = head[:end[0]]; lengthField.Match(head) && codingField.Match(head) {
			return errors.New("answer has two framings")
		}
		return nil
	}
}

var (
	endOfHead   = regexp.MustCompile(`\n\r?\n`)
	lengthField = regexp.MustCompile(`(?i)\ncontent-length[ \t]*:`)
	codingField = regexp.MustCompile(`(?i)\ntransfer-encoding[ \t]*:`)
)

// get returns an idle connection that is still good and has rested, the most recently used
// first, or opens one.
func (p *connectionPool) acquire(ctx context.Context, addr string, deadline time.Time) (*serverConn, error) {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		i := len(list) - 1
		for i >= 0 && time.Since(list[i].idleSince) < settleTime {
			i--
		}
		if i < 0 {
			break
		}
		cn := list[i]
		p.idle[addr] = slices.Delete(list, i, i+1)
		limit := p.idleTimes.limit(p.keepalive)
		p.mu.Unlock()
		if cn.idledFor = time.Since(cn.idleSince); cn.idledFor < limit && isIdleConnAlive(cn.Conn) {
			return cn, nil
		}
		p.discard(cn)
	}
	if p.openConns >= p.maxConns && !p.evict() {
		p.mu.Unlock()
		return nil, errNoDescriptor
	}
	p.openConns++
	p.connectAttempts++
	until := earliest(deadline, time.Now().Add(p.connectTimeout))
	p.mu.Unlock()
	nc, err := p.dialServer(ctx, addr, until)
	if err != nil {
		p.mu.Lock()
		p.openConns--
		p.mu.Unlock()
		return nil, err
	}
	return &serverConn{Conn: nc, reader: bufio.NewReaderSize(nc, maxResponseHead), addr: addr, createdAt: time.Now()}, nil
}

// dialFunc opens a connection to a backend until a time.
type dialFunc func(ctx context.Context, addr string, until time.Time) (net.Conn, error)

func dialTCP(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}

func (p *connectionPool) dialServer(ctx context.Context, addr string, until time.Time) (net.Conn, error) {
	if p.dial != nil {
		return p.dial(ctx, addr, until)
	}
	return dialTCP(ctx, addr, until)
}

// evict closes the connection that has been idle longest, to make room for
// another backend's. The lock is held.
func (p *connectionPool) evict() bool {
	var oldest *serverConn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	p.idle[oldest.addr] = p.idle[oldest.addr][1:]
	p.openConns--
	oldest.Close()
	return true
}

func (p *connectionPool) release(cn *serverConn, b *upstreamServer) {
	cn.SetDeadline(time.Time{})
	cn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.unavailable.Load() || p.closed {
		p.openConns--
		cn.Close()
		return
	}
	p.idle[cn.addr] = append(p.idle[cn.addr], cn)
}

func (p *connectionPool) discard(cn *serverConn) {
	cn.Close()
	p.mu.Lock()
	p.openConns--
	p.mu.Unlock()
}

// note takes the use of a kept connection for what is known of idle times.
func (p *connectionPool) recordIdleUse(idled time.Duration, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleTimes.record(idled, lost)
}

// idleLimit is how long a connection may idle by what is known now.
func (p *connectionPool) idleLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimes.limit(p.keepalive)
}

// patience is how long a connect may take.
func (p *connectionPool) connectTimeLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectTimeout
}

// size is the number of connections that are open or being opened.
func (p *connectionPool) size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openConns
}

// connects is the number of connections that were tried to open since the start.
func (p *connectionPool) connectCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectAttempts
}

// hangUp closes the idle connections to an address.
func (p *connectionPool) closeIdle(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cn := range p.idle[addr] {
		p.openConns--
		cn.Close()
	}
	delete(p.idle, addr)
}

// end closes what idles, and what falls idle from now on.
func (p *connectionPool) shutdown() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.closed = true; p.evict(); {
	}
}

// sweep closes connections that have idled too long.
func (p *connectionPool) closeExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.idleTimes.limit(p.keepalive)
	for addr, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) >= limit {
			p.openConns--
			list[n].Close()
			n++
		}
		if p.idle[addr] = list[n:]; n == len(list) {
			delete(p.idle, addr)
		}
	}
}

// alive tells whether an idle connection is still open and silent. One that the
// peer closed, or that brings bytes nobody asked for, must not carry a request:
// it would end as a reset, which may have run.
func isIdleConnAlive(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	good := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		good = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && good
}

// hop names the header fields that are for one connection only.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// identity names the fields that make a request the client's own at its backend: they
// are passed on whatever its Connection field lists.
var identityHeaders = []string{"Request-Id", "Idempotency-Key"}

func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// request is the request as it goes to a backend, told how long the agent waits.
func (c *clientRequest) upstreamRequest(left time.Duration) *http.Request {
	h := endToEndHeaders(c.header)
	for _, name := range identityHeaders {
		if values := c.header.Values(name); len(values) > 0 {
			h[name] = values
		}
	}
	h.Set("Request-Timeout-Ms", strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if h.Get("User-Agent") == "" {
		h.Set("User-Agent", "") // none rather than the library's
	}
	req := &http.Request{Method: c.method, URL: &url.URL{Path: c.url.Path, RawPath: c.url.RawPath,
		RawQuery: c.url.RawQuery, ForceQuery: c.url.ForceQuery}, Host: c.host, Header: h}
	switch {
	case c.streamed != nil:
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(c.body), c.streamed)), c.streamed.length
	case len(c.body) > 0:
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(c.body)), int64(len(c.body))
	}
	return req
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
