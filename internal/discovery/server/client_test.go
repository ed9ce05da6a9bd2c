package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
)

const (
	// retryInterval is the time between two attempts at a write.
	retryInterval = 20 * time.Millisecond
	// requestTimeout bounds a request. It is longer than the time for which an instance waits until a write
	// is committed.
	requestTimeout = 6 * time.Second
)

// httpClient is the client that the test helpers use unless they are given another one.
var httpClient = &http.Client{Timeout: requestTimeout}

// response is an HTTP response.
type response struct {
	code int // status code; 0: no response was received
	body string
}

// request makes one request to a URL without scheme, and follows redirects to the leader.
func request(method, url, body string) response {
	return requestWithHeader(method, url, body, http.Header{})
}

// putSettings writes settings to a URL. If ifMatch is not empty, it is sent in the If-Match header.
func putSettings(url, text, ifMatch string) response {
	header := http.Header{}
	if ifMatch != "" {
		header.Set("If-Match", ifMatch)
	}
	return requestWithHeader(http.MethodPut, url, text, header)
}

// requestWithHeader is like request, but also sends a header.
func requestWithHeader(method, url, body string, header http.Header) response {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	req.Header = header
	resp, err := httpClient.Do(req)
	if err != nil {
		return response{}
	}
	defer closeBody(resp)
	text, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(text)}
}

// get makes a GET request with the given client. The caller must close the response body.
func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+url, http.NoBody)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// closeBody closes a response body.
func closeBody(resp *http.Response) {
	_ = resp.Body.Close() // an error is harmless, because nothing more is read
}

// version returns the version of a write, or 0 if the write was not acknowledged.
func (r response) version() uint64 {
	var result server.WriteResult
	if r.code != http.StatusOK || json.Unmarshal([]byte(r.body), &result) != nil {
		return 0
	}
	return result.Version
}

// list decodes the response to a poll or a watch, and fails the test if it is not a list.
func (r response) list(t *testing.T) endpoint.List {
	t.Helper()
	var list endpoint.List
	if err := json.Unmarshal([]byte(r.body), &list); r.code != http.StatusOK || err != nil {
		t.Fatalf("response %d %q, want a list", r.code, r.body)
	}
	return list
}

// watchURL returns the URL of a poll or a watch with the given query at an instance's HTTP address.
func watchURL(httpAddr, query string) string { return httpAddr + endpoint.ListPath + "?" + query }

// fetchList returns an instance's full list and reports whether the instance served it.
func fetchList(httpAddr string) (endpoint.List, bool) {
	var list endpoint.List
	got := request(http.MethodGet, httpAddr+endpoint.ListPath, "")
	served := got.code == http.StatusOK && json.Unmarshal([]byte(got.body), &list) == nil
	return list, served
}

// statusAt returns the status of the instance at an admin address, or the zero Status if there is no
// valid response.
func statusAt(adminAddr string) server.Status {
	var status server.Status
	got := request(http.MethodGet, adminAddr+endpoint.StatusPath, "")
	if json.Unmarshal([]byte(got.body), &status) != nil {
		return server.Status{}
	}
	return status
}

// reportsAt returns the agent reports of a service from the instance at an admin address, or the zero
// AgentReports if there is no valid response.
func reportsAt(adminAddr, service string) server.AgentReports {
	var reports server.AgentReports
	got := request(http.MethodGet, adminAddr+endpoint.AgentReportsPath(service), "")
	if json.Unmarshal([]byte(got.body), &reports) != nil {
		return server.AgentReports{}
	}
	return reports
}

// watchIsOpen reports whether the instance has received a watch of service pay by agent a<number>.
func watchIsOpen(adminAddr string, number uint64) bool {
	name := fmt.Sprint("a", number)
	isNamed := func(report server.AgentReport) bool { return report.Agent == name }
	return slices.ContainsFunc(reportsAt(adminAddr, "pay").Agents, isNamed)
}

// putServer writes a valid entry with the given id. It returns the version of the write, or 0 if it was
// not acknowledged.
func putServer(adminAddr, id string) uint64 {
	return putEntry(adminAddr,
		endpoint.Endpoint{ID: id, Addr: "127.0.0.1:9", Zone: "a", State: endpoint.StateUp, Weight: 1})
}

// putEntry writes an entry. It returns the version of the write, or 0 if it was not acknowledged.
func putEntry(adminAddr string, entry endpoint.Endpoint) uint64 {
	body, err := json.Marshal(entry)
	if err != nil {
		return 0
	}
	return request(http.MethodPut, adminAddr+endpoint.ServerPath(entry.ID), string(body)).version()
}
