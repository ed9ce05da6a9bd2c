package server_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// partitionTime is how long TestPartitionedLeader cuts off the leader.
	partitionTime = 10 * time.Second
	// partitionedWriteInterval is the time between two of its writes meanwhile, which limits their load.
	partitionedWriteInterval = 50 * time.Millisecond
	// healTimeout bounds the time until all instances have the same writes after the partition.
	healTimeout = 20 * time.Second
	// maxReadsAfterCut is how long a leader that is cut off may serve reads: max_stale (1 s), the
	// leader's lease (0.5 s) and a margin.
	maxReadsAfterCut = 2500 * time.Millisecond
)

// TestPartitionedLeader: the leader is cut off from both followers for partitionTime. Its reads end within
// maxReadsAfterCut and it acknowledges no write; the other two elect a leader and acknowledge writes.
// After the partition every instance has every acknowledged write.
func TestPartitionedLeader(t *testing.T) {
	cluster, oldLeader := startClusterWithLeader(t)
	majority := cluster.Others(oldLeader)
	if putServerAnywhere(cluster, "before") == 0 {
		t.Fatal("no write before the partition")
	}
	cluster.Partition([]string{oldLeader}, majority)
	cutAt := time.Now()
	lastRead := cutAt
	var acknowledged []string
	for i := 0; time.Since(cutAt) < partitionTime; i++ {
		if servesReads(t, cluster, oldLeader) {
			lastRead = time.Now()
		}
		minorityID := fmt.Sprintf("cut-%d", i)
		if putServer(cluster.Addr(oldLeader, processtest.AdminPort), minorityID) != 0 {
			t.Errorf("%s acknowledged by %s %v after it was cut off", minorityID, oldLeader, time.Since(cutAt))
		}
		majorityID := fmt.Sprintf("major-%d", i)
		if putServer(cluster.Addr(majority[i%len(majority)], processtest.AdminPort), majorityID) != 0 {
			acknowledged = append(acknowledged, majorityID)
		}
		time.Sleep(partitionedWriteInterval)
	}
	if readsAfterCut := lastRead.Sub(cutAt); readsAfterCut > maxReadsAfterCut {
		t.Errorf("the leader served reads until %v after it was cut off", readsAfterCut)
	}
	if len(acknowledged) == 0 {
		t.Fatal("the majority acknowledged no write while the leader was cut off")
	}
	cluster.Heal()
	allHaveWrites := func() bool { return allList(cluster, acknowledged) }
	if err := processtest.Await(healTimeout, "the majority's writes at every instance", allHaveWrites); err != nil {
		t.Fatal(err)
	}
	t.Logf("reads of the leader ended %v after it was cut off; the majority acknowledged %d writes",
		lastRead.Sub(cutAt), len(acknowledged))
}

// servesReads reports whether an instance serves reads.
func servesReads(t *testing.T, cluster *processtest.Cluster, name string) bool {
	t.Helper()
	resp, err := get(t.Context(), http.DefaultClient, cluster.Addr(name, processtest.HTTPPort)+endpoint.ListPath)
	if err != nil {
		return false
	}
	closeBody(resp)
	return resp.StatusCode == http.StatusOK
}

// allList reports whether the full list of every instance has all ids.
func allList(cluster *processtest.Cluster, ids []string) bool {
	for _, name := range instanceNames {
		for _, id := range ids {
			if !listsServer(cluster, name, id) {
				return false
			}
		}
	}
	return true
}
