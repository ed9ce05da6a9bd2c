package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

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
	received, err := readResponseUntil(conn, reader, sentAt.Add(properTimeout+answerGrace))
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

// arrivedReadTime is the time for reading what has arrived already.
const arrivedReadTime = 5 * time.Millisecond

// readResponseUntil reads a response until a deadline. A read fails once its deadline has passed, also if the response
// has arrived by then and this process was late in reading it. So it then reads what has arrived.
func readResponseUntil(conn net.Conn, reader *bufio.Reader, deadline time.Time) (*http.Response, error) {
	_ = conn.SetReadDeadline(deadline) // a failure shows in the read
	received, err := http.ReadResponse(reader, nil)
	if err == nil || !isTimeout(err) {
		return received, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(arrivedReadTime)) // as above
	return http.ReadResponse(reader, nil)
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
