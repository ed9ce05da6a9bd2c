package server_test

import (
	"fmt"
	"maps"
	"os"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

// staleBound is how old a read may be: max_stale (1 s) and the leader's lease (0.5 s), and 3 s for
// a crowded machine.
const staleBound = 4500 * time.Millisecond

// takenOver is the length of an outage in which the others have elected a leader and taken writes.
const takenOver = 5 * time.Second

// diskCase is an outage of the store of some instances.
type diskCase struct {
	name  string
	fault server.StoreFault
	who   func(lab *diskLab) []string
	// restart has the leader killed and started again once the fault is there, so that terms and
	// votes have to be saved.
	restart bool
	// short is the outage's length in a short run: one that is longer than staleBound shows that
	// reads end.
	short time.Duration
}

// outages are the lengths to play: of a run in full length those of issue 35.
func (c diskCase) outages() []time.Duration {
	if os.Getenv(longRuns) != "" {
		return []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}
	}
	return []time.Duration{c.short}
}

func leaderOnly(lab *diskLab) []string { return []string{lab.leader()} }

func followerOnly(lab *diskLab) []string { return followers(lab)[:1] }

func bothFollowers(lab *diskLab) []string { return followers(lab) }

func leaderAndFollower(lab *diskLab) []string { return append(followers(lab)[:1], lab.leader()) }

func followers(lab *diskLab) (out []string) {
	leader := lab.leader()
	for _, name := range lab.Names() {
		if name != leader {
			out = append(out, name)
		}
	}
	return out
}

var diskCases = []diskCase{
	{name: "log of the leader", fault: server.StoreFault{Log: true, Err: syscall.ENOSPC}, who: leaderOnly, short: 6 * time.Second},
	{name: "all of the leader, after the write", who: leaderOnly, short: 2 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.EIO}},
	{name: "log of the leader hangs", fault: server.StoreFault{Log: true, Hang: true}, who: leaderOnly, short: 8 * time.Second},
	{name: "log of a follower", fault: server.StoreFault{Log: true, Err: syscall.EIO}, who: followerOnly, short: 6 * time.Second},
	{name: "reads of a follower", fault: server.StoreFault{Read: true, Err: syscall.EIO}, who: followerOnly, short: time.Second},
	{name: "all of the followers", who: bothFollowers, short: 6 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Err: syscall.ENOSPC}},
	{name: "term and vote of a follower", who: followerOnly, restart: true, short: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.EIO}},
	{name: "term and vote of the followers", who: bothFollowers, restart: true, short: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.ENOSPC}},
	{name: "all of a majority, after the write", who: leaderAndFollower, short: 3 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.ENOSPC}},
}

// TestStoreOutages: in a burst of writes the store of instances fails for a while. No instance
// ends, each goes on after it, and the history of all clients is that of one list.
func TestStoreOutages(t *testing.T) {
	for _, c := range diskCases {
		for _, outage := range c.outages() {
			t.Run(fmt.Sprintf("%s/%v", c.name, outage), func(t *testing.T) { playOutage(t, c, outage) })
		}
	}
}

func playOutage(t *testing.T, c diskCase, outage time.Duration) {
	lab := startDiskLab(t, names, "")
	lab.run(4)
	time.Sleep(time.Second)
	failing, leader := c.who(lab), lab.leader()
	for _, name := range failing {
		lab.fail(name, c.fault)
	}
	if c.restart {
		if err := lab.Restart(leader); err != nil {
			t.Fatal(err)
		}
	}
	pids := lab.pids()
	before := len(lab.history.acknowledged())
	time.Sleep(outage)
	during := len(lab.history.acknowledged())
	for _, name := range failing {
		lab.fail(name, server.StoreFault{})
	}
	healed := time.Now()
	lab.await("a write after the outage", func() bool { return len(lab.history.acknowledged()) > during+10 })
	resumed := time.Since(healed)
	if err := lab.finish(staleBound); err != nil {
		t.Error(err)
	}
	if minority := len(failing) == 1; minority && outage >= takenOver && during == before {
		t.Errorf("no write in the outage of %v, a minority", failing)
	}
	if now := lab.pids(); !maps.Equal(pids, now) {
		t.Errorf("processes were %v, are %v", pids, now)
	}
	t.Logf("%v failed for %v: %d writes acknowledged before and %d in it, the next after %v, all instances alike after %v",
		failing, outage, before, during-before, resumed, time.Since(healed))
}
