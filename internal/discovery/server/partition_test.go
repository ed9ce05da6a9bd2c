package server_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// TestLeaderPartitionedAway: the leader is cut off from both followers for 10 s and then
// healed. Its reads stop within max_stale (1 s) and its lease (0.5 s) and a margin; the
// other two elect a leader and take writes; nothing written on the cut-off side is
// acknowledged; after the heal every instance holds every acknowledged write.
func TestPartitionedLeader(t *testing.T) {
	c := startCluster(t)
	if err := processtest.Await(20*time.Second, "a leader", func() bool { return leader(c) != "" }); err != nil {
		t.Fatal(err)
	}
	old := leader(c)
	var rest []string
	for _, n := range instanceNames {
		if n != old {
			rest = append(rest, n)
		}
	}
	if putServerAnywhere(c, "before") == 0 {
		t.Fatal("no write before the partition")
	}
	c.Partition([]string{old}, rest)
	cut := time.Now()
	lastRead := cut
	acked := map[string]bool{}
	for i := 0; time.Since(cut) < 10*time.Second; i++ {
		if resp, err := http.Get("http://" + c.Addr(old, "http") + "/api/targets"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				lastRead = time.Now()
			}
		}
		id := fmt.Sprintf("cut-%d", i)
		if putServer(c.Addr(old, "admin"), id) != 0 {
			t.Errorf("%s acknowledged by %s, cut off from the majority %v after the cut", id, old, time.Since(cut))
		}
		if id := fmt.Sprintf("major-%d", i); putServer(c.Addr(rest[i%2], "admin"), id) != 0 {
			acked[id] = true
		}
		time.Sleep(50 * time.Millisecond)
	}
	if stale := lastRead.Sub(cut); stale > 2500*time.Millisecond {
		t.Errorf("the cut-off instance served reads %v after the cut", stale)
	}
	if len(acked) == 0 {
		t.Fatal("the majority took no write while the leader was cut off")
	}
	c.Heal()
	err := processtest.Await(20*time.Second, "every instance at the majority's writes", func() bool {
		for _, n := range instanceNames {
			for id := range acked {
				if !listsServer(c, n, id) {
					return false
				}
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("reads of the cut-off side stopped %v after the cut; %d writes on the majority side",
		lastRead.Sub(cut), len(acked))
}
