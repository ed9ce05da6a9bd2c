package server_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/processtest"
)

// TestOpenWatchEndsWithItsLeader: a watch that is open on an instance ends with 503 within
// max_stale, as a fresh read would, once the instance is alone: a follower that lost its
// leader, and a leader that lost its followers.
func TestOpenWatchEndsWithItsLeader(t *testing.T) {
	for _, state := range []string{"Follower", "Leader"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			cfgs, nodes := startThreeNodes(t, 300*time.Millisecond)
			var v uint64
			stays := -1
			if err := processtest.Await(20*time.Second, "an instance to hang on", func() bool {
				v = putServer(cfgs[0].AdminAddr, "s-1")
				for i, c := range cfgs {
					if st := statusAt(c.AdminAddr); v != 0 && st.State == state && st.Version == v {
						stays = i
					}
				}
				return stays >= 0
			}); err != nil {
				t.Fatal(err)
			}
			got, begun := make(chan response, 1), time.Now()
			go func() {
				got <- request("GET", fmt.Sprintf("%s/api/targets?index=%d&wait=60000", cfgs[stays].HTTPAddr, v), "")
			}()
			for i, n := range nodes {
				if i != stays {
					n.Close()
				}
			}
			// ask itself gives up after 6 s.
			if a := <-got; a.code != http.StatusServiceUnavailable {
				t.Errorf("after %v: %v, want 503", time.Since(begun), a)
			}
		})
	}
}

// TestWatchFromTheFuture: a version that nobody gave gets the whole list from the leader and
// from a follower; one that a follower has not applied yet, as its link to the leader is
// slow, gets nothing older from it.
func TestWatchFromUnknownVersion(t *testing.T) {
	c := startCluster(t)
	lead := ""
	if err := processtest.Await(20*time.Second, "a leader and a write everywhere", func() bool {
		lead = leader(c)
		return lead != "" && putServerAnywhere(c, "s-1") != 0 && !slices.ContainsFunc(instanceNames, func(n string) bool { return !listsServer(c, n, "s-1") })
	}); err != nil {
		t.Fatal(err)
	}
	for _, n := range instanceNames {
		at := c.Addr(n, "http") + "/api/targets?wait=500&index="
		if l := request("GET", at+"99999", "").list(t); !l.Full || l.Version > 999 || len(l.Servers) != 1 {
			t.Errorf("%s (leader %s) answers version 99999 with %+v, want the whole list", n, lead, l)
		}
	}
	lag := instanceNames[(slices.Index(instanceNames, lead)+1)%3]
	slow, err := c.Link(lead, lag, "raft")
	if err != nil {
		t.Fatal(err)
	}
	slow.SetDelay(150 * time.Millisecond)
	for i := range 5 {
		v := putServer(c.Addr(lead, "admin"), fmt.Sprint("new-", i))
		a := request("GET", fmt.Sprintf("%s/api/targets?wait=0&index=%d", c.Addr(lag, "http"), v), "")
		if a.code == http.StatusServiceUnavailable {
			continue // it can't know: the caller goes to another
		}
		if l := a.list(t); l.Version < v || l.Full {
			t.Errorf("version %d of the leader's got %+v at a slow follower", v, l)
		}
	}
}
