package server_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
)

// storeFileName is the file in a data directory that contains Raft's log, term and vote.
const storeFileName = "raft.db"

// fastElection is a configOption with which a single-instance cluster soon has its leader.
func fastElection(file *processtest.DiscoveryFile) { file.ElectionTimeout = singleNodeElectionTimeout }

const (
	// maxTimeToKill bounds the time from the start of an instance until it is killed. The time is random,
	// so that the kill can interrupt a write at any step.
	maxTimeToKill = 300 * time.Millisecond
	// firstReadInterval is the time between two attempts at the first read from an instance. It is short,
	// so that the first successful read comes soon after the instance starts to serve reads.
	firstReadInterval = time.Millisecond
)

// killCount returns how often TestKilledDuringWrites kills the instance.
func killCount() int {
	if os.Getenv(longTestsVariable) != "" {
		return 200
	}
	return 6
}

// TestKilledDuringWrites checks that no acknowledged write is lost if an instance is killed at random
// times during writes and started again. The cluster has a single instance, so a write that is not on
// its disk is lost.
func TestKilledDuringWrites(t *testing.T) {
	cluster := startFaultCluster(t, []string{soleInstance}, fastElection)
	cluster.startClients(8)
	for range killCount() {
		time.Sleep(randomBelow(maxTimeToKill))
		before := len(cluster.recorder.acknowledged())
		if err := cluster.Restart(soleInstance); err != nil {
			t.Fatal(err)
		}
		cluster.await("writes after the kill", func() bool { return len(cluster.recorder.acknowledged()) > before+8 })
	}
	if err := cluster.stopAndCheck(); err != nil {
		t.Error(err)
	}
	t.Logf("%d kills, %d writes acknowledged", killCount(), len(cluster.recorder.acknowledged()))
}

// TestHistoryCheckFindsUnsyncedWrites checks that the history check fails for an instance that
// acknowledged a write without storing it and was then killed.
func TestHistoryCheckFindsUnsyncedWrites(t *testing.T) {
	cluster := startFaultCluster(t, []string{soleInstance}, fastElection)
	cluster.setFault(soleInstance, server.StoreFault{Unsynced: true})
	if !cluster.write(soleInstance, "unsynced") {
		t.Fatal("write not acknowledged")
	}
	cluster.setFault(soleInstance, server.StoreFault{})
	if err := cluster.Restart(soleInstance); err != nil {
		t.Fatal(err)
	}
	cluster.await("a leader", func() bool { return cluster.leader() != "" })
	if err := cluster.stopAndCheck(); err == nil {
		t.Error("history check returned no error for a lost write")
	}
}

// TestRestartServesAcknowledgedWrites checks that the first list that a restarted instance serves has all
// writes that the instance acknowledged before.
func TestRestartServesAcknowledgedWrites(t *testing.T) {
	cluster := startFaultCluster(t, []string{soleInstance}, fastElection)
	for i := range 20 {
		cluster.write(soleInstance, fmt.Sprint("s-", i))
	}
	acknowledged := cluster.recorder.acknowledged()
	for range 10 {
		if err := cluster.Restart(soleInstance); err != nil {
			t.Fatal(err)
		}
		var read readRecord
		isServed := func() (served bool) {
			read, served = cluster.read(soleInstance)
			return served
		}
		if err := processtest.AwaitEvery(firstReadInterval, convergenceTimeout, "a first read", isServed); err != nil {
			t.Fatal(err)
		}
		if err := checkContainsAll(read, acknowledged); err != nil {
			t.Fatalf("first read, at version %d: %v", read.version, err)
		}
	}
}

// damageCase is one way to damage a data directory.
type damageCase struct {
	name  string
	apply func(dir string) error
}

// truncateTo returns a function that truncates a data directory's store. The new size is a function of
// the old one.
func truncateTo(size func(int64) int64) func(string) error {
	return func(dir string) error {
		path := filepath.Join(dir, storeFileName)
		info, err := os.Stat(path)
		if err != nil {
			return err
		}
		return os.Truncate(path, size(info.Size()))
	}
}

// tearPage returns a function that overwrites the second half of one page of a data directory's store
// with zeros, as if only the first half had been written.
func tearPage(page int64) func(string) error {
	return func(dir string) error {
		file, err := os.OpenFile(filepath.Join(dir, storeFileName), os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		half := int64(os.Getpagesize() / 2)
		_, err = file.WriteAt(make([]byte, half), page*2*half+half)
		return errors.Join(err, file.Close())
	}
}

// damageCases returns the cases of TestDamagedStore.
func damageCases() []damageCase {
	page := int64(os.Getpagesize())
	cases := []damageCase{
		{"missing", func(dir string) error { return os.Remove(filepath.Join(dir, storeFileName)) }},
		{"empty", truncateTo(func(int64) int64 { return 0 })},
		{"a byte short", truncateTo(func(size int64) int64 { return size - 1 })},
		{"half", truncateTo(func(size int64) int64 { return size / 2 })},
		{"two pages", truncateTo(func(int64) int64 { return 2 * page })},
		{"six pages", truncateTo(func(int64) int64 { return 6 * page })},
	}
	for i := range int64(16) {
		cases = append(cases, damageCase{fmt.Sprintf("page %d torn", i), tearPage(i)})
	}
	return cases
}

// TestDamagedStore checks that an instance whose store is missing, truncated or has a torn page either
// serves all writes that it acknowledged or does not start, with an error on one line that names the
// file.
func TestDamagedStore(t *testing.T) {
	cluster := startFaultCluster(t, []string{soleInstance}, fastElection)
	for i := range 60 {
		cluster.write(soleInstance, fmt.Sprint("s-", i))
	}
	acknowledged := cluster.recorder.acknowledged()
	kill(t, cluster.Cluster, soleInstance)
	dir := cluster.dataDir(soleInstance)
	saved := filepath.Join(cluster.dir, "saved")
	copyDir(t, dir, saved)
	for _, damage := range damageCases() {
		copyDir(t, saved, dir)
		if err := damage.apply(dir); err != nil {
			t.Fatal(damage.name, err)
		}
		cluster.checkDamaged(damage.name, acknowledged)
	}
}

// checkDamaged starts the instance on a damaged data directory. It fails the test unless the instance
// serves all acknowledged writes or exits with an error that names the store's file.
func (c *faultCluster) checkDamaged(name string, acknowledged []writeRecord) {
	c.t.Helper()
	logPath := c.path(soleInstance, logExtension)
	if err := os.Truncate(logPath, 0); err != nil {
		c.t.Fatal(err)
	}
	if err := c.Start(soleInstance); err != nil {
		c.t.Fatal(err)
	}
	defer kill(c.t, c.Cluster, soleInstance)
	var read readRecord
	served := false
	c.await("a read or the end of the process", func() bool {
		read, served = c.read(soleInstance)
		return served || !c.Running(soleInstance)
	})
	if served {
		if err := checkContainsAll(read, acknowledged); err != nil {
			c.t.Errorf("%s: %v", name, err)
			return
		}
		c.t.Logf("%s: recovered", name)
		return
	}
	text, _ := os.ReadFile(logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := lines[len(lines)-1]
	namesFile := strings.HasPrefix(last, "instance: ") && strings.Contains(last, storeFileName)
	panicked := strings.Contains(string(text), "goroutine ")
	if !namesFile || panicked {
		c.t.Errorf("%s: the instance exited with log %q", name, text[:min(len(text), 400)])
		return
	}
	c.t.Logf("%s: %s", name, last)
}

// checkContainsAll returns an error if a read lacks one of the writes.
func checkContainsAll(read readRecord, writes []writeRecord) error {
	for _, write := range writes {
		if !slices.Contains(read.ids, write.id) {
			return fmt.Errorf("list lacks %s, which was acknowledged with version %d", write.id, write.version)
		}
	}
	return nil
}

// copyDir replaces the directory to with a copy of the directory from.
func copyDir(t *testing.T, from, to string) {
	t.Helper()
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}
