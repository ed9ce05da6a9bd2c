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

// maxReadAge bounds the age of a list that an instance serves: max_stale (1 s), the leader lease (0.5 s),
// and 3 s for delays on a busy machine.
const maxReadAge = 4500 * time.Millisecond

// timeBeforeOutage is how long the clients run before an outage. The history then has writes and reads
// at all instances from before the outage.
const timeBeforeOutage = time.Second

// failoverDuration is the time within which the other instances elect a leader and acknowledge writes
// during an outage of one instance's store.
const failoverDuration = 5 * time.Second

// outageCase is an outage of the stores of some instances.
type outageCase struct {
	name          string
	fault         server.StoreFault
	selectFailing func(cluster *faultCluster) []string
	// restart reports whether the leader is killed and started again at the start of the outage. Terms and
	// votes must then be saved during the outage.
	restart bool
	// shortOutage is the length of the outage unless longTestsVariable is set. An outage longer than
	// maxReadAge also checks that instances stop serving stale reads.
	shortOutage time.Duration
}

// durations returns the outage lengths to test.
func (c outageCase) durations() []time.Duration {
	if os.Getenv(longTestsVariable) != "" {
		return []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}
	}
	return []time.Duration{c.shortOutage}
}

// Functions that select the instances whose stores fail.

func leaderOnly(cluster *faultCluster) []string { return []string{cluster.leader()} }

func followerOnly(cluster *faultCluster) []string { return cluster.followers()[:1] }

func bothFollowers(cluster *faultCluster) []string { return cluster.followers() }

func leaderAndFollower(cluster *faultCluster) []string {
	return append(cluster.followers()[:1], cluster.leader())
}

// outageCases are the cases of TestStoreOutages. "After the write" means that the failing writes reach
// the file.
var outageCases = []outageCase{
	{name: "log of the leader", selectFailing: leaderOnly, shortOutage: 6 * time.Second,
		fault: server.StoreFault{Log: true, Err: syscall.ENOSPC}},
	{name: "log, term and vote of the leader, after the write", selectFailing: leaderOnly, shortOutage: 2 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.EIO}},
	{name: "log of the leader hangs", selectFailing: leaderOnly, shortOutage: 8 * time.Second,
		fault: server.StoreFault{Log: true, Hang: true}},
	{name: "log of a follower", selectFailing: followerOnly, shortOutage: 6 * time.Second,
		fault: server.StoreFault{Log: true, Err: syscall.EIO}},
	{name: "reads of a follower", selectFailing: followerOnly, shortOutage: time.Second,
		fault: server.StoreFault{Read: true, Err: syscall.EIO}},
	{name: "log, term and vote of the followers", selectFailing: bothFollowers, shortOutage: 6 * time.Second,
		fault: server.StoreFault{Log: true, Stable: true, Err: syscall.ENOSPC}},
	{name: "term and vote of a follower", selectFailing: followerOnly, restart: true, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.EIO}},
	{name: "term and vote of the followers", selectFailing: bothFollowers, restart: true, shortOutage: 3 * time.Second,
		fault: server.StoreFault{Stable: true, Err: syscall.ENOSPC}},
	{name: "log, term and vote of a majority, after the write", selectFailing: leaderAndFollower,
		shortOutage: 3 * time.Second,
		fault:       server.StoreFault{Log: true, Stable: true, Applied: true, Err: syscall.ENOSPC}},
}

// TestStoreOutages makes the stores of some instances fail for a while during writes. It checks that no
// instance exits, that writes are acknowledged again after the outage, and that the clients' history is
// consistent.
func TestStoreOutages(t *testing.T) {
	for _, c := range outageCases {
		for _, outage := range c.durations() {
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
	failing := c.selectFailing(cluster)
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
	if minority := len(failing) == 1; minority && outage >= failoverDuration && during == before {
		t.Errorf("no write acknowledged during the outage of a minority, %v", failing)
	}
	if now := cluster.pids(); !maps.Equal(pids, now) {
		t.Errorf("process IDs changed from %v to %v", pids, now)
	}
	t.Logf("%v failed for %v: %d writes acknowledged before and %d during the outage",
		failing, outage, before, during-before)
	t.Logf("writes acknowledged %v after the outage, the same list at all instances %v after it",
		resumed, time.Since(healed))
}
