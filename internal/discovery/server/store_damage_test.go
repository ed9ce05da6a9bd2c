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

// storeFileName is the file of a data directory that has Raft's log, term and vote.
const storeFileName = "raft.db"

// fastElection makes an instance that is a cluster by itself lead soon after its start.
func fastElection(file *processtest.DiscoveryFile) { file.ElectionTimeout = singleNodeElectionTimeout }

const (
	// maxTimeToKill bounds the random time from the start of an instance until it is killed. It is random,
	// so that the kill finds the instance at any step of a write.
	maxTimeToKill = 300 * time.Millisecond
	// firstReadInterval is the time between two attempts of the first read of an instance. It is short, so
	// that the read that succeeds comes soon after the instance serves reads.
	firstReadInterval = time.Millisecond
)

// killCount returns how often TestKilledDuringWrites kills an instance.
func killCount() int {
	if os.Getenv(longTestsVariable) != "" {
		return 200
	}
	return 6
}

// TestKilledDuringWrites: an instance that is a cluster by itself, so that what it acknowledged is on
// its disk or lost, is killed at random times during writes and started again.
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

// TestHistoryFindsUnsyncedWrites: after a kill the checker finds that an instance has acknowledged
// what it has not written.
func TestHistoryFindsUnsyncedWrites(t *testing.T) {
	cluster := startFaultCluster(t, []string{soleInstance}, fastElection)
	cluster.setFault(soleInstance, server.StoreFault{Unsynced: true})
	if !cluster.write(soleInstance, "unsynced") {
		t.Fatal("not acknowledged")
	}
	cluster.setFault(soleInstance, server.StoreFault{})
	if err := cluster.Restart(soleInstance); err != nil {
		t.Fatal(err)
	}
	cluster.await("a leader", func() bool { return cluster.leader() != "" })
	if err := cluster.stopAndCheck(); err == nil {
		t.Error("the checker found nothing")
	}
}

// TestRestartServesAcknowledgedWrites: the first read that a restarted instance serves has all writes
// that it acknowledged before.
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
			t.Fatalf("first read, version %d: %v", read.version, err)
		}
	}
}

// damageCase is a damage to a data directory that has acknowledged writes.
type damageCase struct {
	name  string
	apply func(dir string) error
}

// truncateTo truncates the store to a size that depends on its size.
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

// tearPage overwrites the second half of one page with zeros.
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

// damageCases are the damages that TestDamagedStore tries.
func damageCases() []damageCase {
	page := int64(os.Getpagesize())
	out := []damageCase{
		{"missing", func(dir string) error { return os.Remove(filepath.Join(dir, storeFileName)) }},
		{"empty", truncateTo(func(int64) int64 { return 0 })},
		{"a byte short", truncateTo(func(size int64) int64 { return size - 1 })},
		{"half", truncateTo(func(size int64) int64 { return size / 2 })},
		{"two pages", truncateTo(func(int64) int64 { return 2 * page })},
		{"six pages", truncateTo(func(int64) int64 { return 6 * page })},
	}
	for i := range int64(16) {
		out = append(out, damageCase{fmt.Sprintf("page %d torn", i), tearPage(i)})
	}
	return out
}

// TestDamagedStore: on a truncated store, or one with a torn page, an instance either serves all that
// it acknowledged or does not start, with one line that names the file.
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
	for _, d := range damageCases() {
		copyDir(t, saved, dir)
		if err := d.apply(dir); err != nil {
			t.Fatal(d.name, err)
		}
		cluster.checkDamaged(d.name, acknowledged)
	}
}

// checkDamaged starts the instance over a damaged directory.
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
	c.await("reads or an end", func() bool {
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
		c.t.Errorf("%s: the instance ended with %q", name, text[:min(len(text), 400)])
		return
	}
	c.t.Logf("%s: %s", name, last)
}

// checkContainsAll returns an error if a read lacks one of several writes.
func checkContainsAll(read readRecord, writes []writeRecord) error {
	for _, write := range writes {
		if !slices.Contains(read.ids, write.id) {
			return fmt.Errorf("%s, acknowledged as version %d, is not served", write.id, write.version)
		}
	}
	return nil
}

// copyDir replaces a directory by a copy of another.
func copyDir(t *testing.T, from, to string) {
	t.Helper()
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}
