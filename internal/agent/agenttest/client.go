package agenttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Settings is the JSON text of the policy settings in an agent's configuration file.
const Settings = `{"classes":[
 {"name":"read","aimMs":2000,"giveUpMs":4000,"effect":"free","credit":1,"lateShare":0.2},
 {"name":"send","aimMs":2000,"giveUpMs":4000,"effect":"guarded","group":"all","keyTtlMs":8000,"credit":2,
  "lateShare":0.2},
 {"name":"order","aimMs":2000,"giveUpMs":4000,"effect":"single_shot","credit":5,"lateShare":0.2}],
 "clients":{"marksRetry":true},
 "contract":{"answerSlackMs":20,"askWithinMs":1600,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,
  "tipAfterMs":1000},
 "failureDomains":["east","west"],"shapes":["big","small"],"index":0,"replicasOfMe":1,
 "limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":3,"maxRetryAfterMs":600,
  "retryAfter":true,"openCap":1000},
 "membershipMode":"on_request","objectiveMix":{"whole":1},"report":{"how":"inline","names":["qps","util","eps"]},
 "roundMs":5,"tenants":[],"weights":"nominal","worthBy":"request","zone":0}`

// requestTimeoutMs is the request timeout that clients send, in ms.
const requestTimeoutMs = 4000

// HTTPClient opens a new connection for each request, so that net/http never retries one on its own.
var HTTPClient = &http.Client{Timeout: Timeout, Transport: &http.Transport{DisableKeepAlives: true}}

// NewRequest returns a request of the given class to the agent at addr. The body is ignored for the class read.
func NewRequest(addr, class, body string) *http.Request {
	req := &http.Request{
		Method: http.MethodGet,
		URL:    &url.URL{Scheme: "http", Host: addr, Path: "/api/00000000000000a1"},
		Host:   addr,
		Header: http.Header{},
		Body:   http.NoBody,
	}
	if class != "read" {
		req.Method = http.MethodPost
		if body != "" {
			req.Body = io.NopCloser(strings.NewReader(body))
			req.ContentLength = int64(len(body))
		}
	}
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", strconv.Itoa(requestTimeoutMs))
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

// RequestText returns the text of an HTTP request of the class read.
func RequestText(id, timeoutMs int) string {
	return fmt.Sprintf("GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: read\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, timeoutMs)
}

// ClientConn is a persistent client connection.
type ClientConn struct {
	net.Conn
	Reader *bufio.Reader
}

// ConnectClient opens a client connection, which is closed when the test ends. It may be called from any goroutine.
func ConnectClient(tb testing.TB, addr string) (*ClientConn, error) {
	tb.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(tb.Context(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tb.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(Timeout)); err != nil {
		return nil, err
	}
	return &ClientConn{Conn: conn, Reader: bufio.NewReader(conn)}, nil
}

// DialClient is like ConnectClient but ends the test if there is an error. It must be called from the test's goroutine.
func DialClient(tb testing.TB, addr string) *ClientConn {
	tb.Helper()
	client, err := ConnectClient(tb, addr)
	if err != nil {
		tb.Fatal(err)
	}
	return client
}

// Request sends a request of the class read and returns the response.
func (c *ClientConn) Request(t *testing.T) Response {
	t.Helper()
	c.send(RequestText(1, requestTimeoutMs))
	response, err := ReadResponse(c.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// send writes a request. It ignores errors since they also show when the response is read.
func (c *ClientConn) send(request string) { _, _ = io.WriteString(c, request) }

// WantClosed checks that the peer closes the connection without sending more data and without a reset.
func (c *ClientConn) WantClosed(t *testing.T) {
	t.Helper()
	if _, err := c.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v, want EOF", err)
	}
}

// Status reads a response and returns its status code, or 0 if there is no response.
func (c *ClientConn) Status() int {
	resp, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// RequestReady sends a readiness check to the agent and waits for the response, so that the connection is idle
// afterwards.
func (c *ClientConn) RequestReady(t *testing.T) {
	t.Helper()
	c.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	WantStatus(t, FinalStatus(t, c), http.StatusOK)
}

// Response is a response that has been read completely. The zero value means that there was no response.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Closes bool // the response announces that the agent closes the connection
}

// ReadResponse reads the response to req; a nil req means a GET request.
func ReadResponse(reader *bufio.Reader, req *http.Request) (Response, error) {
	resp, err := http.ReadResponse(reader, req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readBody(resp)
}

// readBody reads the body of resp; the caller closes it.
func readBody(resp *http.Response) (Response, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Response{}, err
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(body), Closes: resp.Close}, nil
}

// Do sends a request and reads the response. It may be called from any goroutine.
func Do(req *http.Request) (Response, error) {
	resp, err := HTTPClient.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	return readBody(resp)
}

// Send is like Do but ends the test if there is an error. It must be called from the test's goroutine.
func Send(tb testing.TB, req *http.Request) Response {
	tb.Helper()
	response, err := Do(req)
	if err != nil {
		tb.Fatal(err)
	}
	return response
}

// SendInBackground is like Do but runs in a new goroutine. If there is an error, it fails the test and sends the zero
// Response. The test must receive from the returned channel before it ends.
func SendInBackground(tb testing.TB, req *http.Request) <-chan Response {
	tb.Helper()
	responses := make(chan Response, 1)
	go func() {
		response, err := Do(req)
		if err != nil {
			tb.Error(err)
		}
		responses <- response
	}()
	return responses
}

// FinalStatus reads a response and returns its status code. It ends the test if there is no response.
func FinalStatus(t *testing.T, client *ClientConn) int {
	t.Helper()
	status := client.Status()
	if status == 0 {
		t.Fatal("the connection ended without a response")
	}
	return status
}
