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
	// concurrentService is the service whose settings two writers write at the same time.
	concurrentService = "two"
	// concurrentVersions is the number of settings versions of concurrentService after these writes.
	concurrentVersions = 4
	// historyTimeout bounds the wait until all instances have the same history.
	historyTimeout = 30 * time.Second
)

// TestSettingsUnderFaults checks that of two concurrent writes with If-Match one succeeds, and that
// without If-Match both succeed. It then changes the settings of ten services ten times each, kills the
// leader after 30 of these changes and starts it again. The histories of all instances must be the same,
// and must have each acknowledged change once and nothing else.
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

// allKnowLeader reports whether each instance knows a leader. An instance that knows none responds to
// writes with 503.
func allKnowLeader(cluster *processtest.Cluster) bool {
	knowsNone := func(name string) bool { return statusAt(cluster.Addr(name, processtest.AdminPort)).Leader == "" }
	return !slices.ContainsFunc(instanceNames, knowsNone)
}

// checkConcurrentWrites makes two writes of settings at two instances at the same time, and checks the
// sorted status codes. roundMs of the settings is firstRoundMs and firstRoundMs+1.
func checkConcurrentWrites(t *testing.T, cluster *processtest.Cluster, firstRoundMs int, ifMatch string, want []int) {
	t.Helper()
	var got [2]response
	var writers sync.WaitGroup
	for i := range got {
		writers.Add(1)
		go func() {
			defer writers.Done()
			url := cluster.Addr(instanceNames[i+1], processtest.AdminPort) + endpoint.SettingsPath(concurrentService)
			got[i] = putSettings(url, server.SettingsText(firstRoundMs+i), ifMatch)
		}()
	}
	writers.Wait()
	codes := []int{got[0].code, got[1].code}
	slices.Sort(codes)
	if !slices.Equal(codes, want) || got[0].version() == got[1].version() {
		t.Errorf("two concurrent writers, If-Match %q: %v, want %v", ifMatch, got, want)
	}
}

// changeSettings changes the settings of ten services ten times each, and kills the leader after 30
// changes. It returns the acknowledged versions by service, newest first.
func changeSettings(t *testing.T, cluster *processtest.Cluster) map[string][]uint64 {
	t.Helper()
	const services, changes, changesBeforeKill = 10, 10, 30
	acknowledged := map[string][]uint64{}
	var mu sync.Mutex
	var writers sync.WaitGroup
	var changesMade atomic.Int32
	for i := range services {
		writers.Add(1)
		go func() {
			defer writers.Done()
			service := fmt.Sprint("s-", i)
			for change := range changes {
				version := putSettingsAnywhere(cluster, service, server.SettingsText(change))
				if changesMade.Add(1) == changesBeforeKill {
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

// awaitHistory waits until all instances have the same history of a service's settings, whose newest
// version is at least the given one. It returns the versions, newest first.
func awaitHistory(t *testing.T, cluster *processtest.Cluster, service string, version uint64) []uint64 {
	t.Helper()
	var history []server.SettingsVersion
	agree := func() bool {
		history = commonHistory(cluster, service)
		return len(history) > 0 && history[0].Version >= version
	}
	if err := processtest.Await(historyTimeout, "the same history at all instances", agree); err != nil {
		t.Fatal(err)
	}
	var versions []uint64
	for _, settings := range history {
		versions = append(versions, settings.Version)
	}
	return versions
}
