package server_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

var instanceNames = []string{"n1", "n2", "n3"}

// startList builds cmd/discovery and runs three instances whose Raft links pass through
// the harness's proxies.
func startCluster(t *testing.T) *processtest.Cluster {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "discovery")
	if out, err := exec.Command("go", "build", "-o", bin, "../../../cmd/discovery").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	c, err := processtest.New(processtest.Config{Binary: bin, Dir: dir, Names: instanceNames,
		Ports: []string{"raft", "http", "admin"}, Args: serveArguments(t, dir)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	for _, n := range instanceNames {
		if err := c.Start(n); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func serveArguments(t *testing.T, dir string) func(*processtest.Cluster, string) []string {
	return func(c *processtest.Cluster, name string) []string {
		var b strings.Builder
		fmt.Fprintf(&b, "id = %q\ndata_dir = %q\nraft_addr = \"fd:3\"\nhttp_addr = \"fd:4\"\n"+
			"admin_addr = \"fd:5\"\nbootstrap = %v\nmax_stale = \"1s\"\n", name,
			filepath.Join(dir, name), name == "n1")
		for _, p := range instanceNames {
			if p == name {
				continue
			}
			l, err := c.Link(name, p, "raft")
			if err != nil {
				t.Error(err)
			}
			fmt.Fprintf(&b, "[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", p, l.Addr(), c.Addr(p, "admin"))
		}
		path := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
			t.Error(err)
		}
		return []string{"serve", "--config", path}
	}
}

// statusAt is an instance's status by its admin address; zero where it does not answer.
func statusAt(admin string) (st server.Status) {
	resp, err := http.Get("http://" + admin + "/v1/status")
	if err == nil {
		json.NewDecoder(resp.Body).Decode(&st)
		resp.Body.Close()
	}
	return st
}

func leader(c *processtest.Cluster) string {
	for _, n := range instanceNames {
		if statusAt(c.Addr(n, "admin")).State == "Leader" {
			return n
		}
	}
	return ""
}

// writer makes the tests' writes: longer than a write may wait for its commit.
var writeClient = &http.Client{Timeout: 6 * time.Second}

// write puts one entry at an admin address, following a redirect to the leader; it gives
// the acknowledged write's version, or 0 where it was not acknowledged.
func putServer(admin, id string) uint64 {
	body, _ := json.Marshal(endpoint.Endpoint{ID: id, Addr: "127.0.0.1:9", Zone: "a", State: "up", Weight: 1})
	req, _ := http.NewRequest(http.MethodPut, "http://"+admin+"/v1/servers/"+id, bytes.NewReader(body))
	resp, err := writeClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var v struct{ Version uint64 }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&v) != nil {
		return 0
	}
	return v.Version
}

// put writes one entry through any instance, moving on at a failure; it gives the
// version of the acknowledged write, or 0 if none was acknowledged within 20 s.
func putServerAnywhere(c *processtest.Cluster, id string) uint64 {
	for try, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); try++ {
		if v := putServer(c.Addr(instanceNames[try%3], "admin"), id); v != 0 {
			return v
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0
}

// listed tells whether an instance's whole list names the id.
func listsServer(c *processtest.Cluster, name, id string) bool {
	resp, err := http.Get("http://" + c.Addr(name, "http") + "/api/targets")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var l endpoint.List
	json.NewDecoder(resp.Body).Decode(&l)
	for _, s := range l.Servers {
		if s.ID == id {
			return true
		}
	}
	return false
}

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
