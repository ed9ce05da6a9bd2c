package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// Load and timeouts of TestLeaderKilledDuringWrites.
const (
	writerCount      = 8
	writeCount       = 1000
	writesBeforeKill = 300
	// watcherWait is how long a watch waits for a change. watcherTimeout bounds the wait of the watcher
	// for the response.
	watcherWait    = 500 * time.Millisecond
	watcherTimeout = 3 * time.Second
	// watcherPause is the pause of a watcher after a failed request. It keeps the watcher from using the
	// instances' CPU time while no instance is reachable.
	watcherPause = 20 * time.Millisecond
	// watcherCatchUpTimeout bounds the wait until all watchers have the last write.
	watcherCatchUpTimeout = 30 * time.Second
)

// watcher watches the list as an agent does: after a failed request it continues at the next instance
// from the version that it has. It fails the test if a response has an older version than that.
type watcher struct {
	mu      sync.Mutex
	version uint64
	servers map[string]endpoint.Endpoint
}

// currentVersion returns the version of the watcher's list.
func (w *watcher) currentVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// run watches the list until stop is closed. It starts at the instance with the index firstInstance.
func (w *watcher) run(t *testing.T, cluster *processtest.Cluster, firstInstance int, stop <-chan struct{}) {
	t.Helper()
	client := &http.Client{Timeout: watcherTimeout}
	for instance := firstInstance; ; {
		select {
		case <-stop:
			return
		default:
		}
		address := cluster.Addr(instanceNames[instance%len(instanceNames)], processtest.HTTPPort)
		if !w.watchOnce(t, client, address) {
			instance++
		}
	}
}

// watchOnce makes one watch request to an instance and reports whether the instance served it.
func (w *watcher) watchOnce(t *testing.T, client *http.Client, address string) bool {
	t.Helper()
	url := watchURL(address, fmt.Sprintf("index=%d&wait=%d", w.currentVersion(), watcherWait.Milliseconds()))
	resp, err := get(t.Context(), client, url)
	if err != nil {
		time.Sleep(watcherPause)
		return false
	}
	defer closeBody(resp)
	var list endpoint.List
	if json.NewDecoder(resp.Body).Decode(&list) != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	w.apply(t, list)
	return true
}

// apply updates the watcher's list with the response to a watch.
func (w *watcher) apply(t *testing.T, list endpoint.List) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Version < w.version {
		t.Errorf("watch from version %d returned the older version %d", w.version, list.Version)
	}
	if list.Full {
		w.servers = map[string]endpoint.Endpoint{}
	}
	for _, server := range list.Servers {
		if server.State == endpoint.StateRemoved {
			delete(w.servers, server.ID)
		} else {
			w.servers[server.ID] = server
		}
	}
	w.version = list.Version
}

// TestLeaderKilledDuringWrites kills the leader while eight writers make 1,000 writes, after 300 of them
// are acknowledged, and starts the instance again after the writes. It checks that no two acknowledged
// writes have the same version, and that all watchers end with the same list, which has all of them.
func TestLeaderKilledDuringWrites(t *testing.T) {
	cluster, _ := startClusterWithLeader(t)
	stop := make(chan struct{})
	watchers := make([]*watcher, len(instanceNames))
	var watching sync.WaitGroup
	for i := range watchers {
		watchers[i] = &watcher{servers: map[string]endpoint.Endpoint{}}
		watching.Add(1)
		go func() {
			defer watching.Done()
			watchers[i].run(t, cluster, i, stop)
		}()
	}
	acknowledged, killed := writeAndKillLeader(t, cluster)
	if err := cluster.Start(killed); err != nil {
		t.Fatal(err)
	}
	err := processtest.Await(watcherCatchUpTimeout, "the last write at every watcher", func() bool {
		return allHaveVersion(watchers, lastVersion(acknowledged))
	})
	close(stop)
	watching.Wait()
	if err != nil {
		t.Fatal(err)
	}
	checkWatchers(t, watchers, acknowledged)
	t.Logf("%d of %d writes acknowledged; leader %s killed after %d; %d events in the cluster's history",
		len(acknowledged), writeCount, killed, writesBeforeKill, len(cluster.History()))
}

// writeAndKillLeader makes the writes and kills the leader during them. It returns the ids of the
// acknowledged writes by version, and the name of the killed instance.
func writeAndKillLeader(t *testing.T, cluster *processtest.Cluster) (acknowledged map[uint64]string, killed string) {
	t.Helper()
	acknowledged = map[uint64]string{}
	var mu sync.Mutex
	record := func(version uint64, id string) (count int) {
		mu.Lock()
		defer mu.Unlock()
		if version == 0 {
			return len(acknowledged)
		}
		if other, ok := acknowledged[version]; ok {
			t.Errorf("%s and %s both acknowledged with version %d", other, id, version)
		}
		acknowledged[version] = id
		return len(acknowledged)
	}
	killedNames := make(chan string, 1)
	var writers sync.WaitGroup
	for writer := range writerCount {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for i := writer; i < writeCount; i += writerCount {
				id := fmt.Sprintf("s-%04d", i)
				if record(putServerAnywhere(cluster, id), id) == writesBeforeKill {
					killedNames <- killLeader(t, cluster)
				}
			}
		}()
	}
	writers.Wait()
	return acknowledged, <-killedNames
}

// lastVersion returns the highest version of the acknowledged writes.
func lastVersion(acknowledged map[uint64]string) uint64 {
	var last uint64
	for version := range acknowledged {
		last = max(last, version)
	}
	return last
}

// allHaveVersion reports whether all watchers have the given version or a later one.
func allHaveVersion(watchers []*watcher, version uint64) bool {
	for _, w := range watchers {
		if w.currentVersion() < version {
			return false
		}
	}
	return true
}

// checkWatchers checks that all watchers have all acknowledged writes and the same number of entries.
// The watchers must have stopped.
func checkWatchers(t *testing.T, watchers []*watcher, acknowledged map[uint64]string) {
	t.Helper()
	for i, w := range watchers {
		for _, id := range acknowledged {
			if _, ok := w.servers[id]; !ok {
				t.Fatalf("watcher %d lacks the acknowledged write of %s", i, id)
			}
		}
		if len(w.servers) != len(watchers[0].servers) {
			t.Fatalf("watcher %d has %d entries, watcher 0 has %d", i, len(w.servers), len(watchers[0].servers))
		}
	}
}
