package server_test

import (
	"io"
	"net/http"
	"testing"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// maxHeaderBytes bounds the header of a response in TestStatusReportsTraffic.
const maxHeaderBytes = 500

// TestStatusReportsTraffic: an instance reports the traffic of each of its addresses, each apart from
// that of the others.
func TestStatusReportsTraffic(t *testing.T) {
	cluster := startCluster(t)
	mustPutAnywhere(t, cluster, "s-1")
	leaderName := leader(cluster)
	admin := cluster.Addr(leaderName, processtest.AdminPort)
	before := statusAt(admin).Usage
	const reads = 5
	bodyBytes := uint64(0)
	for range reads {
		bodyBytes += readListBytes(t, cluster.Addr(leaderName, processtest.HTTPPort))
	}
	mustPutAnywhere(t, cluster, "s-2")
	after := statusAt(admin).Usage
	if got := after.Reads.Messages - before.Reads.Messages; got != reads {
		t.Errorf("%d requests were counted, %d made", got, reads)
	}
	if out := after.Reads.Out - before.Reads.Out; out < bodyBytes || out > bodyBytes+reads*maxHeaderBytes {
		t.Errorf("%d bytes sent were counted, bodies had %d", out, bodyBytes)
	}
	for name, count := range map[string]func(server.Usage) uint64{
		"bytes received by reads": func(usage server.Usage) uint64 { return usage.Reads.In },
		"bytes sent by Raft":      func(usage server.Usage) uint64 { return usage.Raft.Out },
		"bytes received by Raft":  func(usage server.Usage) uint64 { return usage.Raft.In },
		"messages of Raft":        func(usage server.Usage) uint64 { return usage.Raft.Messages },
		"admin requests":          func(usage server.Usage) uint64 { return usage.Admin.Messages },
	} {
		if count(before) == count(after) {
			t.Errorf("no %s were counted: %+v, before %+v", name, after, before)
		}
	}
	if after.AllocBytes <= before.AllocBytes || after.Goroutines < 1 {
		t.Errorf("memory and goroutines: %+v, before %+v", after, before)
	}
}

// mustPutAnywhere writes an entry at any instance.
func mustPutAnywhere(t *testing.T, cluster *processtest.Cluster, id string) {
	t.Helper()
	if putServerAnywhere(cluster, id) == 0 {
		t.Fatalf("the write of %s was not acknowledged", id)
	}
}

// readListBytes reads the full list on a connection of the default client, and returns its length.
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
