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
	// callTimeout bounds a call to an admin address. It is longer than the time for which a write waits
	// for its commit.
	callTimeout = 10 * time.Second
	// maxResponseBytes bounds the part of a response body that is read as text.
	maxResponseBytes = 1 << 20
)

// adminAction runs a command that makes calls to an admin address.
type adminAction func(cmd *cobra.Command, client adminClient, args []string) error

// withAdminFlag adds the flag --admin to a command and makes the command run an action with a client of
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
	body   []byte      // nil: no body
	header http.Header // in addition to the fields that net/http sets; may be nil
}

// statusError reports a response with a status other than 200.
type statusError struct {
	call    adminCall
	status  string // such as "404 Not Found"
	message string // the response body
}

// Error returns the call, the status and the response body.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.call.method, e.call.path, e.status, e.message)
}

// adminClient is a client of one instance's admin address. It follows redirects to the leader.
type adminClient struct {
	address string // host:port
	client  *http.Client
}

// newAdminClient returns a client whose calls have the given timeout.
func newAdminClient(address string, timeout time.Duration) adminClient {
	return adminClient{address: address, client: &http.Client{Timeout: timeout}}
}

// print makes a call and prints the response body to the command's standard output.
func (c adminClient) print(cmd *cobra.Command, call adminCall) error {
	body, err := c.text(cmd.Context(), call)
	if err != nil {
		return err
	}
	_, err = cmd.OutOrStdout().Write(body)
	return err
}

// text makes a call and returns the response body. It returns a statusError if the status is not 200.
func (c adminClient) text(ctx context.Context, call adminCall) ([]byte, error) {
	response, err := c.do(ctx, call)
	if err != nil {
		return nil, err
	}
	defer closeBody(response)
	return readText(response)
}

// getJSON makes a GET call and decodes the response body into the value that value points to.
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

// do makes a call and returns the response, whose body the caller must close. It returns a statusError
// if the status is not 200.
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
	message, _ := readText(response) // if this fails, the error has the status and what was read
	return nil, &statusError{call: call, status: response.Status, message: string(bytes.TrimSpace(message))}
}

// readText reads at most maxResponseBytes of a response body.
func readText(response *http.Response) ([]byte, error) {
	return io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
}

// closeBody closes a response body that has been read.
func closeBody(response *http.Response) {
	_ = response.Body.Close() // an error is harmless, because nothing more is read
}
