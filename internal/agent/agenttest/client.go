package agenttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const Settings = `{"classes":[
 {"name":"read","aimMs":2000,"giveUpMs":4000,"effect":"free","credit":1,"lateShare":0.2},
 {"name":"send","aimMs":2000,"giveUpMs":4000,"effect":"guarded","group":"all","keyTtlMs":8000,"credit":2,"lateShare":0.2},
 {"name":"order","aimMs":2000,"giveUpMs":4000,"effect":"single_shot","credit":5,"lateShare":0.2}],
 "clients":{"marksRetry":true},
 "contract":{"answerSlackMs":20,"askWithinMs":1600,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "failureDomains":["east","west"],"shapes":["big","small"],"index":0,"replicasOfMe":1,
 "limits":{"cancelling":true,"connectTimeoutMs":1000,"keepaliveMs":30000,"maxAttempts":3,"maxRetryAfterMs":600,"retryAfter":true,"openCap":1000},
 "membershipMode":"on_request","objectiveMix":{"whole":1},"report":{"how":"inline","names":["qps","util","eps"]},
 "roundMs":5,"tenants":[],"weights":"nominal","worthBy":"request","zone":0}`

// HTTPClient opens a connection for each request, and so never sends one again.
var HTTPClient = &http.Client{Timeout: Timeout, Transport: &http.Transport{DisableKeepAlives: true}}

func NewRequest(addr, class, body string) *http.Request {
	method := http.MethodPost
	if class == "read" {
		method, body = http.MethodGet, ""
	}
	req, err := http.NewRequest(method, "http://"+addr+"/api/00000000000000a1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Request-Class", class)
	req.Header.Set("Request-Timeout-Ms", "4000")
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k1")
	}
	return req
}

// RequestText is a request of the class read as a client writes it.
func RequestText(id, timeoutMs int) string {
	return fmt.Sprintf("GET /api/a HTTP/1.1\r\nHost: x\r\nRequest-Id: %d\r\nRequest-Class: read\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, timeoutMs)
}

// KeptConn is a client's connection that stays open.
type KeptConn struct {
	net.Conn
	Br *bufio.Reader
}

func (k *KeptConn) Request(t *testing.T) *http.Response {
	t.Helper()
	fmt.Fprint(k, RequestText(1, 4000))
	resp, err := http.ReadResponse(k.Br, nil)
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}

// WantClosed waits for the connection's orderly end.
func (k *KeptConn) WantClosed(t *testing.T) {
	t.Helper()
	if _, err := k.Br.ReadByte(); err != io.EOF {
		t.Errorf("the connection ended with %v, want EOF", err)
	}
}

// Status reads the answer to the request on a connection; 0: there is none.
func (k *KeptConn) Status() int {
	resp, err := http.ReadResponse(k.Br, nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// RequestReady asks on a connection whether the agent is ready, so that it is idle afterwards.
func (k *KeptConn) RequestReady(t *testing.T) {
	t.Helper()
	fmt.Fprint(k, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	WantStatus(t, FinalStatus(t, k), 200)
}

// DialKept opens a connection of a client that keeps it.
func DialKept(t testing.TB, addr string) *KeptConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(Timeout)); err != nil {
		t.Fatal(err)
	}
	return &KeptConn{c, bufio.NewReader(c)}
}

// Do sends a request and returns the response's status, header and body.
func Do(t testing.TB, req *http.Request) (status int, header http.Header, body string) {
	t.Helper()
	resp, err := HTTPClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, string(text)
}

// FinalStatus is status where there has to be a response.
func FinalStatus(t *testing.T, k *KeptConn) int {
	t.Helper()
	status := k.Status()
	if status == 0 {
		t.Fatal("the connection ended with no answer")
	}
	return status
}
