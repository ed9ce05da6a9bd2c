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
	loadWriters      = 8
	loadWrites       = 1000
	writesBeforeKill = 300
	// watcherWait is how long a watch waits for a change, watcherTimeout how long a watcher waits for the
	// response.
	watcherWait    = 500 * time.Millisecond
	watcherTimeout = 3 * time.Second
	// watcherPause is the pause of a watcher after a call that failed, so that it does not take the
	// processor from the instances while none is reached.
	watcherPause = 20 * time.Millisecond
	// watcherCatchUpTimeout bounds the time until all watchers have the last write.
	watcherCatchUpTimeout = 30 * time.Second
)

// watcher watches the list as an agent does: after a failure it continues at the next instance from
// the version that it has. It fails the test if a version is older than that.
type watcher struct {
	mu      sync.Mutex
	version uint64
	servers map[string]endpoint.Endpoint
}

// currentVersion returns the version that the watcher has.
func (w *watcher) currentVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// run watches until stop is closed, at first at the numbered instance.
func (w *watcher) run(t *testing.T, cluster *processtest.Cluster, first int, stop <-chan struct{}) {
	t.Helper()
	client := &http.Client{Timeout: watcherTimeout}
	for instance := first; ; {
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

// watchOnce makes one watch at an instance, and reports whether the instance served it.
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

// apply applies the response to a watch.
func (w *watcher) apply(t *testing.T, list endpoint.List) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	if list.Version < w.version {
		t.Errorf("watch went back from version %d to %d", w.version, list.Version)
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

// TestLeaderKilledDuringWrites: eight writers make 1,000 writes; the leader is killed after 300 are
// acknowledged, and started again. No acknowledged write is lost, no two have the same version, and
// all watchers have the same list in the end, with all acknowledged writes.
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
		return haveVersion(watchers, lastVersion(acknowledged))
	})
	close(stop)
	watching.Wait()
	if err != nil {
		t.Fatal(err)
	}
	checkWatchers(t, watchers, acknowledged)
	t.Logf("%d of %d writes acknowledged; leader %s killed at %d; history of %d events",
		len(acknowledged), loadWrites, killed, writesBeforeKill, len(cluster.History()))
}

// writeAndKillLeader makes the writes and kills the leader. It returns the ids of the acknowledged
// writes by version, and the killed instance.
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
			t.Errorf("%s and %s both acknowledged at version %d", other, id, version)
		}
		acknowledged[version] = id
		return len(acknowledged)
	}
	killedNames := make(chan string, 1)
	var writers sync.WaitGroup
	for writer := range loadWriters {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for i := writer; i < loadWrites; i += loadWriters {
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

// lastVersion returns the latest version of the acknowledged writes.
func lastVersion(acknowledged map[uint64]string) uint64 {
	var last uint64
	for version := range acknowledged {
		last = max(last, version)
	}
	return last
}

// haveVersion reports whether all watchers have a version or a later one.
func haveVersion(watchers []*watcher, version uint64) bool {
	for _, w := range watchers {
		if w.currentVersion() < version {
			return false
		}
	}
	return true
}

// checkWatchers checks that all watchers, which have ended, have the same list with all writes.
func checkWatchers(t *testing.T, watchers []*watcher, acknowledged map[uint64]string) {
	t.Helper()
	for i, w := range watchers {
		for _, id := range acknowledged {
			if _, ok := w.servers[id]; !ok {
				t.Fatalf("watcher %d lacks acknowledged %s", i, id)
			}
		}
		if len(w.servers) != len(watchers[0].servers) {
			t.Fatalf("watcher %d has %d entries, watcher 0 has %d", i, len(w.servers), len(watchers[0].servers))
		}
	}
}
