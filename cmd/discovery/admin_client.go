package main

import (
	"bytes"
	"context"
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

// adminAction is what a command does by calls to an admin address.
type adminAction func(cmd *cobra.Command, client adminClient, args []string) error

// withAdminFlag adds the flag --admin to a command and makes the command run an action, with a client for
// the flag's address.
func withAdminFlag(cmd *cobra.Command, run adminAction) *cobra.Command {
	var address string
	cmd.Flags().StringVar(&address, "admin", defaultAdminAddress, "admin address of any instance (host:port)")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		return run(cmd, newAdminClient(address, callTimeout), args)
	}
	return cmd
}

// adminCall is one request to an admin address.
type adminCall struct {
	method string
	path   string
	body   []byte      // nil: none
	header http.Header // beside those that net/http sets; nil: none
}

// statusError is an answer with another status than 200.
type statusError struct {
	call    adminCall
	status  string // such as "404 Not Found"
	message string // the body
}

// Error names the call, the status and the body.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.call.method, e.call.path, e.status, e.message)
}

// adminClient makes calls to the admin address of one instance. It follows redirects to the leader.
type adminClient struct {
	address string // host:port
	client  *http.Client
}

// newAdminClient returns a client whose calls end after a timeout.
func newAdminClient(address string, timeout time.Duration) adminClient {
	return adminClient{address: address, client: &http.Client{Timeout: timeout}}
}

// print makes a call and prints the answer's body on a command's standard output.
func (c adminClient) print(cmd *cobra.Command, call adminCall) error {
	body, err := c.text(cmd.Context(), call)
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(body)
	return err
}

// text makes a call and returns the answer's body, or a statusError.
func (c adminClient) text(ctx context.Context, call adminCall) ([]byte, error) {
	response, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	return readText(response)
}

// getJSON makes a GET call and decodes the answer into a value.
func (c adminClient) getJSON(ctx context.Context, path string, value any) error {
	response, err := c.do(ctx, adminCall{method: http.MethodGet, path: path})
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
func (c adminClient) do(ctx context.Context, call adminCall) (*http.Response, error) {
	url := "http://" + c.address + call.path
	request, err := http.NewRequestWithContext(ctx, call.method, url, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	maps.Copy(request.Header, call.header)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer closeBody(response)
	message, _ := readText(response) // the status is reported without it too
	return nil, &statusError{call: call, status: response.Status, message: string(bytes.TrimSpace(message))}
}

// readText reads the body of a response, at most maxAnswerBytes.
func readText(response *http.Response) ([]byte, error) {
	return io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
}

// closeBody closes the body of a response that has been read.
func closeBody(response *http.Response) {
	_ = response.Body.Close() // nothing is left to read
}
