package listsvc_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"clayproxy.example/clayproxy/internal/cluster"
)

// TestOpenWatchEndsWithItsLeader: a watch that is open on an instance ends with 503 within
// max_stale, as a fresh read would, once the instance is alone: a follower that lost its
// leader, and a leader that lost its followers.
func TestOpenWatchEndsWithItsLeader(t *testing.T) {
	for _, state := range []string{"Follower", "Leader"} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			cfgs, nodes := threeNodes(t, 300*time.Millisecond)
			var v uint64
			stays := -1
			if err := cluster.Await(20*time.Second, "an instance to hang on", func() bool {
				v = write(cfgs[0].AdminAddr, "s-1")
				for i, c := range cfgs {
					if st := statusAt(c.AdminAddr); v != 0 && st.State == state && st.Version == v {
						stays = i
					}
				}
				return stays >= 0
			}); err != nil {
				t.Fatal(err)
			}
			got, begun := make(chan answer, 1), time.Now()
			go func() {
				got <- ask("GET", fmt.Sprintf("%s/api/targets?index=%d&wait=60000", cfgs[stays].HTTPAddr, v), "")
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
