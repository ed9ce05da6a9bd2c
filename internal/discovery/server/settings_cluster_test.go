package server_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// concurrentService is the service that two writers write at the same time.
	concurrentService = "two"
	// concurrentVersions is the number of its settings versions afterwards.
	concurrentVersions = 4
	// historyTimeout bounds the time until all instances have the same history.
	historyTimeout = 30 * time.Second
)

// TestSettingsUnderFaults: of two concurrent writers that name the version they replace, one
// succeeds; of two that name none, both do, in the same order at all instances. Then ten services
// get ten changes each, and the leader is killed after 30 of them and started again: every
// acknowledged change is in the history of each instance, once, and nothing else is.
func TestSettingsUnderFaults(t *testing.T) {
	cluster, _ := startClusterWithLeader(t)
	base := putSettingsAnywhere(cluster, concurrentService, server.SettingsText(1))
	mustAwait(t, "a leader that all instances know", func() bool { return allKnowLeader(cluster) })
	oneConflict := []int{http.StatusOK, http.StatusPreconditionFailed}
	checkConcurrentWrites(t, cluster, 10, fmt.Sprint(base), oneConflict)
	checkConcurrentWrites(t, cluster, 12, "", []int{http.StatusOK, http.StatusOK})

	acknowledged := changeSettings(t, cluster)
	killed := slices.DeleteFunc(slices.Clone(instanceNames), cluster.Running)
	if len(killed) != 1 {
		t.Fatalf("%d instances were killed, want the leader", len(killed))
	}
	if err := cluster.Start(killed[0]); err != nil {
		t.Fatal(err)
	}
	for service, want := range acknowledged {
		got := awaitHistory(t, cluster, service, want[0])
		if !slices.Equal(got, want) {
			t.Errorf("%s has versions %d, acknowledged were %d", service, got, want)
		}
	}
	if got := awaitHistory(t, cluster, concurrentService, 0); len(got) != concurrentVersions {
		t.Errorf("%s has versions %d, want %d of them", concurrentService, got, concurrentVersions)
	}
}

// allKnowLeader reports whether each instance knows a leader: one that does not answers a write with 503.
func allKnowLeader(cluster *processtest.Cluster) bool {
	knowsNone := func(name string) bool { return statusAt(cluster.Addr(name, processtest.AdminPort)).Leader == "" }
	return !slices.ContainsFunc(instanceNames, knowsNone)
}

// checkConcurrentWrites writes two settings at two instances at the same time, and checks the sorted
// status codes. The settings have the marks firstMark and the next one.
func checkConcurrentWrites(t *testing.T, cluster *processtest.Cluster, firstMark int, ifMatch string, want []int) {
	t.Helper()
	var got [2]response
	var writers sync.WaitGroup
	for i := range got {
		writers.Add(1)
		go func() {
			defer writers.Done()
			url := cluster.Addr(instanceNames[i+1], processtest.AdminPort) + endpoint.SettingsPath(concurrentService)
			got[i] = putSettings(url, server.SettingsText(firstMark+i), ifMatch)
		}()
	}
	writers.Wait()
	codes := []int{got[0].code, got[1].code}
	slices.Sort(codes)
	if !slices.Equal(codes, want) || got[0].version() == got[1].version() {
		t.Errorf("two concurrent writers, If-Match %q: %v, want %v", ifMatch, got, want)
	}
}

// changeSettings makes ten changes of ten services each and kills the leader after 30 of them. It
// returns the acknowledged versions by service, the newest first.
func changeSettings(t *testing.T, cluster *processtest.Cluster) map[string][]uint64 {
	t.Helper()
	const services, changes, changesBeforeKill = 10, 10, 30
	acknowledged := map[string][]uint64{}
	var mu sync.Mutex
	var writers sync.WaitGroup
	var done atomic.Int32
	for i := range services {
		writers.Add(1)
		go func() {
			defer writers.Done()
			service := fmt.Sprint("s-", i)
			for change := range changes {
				version := putSettingsAnywhere(cluster, service, server.SettingsText(change))
				if done.Add(1) == changesBeforeKill {
					killLeader(t, cluster)
				}
				mu.Lock()
				acknowledged[service] = slices.Insert(acknowledged[service], 0, version)
				mu.Unlock()
			}
		}()
	}
	writers.Wait()
	return acknowledged
}

// awaitHistory waits until all instances have the same history of a service, up to a version at
// least, and returns its versions, the newest first.
func awaitHistory(t *testing.T, cluster *processtest.Cluster, service string, version uint64) []uint64 {
	t.Helper()
	var history []server.SettingsVersion
	agree := func() bool {
		history = commonHistory(cluster, service)
		return len(history) > 0 && history[0].Version >= version
	}
	if err := processtest.Await(historyTimeout, "one history at all instances", agree); err != nil {
		t.Fatal(err)
	}
	var versions []uint64
	for _, settings := range history {
		versions = append(versions, settings.Version)
	}
	return versions
}
