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

// watcher follows the list as an agent would, moving to the next instance at a failure
// and resuming from the version it has; it fails the test if a version goes back.
type watcher struct {
	mu      sync.Mutex
	version uint64
	list    map[string]endpoint.Endpoint
}

func (w *watcher) run(t *testing.T, c *processtest.Cluster, first int, stop <-chan struct{}) {
	client := &http.Client{Timeout: 3 * time.Second}
	for i := first; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		w.mu.Lock()
		url := fmt.Sprintf("http://%s/api/targets?index=%d&wait=500", c.Addr(instanceNames[i%3], "http"), w.version)
		w.mu.Unlock()
		resp, err := client.Get(url)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		var l endpoint.List
		err = json.NewDecoder(resp.Body).Decode(&l)
		resp.Body.Close()
		if err != nil || resp.StatusCode != http.StatusOK {
			continue
		}
		w.apply(t, l)
		i-- // stay while it answers
	}
}

func (w *watcher) apply(t *testing.T, l endpoint.List) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l.Version < w.version {
		t.Errorf("watch went back from version %d to %d", w.version, l.Version)
	}
	if l.Full {
		w.list = map[string]endpoint.Endpoint{}
	}
	for _, s := range l.Servers {
		if s.State == "removed" {
			delete(w.list, s.ID)
		} else {
			w.list[s.ID] = s
		}
	}
	w.version = l.Version
}

// TestLeaderKilledDuringWrites: 1,000 writes by eight writers, the leader SIGKILLed after
// 300 acknowledged and started again; no acknowledged write is lost, no two share a
// version, and every watcher ends at the same list, which holds them all.
func TestLeaderKilledDuringWrites(t *testing.T) {
	c := startCluster(t)
	if err := processtest.Await(20*time.Second, "a leader", func() bool { return leader(c) != "" }); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	watchers := make([]*watcher, 3)
	var wg sync.WaitGroup
	for i := range watchers {
		watchers[i] = &watcher{list: map[string]endpoint.Endpoint{}}
		wg.Add(1)
		go func() { defer wg.Done(); watchers[i].run(t, c, i, stop) }()
	}
	var mu sync.Mutex
	acked := map[uint64]string{}
	killed := make(chan string, 1)
	var writers sync.WaitGroup
	for w := range 8 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			for i := w; i < 1000; i += 8 {
				id := fmt.Sprintf("s-%04d", i)
				v := putServerAnywhere(c, id)
				mu.Lock()
				if v != 0 {
					if other, ok := acked[v]; ok {
						t.Errorf("%s and %s both acknowledged at version %d", other, id, v)
					}
					acked[v] = id
				}
				n := len(acked)
				mu.Unlock()
				if n == 300 {
					l := leader(c)
					c.Kill(l)
					killed <- l
				}
			}
		}()
	}
	writers.Wait()
	l := <-killed
	if err := c.Start(l); err != nil {
		t.Fatal(err)
	}
	var top uint64
	for v := range acked {
		top = max(top, v)
	}
	err := processtest.Await(30*time.Second, "every watcher at the last write", func() bool {
		for _, w := range watchers {
			w.mu.Lock()
			v := w.version
			w.mu.Unlock()
			if v < top {
				return false
			}
		}
		return true
	})
	close(stop)
	wg.Wait()
	if err != nil {
		t.Fatal(err)
	}
	for i, w := range watchers {
		for _, id := range acked {
			if _, ok := w.list[id]; !ok {
				t.Fatalf("watcher %d lacks acknowledged %s", i, id)
			}
		}
		if len(w.list) != len(watchers[0].list) {
			t.Fatalf("watcher %d holds %d entries, watcher 0 %d", i, len(w.list), len(watchers[0].list))
		}
	}
	t.Logf("%d of 1000 writes acknowledged; leader %s killed at 300; history %d events",
		len(acked), l, len(c.History()))
}
