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

// staleBound is how old a read may be: max_stale (1 s) and the leader's lease (0.5 s), and 3 s for a
// busy machine.
const staleBound = 4500 * time.Millisecond

// timeBeforeOutage is how long clients write before an outage, so that the history has writes and reads
// of all instances from before it.
const timeBeforeOutage = time.Second

// failoverTime is the length of an outage in which the other instances have elected a leader and
// acknowledged writes.
const failoverTime = 5 * time.Second

// outageCase is an outage of the stores of some instances.
type outageCase struct {
	name    string
	fault   server.StoreFault
	failing func(cluster *faultCluster) []string
	// restart says that the leader is killed and started again during the outage, so that terms
	// and votes have to be saved.
	restart bool
	// shortOutage is the length of the outage in a short run. One that is longer than staleBound
	// shows that reads end.
	shortOutage time.Duration
}

// outages returns the lengths of the outage to test.
func (c outageCase) outages() []time.Duration {
	if os.Getenv(longTestsVariable) != "" {
		return []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}
	}
	return []time.Duration{c.shortOutage}
}

// Selections of the instances whose stores fail.

func leaderOnly(cluster *faultCluster) []string { return []string{cluster.leader()} }

func followerOnly(cluster *faultCluster) []string { return cluster.followers()[:1] }

func bothFollowers(cluster *faultCluster) []string { return cluster.followers() }

func leaderAndFollower(cluster *faultCluster) []string {
	return append(cluster.followers()[:1], cluster.leader())
}

// outageCases are the outages of TestStoreOutages.
var outageCases = []outageCase{
	{name: "log of the leader", failing: leaderOnly, shortOutage: 6 * time.Second,
		fault: server.StoreFault{Log: true, Err: syscall.ENOSPC}},
	{name: "all of the leader, after the write", failing: leaderOnly, shortOutage: 2 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.EIO}},
	{name: "log of the leader hangs", failing: leaderOnly, shortOutage: 8 * time.Second,
		fault: server.StoreFault{Log: true, Hang: true}},
	{name: "log of a follower", failing: followerOnly, shortOutage: 6 * time.Second,
		fault: server.StoreFault{Log: true, Err: syscall.EIO}},
	{name: "reads of a follower", failing: followerOnly, shortOutage: time.Second,
		fault: server.StoreFault{Read: true, Err: syscall.EIO}},
	{name: "all of the followers", failing: bothFollowers, shortOutage: 6 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Err: syscall.ENOSPC}},
	{name: "term and vote of a follower", failing: followerOnly, restart: true, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.EIO}},
	{name: "term and vote of the followers", failing: bothFollowers, restart: true, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.ENOSPC}},
	{name: "all of a majority, after the write", failing: leaderAndFollower, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.ENOSPC}},
}

// TestStoreOutages: the stores of some instances fail for a while during writes. No instance ends,
// each continues after the outage, and the history of all clients is that of one list.
func TestStoreOutages(t *testing.T) {
	for _, c := range outageCases {
		for _, outage := range c.outages() {
			t.Run(fmt.Sprintf("%s/%v", c.name, outage), func(t *testing.T) { runOutage(t, c, outage) })
		}
	}
}

// runOutage runs one outage and checks the history.
func runOutage(t *testing.T, c outageCase, outage time.Duration) {
	t.Helper()
	cluster := startFaultCluster(t, instanceNames)
	cluster.startClients(4)
	time.Sleep(timeBeforeOutage)
	failing := c.failing(cluster)
	leader := cluster.leader()
	for _, name := range failing {
		cluster.setFault(name, c.fault)
	}
	if c.restart {
		if err := cluster.Restart(leader); err != nil {
			t.Fatal(err)
		}
	}
	pids := cluster.pids()
	before := len(cluster.recorder.acknowledged())
	time.Sleep(outage) // the time under test
	during := len(cluster.recorder.acknowledged())
	for _, name := range failing {
		cluster.setFault(name, server.StoreFault{})
	}
	healed := time.Now()
	cluster.await("a write after the outage", func() bool { return len(cluster.recorder.acknowledged()) > during+10 })
	resumed := time.Since(healed)
	if err := cluster.stopAndCheck(); err != nil {
		t.Error(err)
	}
	if minority := len(failing) == 1; minority && outage >= failoverTime && during == before {
		t.Errorf("no write in the outage of %v, a minority", failing)
	}
	if now := cluster.pids(); !maps.Equal(pids, now) {
		t.Errorf("processes were %v, are %v", pids, now)
	}
	t.Logf("%v failed for %v: %d writes acknowledged before and %d during the outage",
		failing, outage, before, during-before)
	t.Logf("writes again %v and the same list everywhere %v after the outage", resumed, time.Since(healed))
}
