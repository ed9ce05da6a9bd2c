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
	// partitionDuration is how long TestPartitionedLeader isolates the leader.
	partitionDuration = 10 * time.Second
	// partitionedWriteInterval is the pause after each round of writes during the partition, which limits
	// their load.
	partitionedWriteInterval = 50 * time.Millisecond
	// healTimeout bounds the wait after the partition until all instances have the acknowledged writes.
	healTimeout = 20 * time.Second
	// maxReadTimeAfterPartition is how long an isolated leader may serve reads: max_stale (1 s), the
	// leader lease (0.5 s) and a margin.
	maxReadTimeAfterPartition = 2500 * time.Millisecond
)

// TestPartitionedLeader isolates the leader from both followers for partitionDuration. It checks that the
// isolated leader acknowledges no write and stops serving reads within maxReadTimeAfterPartition, that
// the followers elect a leader and acknowledge writes, and that every instance has these writes after
// the partition.
func TestPartitionedLeader(t *testing.T) {
	cluster, oldLeader := startClusterWithLeader(t)
	majority := cluster.Others(oldLeader)
	if putServerAnywhere(cluster, "before") == 0 {
		t.Fatal("no write acknowledged before the partition")
	}
	cluster.Partition([]string{oldLeader}, majority)
	partitionedAt := time.Now()
	lastRead := partitionedAt
	var acknowledged []string
	for i := 0; time.Since(partitionedAt) < partitionDuration; i++ {
		if servesReads(t, cluster, oldLeader) {
			lastRead = time.Now()
		}
		minorityID := fmt.Sprintf("minority-%d", i)
		if putServer(cluster.Addr(oldLeader, processtest.AdminPort), minorityID) != 0 {
			t.Errorf("%s acknowledged by %s, %v after it was isolated", minorityID, oldLeader, time.Since(partitionedAt))
		}
		majorityID := fmt.Sprintf("majority-%d", i)
		if putServer(cluster.Addr(majority[i%len(majority)], processtest.AdminPort), majorityID) != 0 {
			acknowledged = append(acknowledged, majorityID)
		}
		time.Sleep(partitionedWriteInterval)
	}
	if readTimeAfterPartition := lastRead.Sub(partitionedAt); readTimeAfterPartition > maxReadTimeAfterPartition {
		t.Errorf("the leader served reads until %v after it was isolated", readTimeAfterPartition)
	}
	if len(acknowledged) == 0 {
		t.Fatal("the majority acknowledged no write while the leader was isolated")
	}
	cluster.Heal()
	allHaveWrites := func() bool { return allListServers(cluster, acknowledged) }
	if err := processtest.Await(healTimeout, "the majority's writes at every instance", allHaveWrites); err != nil {
		t.Fatal(err)
	}
	t.Logf("the leader stopped serving reads %v after it was isolated; the majority acknowledged %d writes",
		lastRead.Sub(partitionedAt), len(acknowledged))
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

// allListServers reports whether the full list of every instance contains the servers with the given ids.
func allListServers(cluster *processtest.Cluster, ids []string) bool {
	for _, name := range instanceNames {
		for _, id := range ids {
			if !listsServer(cluster, name, id) {
				return false
			}
		}
	}
	return true
}
