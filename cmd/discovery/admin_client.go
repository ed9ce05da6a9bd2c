package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

const (
	// defaultAdminAddress is the default of --admin.
	defaultAdminAddress = "127.0.0.1:7401"
	// callTimeout bounds a call to an admin address. It is longer than a write may wait for its
	// commit.
	callTimeout = 10 * time.Second
	// maxAnswerBytes bounds the part of an answer that is read as text.
	maxAnswerBytes = 1 << 20
)

// addAdminFlag adds the flag --admin.
func addAdminFlag(cmd *cobra.Command, address *string) {
	cmd.Flags().StringVar(address, "admin", defaultAdminAddress, "admin address of any instance (host:port)")
}

// statusError is an answer with another status than 200.
type statusError struct {
	method, path string
	status       string // such as "404 Not Found"
	message      string // the body
}

// Error names the call, the status and the body.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.method, e.path, e.status, e.message)
}

// adminClient makes calls to the admin address of one instance. It follows redirects to the leader.
type adminClient struct {
	address string // host:port
	http    *http.Client
}

// newAdminClient returns a client whose calls end after a timeout.
func newAdminClient(address string, timeout time.Duration) adminClient {
	return adminClient{address: address, http: &http.Client{Timeout: timeout}}
}

// text makes a call and returns the answer's body, or a statusError.
func (c adminClient) text(method, path string, body []byte, header http.Header) ([]byte, error) {
	response, err := c.do(method, path, body, header)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	return readText(response)
}

// getJSON makes a GET call and decodes the answer into a value.
func (c adminClient) getJSON(path string, value any) error {
	response, err := c.do(http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	defer closeBody(response)
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return fmt.Errorf("%s%s: %w", c.address, path, err)
	}
	return nil
}

// do makes a call and returns the response if its status is 200, otherwise a statusError. The caller
// closes the response's body.
func (c adminClient) do(method, path string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequest(method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	maps.Copy(request.Header, header)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response)
	message, _ := readText(response) // the status is reported without it too
	return nil, &statusError{
		method:  method,
		path:    path,
		status:  response.Status,
		message: string(bytes.TrimSpace(message)),
	}
}

// readText reads the body of a response, at most maxAnswerBytes.
func readText(response *http.Response) ([]byte, error) {
	return io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
}

// closeBody closes the body of a response that has been read.
func closeBody(response *http.Response) {
	_ = response.Body.Close() // nothing is left to read
}
