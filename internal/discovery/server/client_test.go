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
	// retryInterval is the time between two attempts of a write.
	retryInterval = 20 * time.Millisecond
	// writeTimeout bounds a request. It is longer than a write may wait for its commit.
	writeTimeout = 6 * time.Second
)

// writeClient is the client of the tests' writes.
var writeClient = &http.Client{Timeout: writeTimeout}

// response is the status and the body of an HTTP response; code 0: there was no response.
type response struct {
	code int
	body string
}

// request makes one request, following a redirect to the leader.
func request(method, url, body string) response {
	return requestWithHeader(method, url, body, http.Header{})
}

// putSettings writes the settings at a URL. An ifMatch that is not "" is sent as the header If-Match.
func putSettings(url, text, ifMatch string) response {
	header := http.Header{}
	if ifMatch != "" {
		header.Set("If-Match", ifMatch)
	}
	return requestWithHeader(http.MethodPut, url, text, header)
}

// requestWithHeader makes one request as request does, with a header.
func requestWithHeader(method, url, body string, header http.Header) response {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+url, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	req.Header = header
	resp, err := writeClient.Do(req)
	if err != nil {
		return response{}
	}
	defer closeBody(resp)
	text, _ := io.ReadAll(resp.Body)
	return response{resp.StatusCode, string(text)}
}

// get makes a GET request with a client of its own. The caller closes the body of the response.
func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+url, http.NoBody)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// closeBody closes the body of a response.
func closeBody(resp *http.Response) {
	_ = resp.Body.Close() // nothing more is read from it
}

// version returns the version of an acknowledged write, or 0.
func (r response) version() uint64 {
	var written server.WriteResult
	if r.code != http.StatusOK || json.Unmarshal([]byte(r.body), &written) != nil {
		return 0
	}
	return written.Version
}

// list decodes the response to a watch.
func (r response) list(t *testing.T) endpoint.List {
	t.Helper()
	var list endpoint.List
	if err := json.Unmarshal([]byte(r.body), &list); r.code != http.StatusOK || err != nil {
		t.Fatalf("response %d %q, want a list", r.code, r.body)
	}
	return list
}

// watchURL is the URL of a poll or a watch with query parameters, at an address for reads.
func watchURL(reads, query string) string { return reads + endpoint.ListPath + "?" + query }

// fetchList returns an instance's full list, and whether the instance served it.
func fetchList(reads string) (endpoint.List, bool) {
	var list endpoint.List
	got := request(http.MethodGet, reads+endpoint.ListPath, "")
	served := got.code == http.StatusOK && json.Unmarshal([]byte(got.body), &list) == nil
	return list, served
}

// statusAt returns the status of the instance at an admin address; the zero Status if there is no
// response.
func statusAt(admin string) server.Status {
	var status server.Status
	got := request(http.MethodGet, admin+endpoint.StatusPath, "")
	if json.Unmarshal([]byte(got.body), &status) != nil {
		return server.Status{}
	}
	return status
}

// reportsAt returns the agent reports of a service at an admin address.
func reportsAt(admin, service string) server.AgentReports {
	var reports server.AgentReports
	got := request(http.MethodGet, admin+endpoint.AgentReportsPath(service), "")
	if json.Unmarshal([]byte(got.body), &reports) != nil {
		return server.AgentReports{}
	}
	return reports
}

// watchIsOpen reports whether the watch of service pay by the agent "a" with a number has arrived.
func watchIsOpen(admin string, number uint64) bool {
	name := fmt.Sprint("a", number)
	isNamed := func(report server.AgentReport) bool { return report.Agent == name }
	return slices.ContainsFunc(reportsAt(admin, "pay").Agents, isNamed)
}

// putServer writes an entry under an id. It returns the version of the write, or 0 if it was not
// acknowledged.
func putServer(admin, id string) uint64 {
	return putEntry(admin, endpoint.Endpoint{ID: id, Addr: "127.0.0.1:9", Zone: "a", State: endpoint.StateUp, Weight: 1})
}

// putEntry writes an entry. It returns the version of the write, or 0 if it was not acknowledged.
func putEntry(admin string, entry endpoint.Endpoint) uint64 {
	body, err := json.Marshal(entry)
	if err != nil {
		return 0
	}
	return request(http.MethodPut, admin+endpoint.ServerPath(entry.ID), string(body)).version()
}
