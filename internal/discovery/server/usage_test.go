package server_test

import (
	"io"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// maxHeaderBytes bounds the size of a response header in TestStatusReportsTraffic.
const maxHeaderBytes = 500

// TestStatusReportsTraffic checks that an instance's status counts the traffic of each of its addresses
// separately.
func TestStatusReportsTraffic(t *testing.T) {
	cluster := startCluster(t)
	mustPutAnywhere(t, cluster, "s-1")
	leaderName := leader(cluster)
	adminAddr := cluster.Addr(leaderName, processtest.AdminPort)
	before := statusAt(adminAddr).Usage
	const reads = 5
	bodyBytes := uint64(0)
	for range reads {
		bodyBytes += readListBytes(t, cluster.Addr(leaderName, processtest.HTTPPort))
	}
	mustPutAnywhere(t, cluster, "s-2")
	after := statusAt(adminAddr).Usage
	if got := after.Reads.Messages - before.Reads.Messages; got != reads {
		t.Errorf("%d requests counted, want %d", got, reads)
	}
	if out := after.Reads.Out - before.Reads.Out; out < bodyBytes || out > bodyBytes+reads*maxHeaderBytes {
		t.Errorf("%d bytes sent counted, want %d for the bodies and some for the headers", out, bodyBytes)
	}
	for name, count := range map[string]func(server.Usage) uint64{
		"bytes received by reads": func(usage server.Usage) uint64 { return usage.Reads.In },
		"bytes sent by Raft":      func(usage server.Usage) uint64 { return usage.Raft.Out },
		"bytes received by Raft":  func(usage server.Usage) uint64 { return usage.Raft.In },
		"messages of Raft":        func(usage server.Usage) uint64 { return usage.Raft.Messages },
		"admin requests":          func(usage server.Usage) uint64 { return usage.Admin.Messages },
	} {
		if count(before) == count(after) {
			t.Errorf("no %s counted: %+v, before %+v", name, after, before)
		}
	}
	if after.AllocBytes <= before.AllocBytes || after.Goroutines < 1 {
		t.Errorf("memory and goroutines: %+v, before %+v", after, before)
	}
}

// mustPutAnywhere is like putServerAnywhere, but fails the test if the write is not acknowledged.
func mustPutAnywhere(t *testing.T, cluster *processtest.Cluster, id string) {
	t.Helper()
	if putServerAnywhere(cluster, id) == 0 {
		t.Fatalf("write of %s not acknowledged", id)
	}
}

// readListBytes reads the full list with http.DefaultClient and returns the length of the body.
func readListBytes(t *testing.T, address string) uint64 {
	t.Helper()
	resp, err := get(t.Context(), http.DefaultClient, address+endpoint.ListPath)
	if err != nil {
		t.Fatal(err)
	}
	defer closeBody(resp)
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: %v", resp.Status, err)
	}
	return uint64(len(text))
}
