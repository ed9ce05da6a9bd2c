package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
	"fernbeam.example/fernbeam/internal/testaddr"
)

const (
	// startTimeout bounds how long a test waits for a leader or a first write.
	startTimeout = 20 * time.Second
	// singleNodeElectionTimeout makes an instance that is a cluster by itself lead soon.
	singleNodeElectionTimeout = 100 * time.Millisecond
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

// mustAwait waits for a condition, and fails the test if it is not met within startTimeout.
func mustAwait(tb testing.TB, what string, met func() bool) {
	tb.Helper()
	if err := processtest.Await(startTimeout, what, met); err != nil {
		tb.Fatal(err)
	}
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
	var written struct{ Version uint64 }
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

// nodeConfig returns the configuration of an instance on reserved ports, which founds its cluster.
func nodeConfig(tb testing.TB, id, dir string, electionTimeout time.Duration) server.Config {
	tb.Helper()
	return server.Config{
		ID:              id,
		DataDir:         dir,
		RaftAddr:        testaddr.Reserve(tb),
		HTTPAddr:        testaddr.Reserve(tb),
		AdminAddr:       testaddr.Reserve(tb),
		Bootstrap:       true,
		MaxStale:        time.Second,
		ElectionTimeout: electionTimeout,
		KeepChanges:     4096,
		SnapshotEvery:   8192,
		TrailingLogs:    1024,
	}
}

// singleNodeConfig returns the configuration of an instance that is a cluster by itself.
func singleNodeConfig(t *testing.T, dir string) server.Config {
	t.Helper()
	config := nodeConfig(t, "n1", dir, singleNodeElectionTimeout)
	config.KeepChanges = 64
	return config
}

// startNode starts an instance in this process, which ends with the test.
func startNode(tb testing.TB, config server.Config) *server.Node {
	tb.Helper()
	node, err := server.Start(config, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { closeNode(tb, node) })
	return node
}

// closeNode closes an instance, which may be closed already.
func closeNode(tb testing.TB, node *server.Node) {
	tb.Helper()
	if err := node.Close(); err != nil {
		tb.Error(err)
	}
}

// startSingleNode starts an instance that is a cluster by itself, on a new data directory or one
// that was written before. It returns the instance's addresses once the instance leads.
func startSingleNode(t *testing.T, dir string) (reads, admin string) {
	t.Helper()
	config := singleNodeConfig(t, dir)
	startNode(t, config)
	isLeader := func() bool { return statusAt(config.AdminAddr).State == server.StateLeader }
	mustAwait(t, "a leader", isLeader)
	return config.HTTPAddr, config.AdminAddr
}

// startThreeNodes starts three instances in this process.
func startThreeNodes(tb testing.TB, electionTimeout time.Duration) ([]server.Config, []*server.Node) {
	tb.Helper()
	configs := make([]server.Config, 3)
	for i := range configs {
		id := fmt.Sprint("n", i)
		configs[i] = nodeConfig(tb, id, filepath.Join(tb.TempDir(), "data"), electionTimeout)
		configs[i].Bootstrap = i == 0
	}
	nodes := make([]*server.Node, len(configs))
	for i := range configs {
		configs[i].Peers = peersOf(configs, i)
		nodes[i] = startNode(tb, configs[i])
	}
	return configs, nodes
}

// peersOf returns the peers of one of several instances.
func peersOf(configs []server.Config, instance int) []server.Peer {
	var peers []server.Peer
	for i, config := range configs {
		if i != instance {
			peers = append(peers, server.Peer{ID: config.ID, Raft: config.RaftAddr, Admin: config.AdminAddr})
		}
	}
	return peers
}
