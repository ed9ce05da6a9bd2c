package agent

import (
	"fmt"
	"net/http"
	"path"
	"strconv"
	"time"

	"fernbeam.example/fernbeam/internal/balancer"
)

// rejectTime bounds how long what follows on a rejected request is read, so that its
// peer can read the answer.
const badRequestReadTime = 300 * time.Millisecond

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
