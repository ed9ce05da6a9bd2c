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
const failoverTime = 5 * time.Second

// diskCase is an outage of the store of some instances.
type outageCase struct {
	name    string
	fault   server.StoreFault
	failing func(lab *faultCluster) []string
	// restart has the leader killed and started again once the fault is there, so that terms and
	// votes have to be saved.
	restart bool
	// short is the outage's length in a short run: one that is longer than staleBound shows that
	// reads end.
	shortOutage time.Duration
}

// outages are the lengths to play: of a run in full length those of issue 35.
func (c outageCase) outages() []time.Duration {
	if os.Getenv(longTestsVariable) != "" {
		return []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}
	}
	return []time.Duration{c.shortOutage}
}

func leaderOnly(lab *faultCluster) []string { return []string{lab.leader()} }

func followerOnly(lab *faultCluster) []string { return followers(lab)[:1] }

func bothFollowers(lab *faultCluster) []string { return followers(lab) }

func leaderAndFollower(lab *faultCluster) []string { return append(followers(lab)[:1], lab.leader()) }

func followers(lab *faultCluster) (out []string) {
	leader := lab.leader()
	for _, name := range lab.Names() {
		if name != leader {
			out = append(out, name)
		}
	}
	return out
}

var outageCases = []outageCase{
	{name: "log of the leader", fault: server.StoreFault{Log: true, Err: syscall.ENOSPC}, failing: leaderOnly, shortOutage: 6 * time.Second},
	{name: "all of the leader, after the write", failing: leaderOnly, shortOutage: 2 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.EIO}},
	{name: "log of the leader hangs", fault: server.StoreFault{Log: true, Hang: true}, failing: leaderOnly, shortOutage: 8 * time.Second},
	{name: "log of a follower", fault: server.StoreFault{Log: true, Err: syscall.EIO}, failing: followerOnly, shortOutage: 6 * time.Second},
	{name: "reads of a follower", fault: server.StoreFault{Read: true, Err: syscall.EIO}, failing: followerOnly, shortOutage: time.Second},
	{name: "all of the followers", failing: bothFollowers, shortOutage: 6 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Err: syscall.ENOSPC}},
	{name: "term and vote of a follower", failing: followerOnly, restart: true, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.EIO}},
	{name: "term and vote of the followers", failing: bothFollowers, restart: true, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.ENOSPC}},
	{name: "all of a majority, after the write", failing: leaderAndFollower, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.ENOSPC}},
}

// TestStoreOutages: in a burst of writes the store of instances fails for a while. No instance
// ends, each goes on after it, and the history of all clients is that of one list.
func TestStoreOutages(t *testing.T) {
	for _, c := range outageCases {
		for _, outage := range c.outages() {
			t.Run(fmt.Sprintf("%s/%v", c.name, outage), func(t *testing.T) { runOutage(t, c, outage) })
		}
	}
}

func runOutage(t *testing.T, c outageCase, outage time.Duration) {
	lab := startFaultCluster(t, instanceNames, "")
	lab.startClients(4)
	time.Sleep(time.Second)
	failing, leader := c.failing(lab), lab.leader()
	for _, name := range failing {
		lab.setFault(name, c.fault)
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
		lab.setFault(name, server.StoreFault{})
	}
	healed := time.Now()
	lab.await("a write after the outage", func() bool { return len(lab.history.acknowledged()) > during+10 })
	resumed := time.Since(healed)
	if err := lab.stopAndCheck(staleBound); err != nil {
		t.Error(err)
	}
	if minority := len(failing) == 1; minority && outage >= failoverTime && during == before {
		t.Errorf("no write in the outage of %v, a minority", failing)
	}
	if now := lab.pids(); !maps.Equal(pids, now) {
		t.Errorf("processes were %v, are %v", pids, now)
	}
	t.Logf("%v failed for %v: %d writes acknowledged before and %d in it, the next after %v, all instances alike after %v",
		failing, outage, before, during-before, resumed, time.Since(healed))
}
