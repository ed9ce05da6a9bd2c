package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
)

// histories are all instances' histories of a service; the same of all, or nil.
func commonHistory(c *processtest.Cluster, service string) (kept []server.SettingsVersion) {
	var first response
	for _, n := range instanceNames {
		a := request("GET", c.Addr(n, "admin")+"/v1/settings/"+service+"/history", "")
		if first.code == 0 {
			first = a
		}
		if a.code != http.StatusOK || a != first {
			return nil
		}
	}
	json.Unmarshal([]byte(first.body), &kept)
	return kept
}

// putSettings writes through any instance, moving on at a failure, and gives the version.
func putSettingsAnywhere(c *processtest.Cluster, service, text string) uint64 {
	for try, end := 0, time.Now().Add(20*time.Second); time.Now().Before(end); try++ {
		if v := request("PUT", c.Addr(instanceNames[try%3], "admin")+"/v1/settings/"+service, text).version(); v != 0 {
			return v
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 0
}

// TestSettingsUnderFaults: of two writers at one moment who name the version they replace
// one writes, and of two who name none both do, in one order everywhere. Then 100 changes of
// ten services with the leader killed after 30, and started again: every acknowledged one is
// in every instance's history, once, and nothing else is.
func TestSettingsUnderFaults(t *testing.T) {
	c := startCluster(t)
	if err := processtest.Await(20*time.Second, "a leader", func() bool { return leader(c) != "" }); err != nil {
		t.Fatal(err)
	}
	base := putSettingsAnywhere(c, "two", settingsText(1))
	for round, header := range [][]string{{"If-Match", fmt.Sprint(base)}, nil} {
		var got [2]response
		var both sync.WaitGroup
		for w := range got {
			both.Add(1)
			go func() {
				defer both.Done()
				got[w] = request("PUT", c.Addr(instanceNames[w+1], "admin")+"/v1/settings/two", settingsText(10+2*round+w), header...)
			}()
		}
		both.Wait()
		codes := []int{got[0].code, got[1].code}
		slices.Sort(codes)
		if want := []int{200, []int{412, 200}[round]}; !slices.Equal(codes, want) || got[0].version() == got[1].version() {
			t.Errorf("two writers at one moment, If-Match %v: %v", header, got)
		}
	}
	var mu sync.Mutex
	var writers sync.WaitGroup
	var done atomic.Int32
	acked := map[string][]uint64{"two": nil}
	for s := range 10 {
		writers.Add(1)
		go func() {
			defer writers.Done()
			service := fmt.Sprint("s-", s)
			for i := range 10 {
				v := putSettingsAnywhere(c, service, settingsText(i))
				if done.Add(1) == 30 {
					for l := ""; l == ""; c.Kill(l) {
						l = leader(c)
					}
				}
				mu.Lock()
				acked[service] = append([]uint64{v}, acked[service]...) // the newest first
				mu.Unlock()
			}
		}()
	}
	writers.Wait()
	killed := slices.DeleteFunc(slices.Clone(instanceNames), c.Running)
	if len(killed) != 1 {
		t.Fatalf("%d instances were killed, want the leader", len(killed))
	}
	if err := c.Start(killed[0]); err != nil {
		t.Fatal(err)
	}
	for service, versions := range acked {
		var kept []server.SettingsVersion
		if err := processtest.Await(30*time.Second, "one history everywhere", func() bool {
			kept = commonHistory(c, service)
			return len(kept) > 0 && (service == "two" || kept[0].Version >= versions[0])
		}); err != nil {
			t.Fatal(err)
		}
		var got []uint64
		for _, k := range kept {
			got = append(got, k.Version)
		}
		if service == "two" && len(got) != 4 || service != "two" && !slices.Equal(got, versions) {
			t.Errorf("%s keeps versions %d, acknowledged were %d", service, got, versions)
		}
	}
}
