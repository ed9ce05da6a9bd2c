package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// orderClass is the class of the tests' requests, which are non-idempotent.
	orderClass = "order"
	// orderPath is the path of most of the tests' requests.
	orderPath = "/api/a1"
	// readinessPath is the path at which the admin endpoint reports whether the agent is ready.
	readinessPath = "/ops/readiness"
)

// adminClient makes the calls to the admin endpoint.
var adminClient = &http.Client{Timeout: testTimeout}

// order is a request of orderClass.
type order struct {
	path    string
	timeout time.Duration // the request timeout
	close   bool          // the client asks to close the connection after the response
}

// request returns the HTTP request for o to the agent at addr.
func (o order) request(ctx context.Context, addr string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+o.path, strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	request.Close = o.close
	request.Header.Set("Request-Id", "1")
	request.Header.Set("Request-Class", orderClass)
	request.Header.Set("Request-Timeout-Ms", strconv.FormatInt(o.timeout.Milliseconds(), 10))
	return request, nil
}

// response is a complete response.
type response struct {
	status int
	body   string
	close  bool // the agent closes the connection after the response
}

// readAll reads the body of a received response and closes it.
func readAll(received *http.Response) (response, error) {
	body, err := io.ReadAll(received.Body)
	err = errors.Join(err, received.Body.Close())
	return response{received.StatusCode, string(body), received.Close}, err
}

// do sends a request with client and returns the complete response.
func do(client *http.Client, request *http.Request) (response, error) {
	received, err := client.Do(request)
	if err != nil {
		return response{}, err
	}
	return readAll(received)
}

// getReadiness calls the readiness check of the admin endpoint at the address admin.
func getReadiness(ctx context.Context, admin string) (response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+readinessPath, nil)
	if err != nil {
		return response{}, err
	}
	return do(adminClient, request)
}

// clientConn is a client connection to the agent. It carries one request at a time.
type clientConn struct {
	net.Conn

	reader *bufio.Reader
}

// dialAgent connects to the agent at addr. Reads and writes on the connection fail after testTimeout.
func dialAgent(ctx context.Context, addr string) (*clientConn, error) {
	dialer := net.Dialer{Timeout: testTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

// write sends the request o.
func (c *clientConn) write(ctx context.Context, o order) error {
	request, err := o.request(ctx, c.RemoteAddr().String())
	if err != nil {
		return err
	}
	return request.Write(c)
}

// read reads a complete response.
func (c *clientConn) read() (response, error) {
	received, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return response{}, err
	}
	return readAll(received)
}

// roundTrip sends the request o and reads the complete response.
func (c *clientConn) roundTrip(ctx context.Context, o order) (response, error) {
	if err := c.write(ctx, o); err != nil {
		return response{}, err
	}
	return c.read()
}

// close closes the connection. It ignores errors since the agent may have closed the connection before.
func (c *clientConn) close() { _ = c.Close() }

// startParallel runs several clients concurrently and returns a group that waits until they all have ended.
func startParallel(clients int, run func(client int)) *sync.WaitGroup {
	group := new(sync.WaitGroup)
	for client := range clients {
		group.Add(1)
		go func() {
			defer group.Done()
			run(client)
		}()
	}
	return group
}
