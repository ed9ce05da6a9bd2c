package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// paceInterval is the time between two reads or writes of a slow peer.
	paceInterval = 50 * time.Millisecond
	// longResponsePath is the path of requests that get a response of longBodySize bytes.
	longResponsePath = "/api/long"
	longBodySize     = 8 << 20
	// trailerResponsePath is the path of requests whose response is chunked and ends with very many short trailer fields,
	// and headResponsePath that of requests whose response has a long head.
	trailerResponsePath = "/api/trailer"
	headResponsePath    = "/api/head"
	shortBodySize       = 60_000
	// slowReceiveBuffer is the size of a slow reader's receive buffer, in bytes: what it has not read stays with its peer.
	slowReceiveBuffer = 16 << 10
	// redialPause is how long a member of a crowd waits before it connects again.
	redialPause = 250 * time.Millisecond
)

// Rates of slow peers, in bytes per second.
const (
	slowWriteRate  = 70_000
	slowReadRate   = 80_000
	serverReadRate = 64 << 10
)

// crowdMember is what one client of a crowd does on one new connection. It returns when the connection has ended.
type crowdMember func(ctx context.Context, conn net.Conn, index int)

// crowdForm is a kind of crowd.
type crowdForm struct {
	name   string
	member crowdMember
	// slowServers makes the servers read request bodies at serverReadRate.
	slowServers bool
	// clients is the number of clients at 1,024 descriptors.
	clients int
}

// crowdForms are the crowds with which the operators saw processes pass their memory limit.
func crowdForms() []crowdForm {
	const usualClients = 320
	forms := []crowdForm{
		{name: "short bodies sent slowly", member: sendSlowly(shortBodySize), clients: usualClients},
		{name: "long bodies sent slowly", member: sendSlowly(longBodySize), clients: usualClients},
		{name: "chunked bodies sent slowly", member: sendChunksSlowly, clients: usualClients},
		{name: "long responses read slowly", member: readSlowly, clients: usualClients},
		{name: "bodies that servers read slowly", member: sendFast, clients: usualClients, slowServers: true},
		{name: "stops half-way", member: stopHalfWay, clients: 430},
		{name: "many short fields", member: sendShortFields, clients: usualClients},
		{name: "many short fields, unfinished", member: sendUnfinishedFields, clients: usualClients},
		{name: "many short trailer fields", member: sendShortTrailerFields, clients: usualClients},
		{name: "responses with many short trailer fields", member: readTrailersLate, clients: usualClients},
		{name: "responses with long heads, not read", member: readNoHeads, clients: usualClients},
		{name: "silent", member: awaitClose, clients: 430},
	}
	members := make([]crowdMember, len(forms))
	for i, form := range forms {
		members[i] = form.member
	}
	return append(forms, crowdForm{
		name: "mixed",
		member: func(ctx context.Context, conn net.Conn, index int) {
			members[index%len(members)](ctx, conn, index)
		},
		clients:     usualClients,
		slowServers: true,
	})
}

// crowd is a number of clients that connect again and again until they are stopped.
type crowd struct {
	stop func() // ends the clients and waits for them
}

// startCrowd starts the clients of a form against the agent at addr.
func startCrowd(ctx context.Context, addr string, form crowdForm, clients int) crowd {
	ctx, cancel := context.WithCancel(ctx)
	running := startParallel(clients, func(index int) {
		for ctx.Err() == nil {
			runMember(ctx, addr, form.member, index)
			pause(ctx, redialPause)
		}
	})
	return crowd{stop: func() {
		cancel()
		running.Wait()
	}}
}

// runMember runs one member on a new connection, which is closed when ctx is done.
func runMember(ctx context.Context, addr string, member crowdMember, index int) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	member(ctx, conn, index)
}

// pause waits for a time or until ctx is done.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// lastRequestID is the number of the last request of a crowd.
var lastRequestID atomic.Int64

// newRequestID returns an id that no other request has.
func newRequestID(prefix string) string { return fmt.Sprintf("%s-%d", prefix, lastRequestID.Add(1)) }

// crowdRequestHead returns the head of a request with further header fields, each of which ends with CRLF.
func crowdRequestHead(path, id string, timeout time.Duration, fields string) string {
	const format = "POST %s HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n%s\r\n"
	return fmt.Sprintf(format, path, id, orderClass, timeout.Milliseconds(), fields)
}

// writePaced writes size bytes at slowWriteRate, each piece with write, and reports whether that succeeded.
func writePaced(ctx context.Context, size int, write func(piece string) error) bool {
	piece := strings.Repeat("x", slowWriteRate*int(paceInterval)/int(time.Second))
	for sent := 0; sent < size && ctx.Err() == nil; sent += len(piece) {
		if write(piece[:min(len(piece), size-sent)]) != nil {
			return false
		}
		pause(ctx, paceInterval)
	}
	return ctx.Err() == nil
}

// sendSlowly returns a member that sends requests with bodies of the given size at slowWriteRate.
func sendSlowly(size int) crowdMember {
	return func(ctx context.Context, conn net.Conn, _ int) {
		reader := bufio.NewReader(conn)
		for ctx.Err() == nil {
			fields := fmt.Sprintf("Content-Length: %d\r\n", size)
			head := crowdRequestHead(orderPath, newRequestID("s"), trafficTimeout, fields)
			write := func(text string) error {
				_, err := io.WriteString(conn, text)
				return err
			}
			if write(head) != nil || !writePaced(ctx, size, write) || !skipResponse(reader) {
				return
			}
		}
	}
}

// sendChunksSlowly sends a chunked body of shortBodySize bytes at slowWriteRate.
func sendChunksSlowly(ctx context.Context, conn net.Conn, _ int) {
	head := crowdRequestHead(orderPath, newRequestID("c"), trafficTimeout,
		"Transfer-Encoding: chunked\r\n")
	if _, err := io.WriteString(conn, head); err != nil {
		return
	}
	sent := writePaced(ctx, shortBodySize, func(piece string) error {
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(piece), piece)
		return err
	})
	if !sent {
		return
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err == nil {
		skipResponse(bufio.NewReader(conn))
	}
}

// skipResponse reads a response and reports whether another request may follow.
func skipResponse(reader *bufio.Reader) bool {
	received, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	got, err := readAll(received)
	return err == nil && !got.close
}

// readSlowly reads a long response at slowReadRate.
func readSlowly(ctx context.Context, conn net.Conn, index int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	head := crowdRequestHead(longResponsePath, newRequestID("l"), trafficTimeout,
		"Content-Length: 0\r\n")
	if _, err := io.WriteString(conn, head); err == nil {
		readPiecesSlowly(ctx, conn, index)
	}
}

// readPiecesSlowly reads from a connection at slowReadRate until it ends.
func readPiecesSlowly(ctx context.Context, conn net.Conn, _ int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	buffer := make([]byte, slowReadRate*int(paceInterval)/int(time.Second))
	for ctx.Err() == nil {
		if _, err := io.ReadFull(conn, buffer); err != nil {
			return
		}
		pause(ctx, paceInterval)
	}
}

// sendFast sends bodies of 1 MB without a pause.
func sendFast(ctx context.Context, conn net.Conn, _ int) {
	const size = 1 << 20
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		head := crowdRequestHead(orderPath, newRequestID("f"), trafficTimeout,
			fmt.Sprintf("Content-Length: %d\r\n", size))
		sent := make(chan error, 1)
		go func() {
			_, err := io.WriteString(conn, head+strings.Repeat("x", size))
			sent <- err
		}()
		if !skipResponse(reader) || <-sent != nil {
			return
		}
	}
}

// stopHalfWay sends half of a long body and waits for the end of the connection.
func stopHalfWay(ctx context.Context, conn net.Conn, index int) {
	head := crowdRequestHead(orderPath, newRequestID("h"), trafficTimeout,
		fmt.Sprintf("Content-Length: %d\r\n", longBodySize))
	if _, err := io.WriteString(conn, head+strings.Repeat("x", shortBodySize/2)); err == nil {
		awaitClose(ctx, conn, index)
	}
}

// shortFields returns header fields of four bytes and a line end, with different names, of about size bytes.
func shortFields(size int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < size; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return fields.String()
}

const shortFieldsSize = 15_000

// sendShortFields sends requests with very many short fields.
func sendShortFields(ctx context.Context, conn net.Conn, _ int) {
	fields := "Content-Length: 0\r\n" + shortFields(shortFieldsSize)
	reader := bufio.NewReader(conn)
	for ctx.Err() == nil {
		head := crowdRequestHead(orderPath, newRequestID("n"), trafficTimeout, fields)
		if _, err := io.WriteString(conn, head); err != nil || !skipResponse(reader) {
			return
		}
		pause(ctx, paceInterval)
	}
}

// sendUnfinishedFields sends very many short fields without the end of the head.
func sendUnfinishedFields(ctx context.Context, conn net.Conn, index int) {
	if _, err := io.WriteString(conn, "POST /api/a HTTP/1.1\r\n"+shortFields(shortFieldsSize)); err == nil {
		awaitClose(ctx, conn, index)
	}
}

// shortTrailerSize is the size of a trailer of short fields, in bytes. HTTP servers and clients read no longer ones.
const shortTrailerSize = 3_900

// sendShortTrailerFields sends chunked bodies with very many short trailer fields, and reads the long responses slowly.
func sendShortTrailerFields(ctx context.Context, conn net.Conn, index int) {
	head := crowdRequestHead(longResponsePath, newRequestID("r"), trafficTimeout, "Transfer-Encoding: chunked\r\n")
	if _, err := io.WriteString(conn, head+"1\r\nx\r\n0\r\n"+shortFields(shortTrailerSize)+"\r\n"); err != nil {
		return
	}
	readPiecesSlowly(ctx, conn, index)
}

// readTrailersLate requests responses of different sizes that end with a trailer, and reads them only in part.
func readTrailersLate(ctx context.Context, conn net.Conn, index int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	path := fmt.Sprintf("%s?size=%d", trailerResponsePath, (1+index%trailerSizes)*trailerSizeStep)
	head := crowdRequestHead(path, newRequestID("q"), trafficTimeout, "Content-Length: 0\r\n")
	if _, err := io.WriteString(conn, head); err == nil {
		pause(ctx, crowdTime)
	}
}

const (
	// trailerSizeStep is the step between the sizes of the responses with trailers, in bytes, and trailerSizes their
	// number.
	trailerSizeStep, trailerSizes = 32 << 10, 64
	// headFields and headFieldSize are the number and the size of the fields of a response with a long head.
	headFields, headFieldSize = 90, 150
	// unreadRequests is the number of requests that a client sends whose responses it does not read.
	unreadRequests = 60
)

// readNoHeads sends requests whose responses have long heads, and does not read the responses.
func readNoHeads(ctx context.Context, conn net.Conn, _ int) {
	_ = conn.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
	for range unreadRequests {
		head := crowdRequestHead(headResponsePath, newRequestID("u"), trafficTimeout, "Content-Length: 0\r\n")
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
	}
	pause(ctx, crowdTime)
}

// callWithShortFields makes a call of the admin endpoint with very many short header fields or, every other caller,
// trailer fields.
func callWithShortFields(ctx context.Context, conn net.Conn, index int) {
	head := "PUT /ops/drain/stop HTTP/1.1\r\nHost: x\r\n"
	text := head + "Content-Length: 0\r\n" + shortFields(shortFieldsSize*2/3) + "\r\n"
	if index%2 == 0 {
		text = head + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + shortFields(shortTrailerSize) + "\r\n"
	}
	if _, err := io.WriteString(conn, text); err == nil {
		awaitClose(ctx, conn, index)
	}
}

// awaitClose sends nothing more and reads until the agent closes the connection.
func awaitClose(_ context.Context, conn net.Conn, _ int) { _, _ = io.Copy(io.Discard, conn) }

// properClients are clients that send a small request at a time, each on its own connection, and check that each
// request gets its final answer in time.
type properClients struct {
	sent, served, refused atomic.Int64
	slowest               atomic.Int64 // time of the slowest answer, in nanoseconds
	// restarting is set while the agent is killed and started again: then no request needs an answer.
	restarting atomic.Bool
	stop       func()

	mu   sync.Mutex
	lost []string
}

// startProperClients starts clients of the agent at addr.
func startProperClients(ctx context.Context, addr string, clients int) *properClients {
	proper := &properClients{}
	ctx, cancel := context.WithCancel(ctx)
	running := startParallel(clients, func(index int) {
		for ctx.Err() == nil {
			proper.run(ctx, addr, index)
			pause(ctx, redialPause)
		}
	})
	proper.stop = func() {
		cancel()
		running.Wait()
	}
	return proper
}

// run sends requests on a new connection until it ends.
func (p *properClients) run(ctx context.Context, addr string, index int) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for request := 0; ctx.Err() == nil; request++ {
		if !p.exchange(conn, reader, fmt.Sprintf("p%d-%d", index, request), request > 0) {
			return
		}
		pause(ctx, paceInterval)
	}
}

const (
	// properTimeout is the timeout of a proper client's request.
	properTimeout = time.Second
	// answerGrace is how long after its time a request may still get its final answer.
	answerGrace = 500 * time.Millisecond
)

// exchange sends a request and reads its response, and reports whether another request may follow. A connection that
// the agent closes without an answer is no loss: the client sends the request again. If the connection was kept
// after an earlier response, the close crossed the request, which then counts only as the one that is sent again.
func (p *properClients) exchange(conn net.Conn, reader *bufio.Reader, id string, kept bool) bool {
	restarted := p.restarting.Load()
	head := crowdRequestHead(orderPath, id, properTimeout, "Content-Length: 1\r\n")
	if _, err := io.WriteString(conn, head+"x"); err != nil {
		return false
	}
	sentAt := time.Now()
	p.sent.Add(1)
	_ = conn.SetReadDeadline(sentAt.Add(properTimeout + answerGrace))
	received, err := http.ReadResponse(reader, nil)
	if err != nil {
		if isTimeout(err) && !restarted && !p.restarting.Load() {
			p.recordLost(fmt.Sprintf("%s: no answer after %v", id, time.Since(sentAt)))
		}
		if kept && !isTimeout(err) {
			p.sent.Add(-1)
		}
		return false
	}
	got, err := readAll(received)
	if err != nil {
		return false
	}
	p.slowest.Store(max(p.slowest.Load(), int64(time.Since(sentAt))))
	switch got.status {
	case http.StatusOK:
		p.served.Add(1)
	default:
		p.refused.Add(1)
	}
	return !got.close
}

// check checks that every request got its final answer in time, and that at least half were served.
func (p *properClients) check(t *testing.T) {
	t.Helper()
	for _, lost := range p.lost {
		t.Errorf("proper client: %s", lost)
	}
	if served := p.served.Load(); served*2 < p.sent.Load() {
		t.Errorf("%d of %d proper requests served, want half of them at least", served, p.sent.Load())
	}
}

// isTimeout reports whether err is an expired deadline.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error) //nolint:errorlint // net returns it unwrapped
	return ok && timeout.Timeout()
}

func (p *properClients) recordLost(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = append(p.lost, text)
}

// crowdServer is a server for crowds: it reads bodies, slowly if the form says so, and answers long or short.
func crowdServer(slow bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if slow {
			readPaced(r)
		} else {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		simulateWork(serviceTime)
		switch r.URL.Path {
		case longResponsePath:
			w.Header().Set("Content-Length", fmt.Sprint(longBodySize))
			writeLongBody(w, longBodySize)
		case trailerResponsePath:
			size, _ := strconv.Atoi(r.URL.Query().Get("size")) // the crowd sends numbers only
			writeLongBody(w, size)
			for i := range shortTrailerSize / len("1ff: \r\n") {
				w.Header().Set(http.TrailerPrefix+fmt.Sprintf("%x", i), "")
			}
		case headResponsePath:
			for i := range headFields {
				w.Header().Set(fmt.Sprint("X-", i), strings.Repeat("h", headFieldSize))
			}
			writeBody(w, "done")
		default:
			writeBody(w, "done")
		}
	}
}

// writeLongBody writes size bytes of a body, or until that fails.
func writeLongBody(w io.Writer, size int) {
	piece := strings.Repeat("y", 32<<10)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
	}
}

// readPaced reads the body of a request at serverReadRate.
func readPaced(r *http.Request) {
	buffer := make([]byte, serverReadRate*int(paceInterval)/int(time.Second))
	for {
		if _, err := io.ReadFull(r.Body, buffer); err != nil {
			return
		}
		pause(r.Context(), paceInterval)
	}
}
