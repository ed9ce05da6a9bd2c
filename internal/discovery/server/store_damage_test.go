package server_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

// fastElection makes an instance that is a cluster by itself lead soon after its start.
const fastElection = `election_timeout = "100ms"`

const (
	// maxTimeToKill bounds the random time from the start of an instance until it is killed.
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
	cluster := startFaultCluster(t, instanceNames[:1], fastElection)
	cluster.startClients(8)
	for range killCount() {
		time.Sleep(randomBelow(maxTimeToKill))
		before := len(cluster.history.acknowledged())
		if err := cluster.Restart(instanceNames[0]); err != nil {
			t.Fatal(err)
		}
		cluster.await("writes after the kill", func() bool { return len(cluster.history.acknowledged()) > before+8 })
	}
	if err := cluster.stopAndCheck(); err != nil {
		t.Error(err)
	}
	t.Logf("%d kills, %d writes acknowledged", killCount(), len(cluster.history.acknowledged()))
}

// TestHistoryFindsUnsyncedWrites: after a kill the checker finds that an instance has acknowledged
// what it has not written.
func TestHistoryFindsUnsyncedWrites(t *testing.T) {
	cluster := startFaultCluster(t, instanceNames[:1], fastElection)
	cluster.setFault(instanceNames[0], server.StoreFault{Unsynced: true})
	if !cluster.write(instanceNames[0], "unsynced") {
		t.Fatal("not acknowledged")
	}
	cluster.setFault(instanceNames[0], server.StoreFault{})
	if err := cluster.Restart(instanceNames[0]); err != nil {
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
	cluster := startFaultCluster(t, instanceNames[:1], fastElection)
	for i := range 20 {
		cluster.write(instanceNames[0], fmt.Sprint("s-", i))
	}
	acknowledged := cluster.history.acknowledged()
	for range 10 {
		if err := cluster.Restart(instanceNames[0]); err != nil {
			t.Fatal(err)
		}
		read, served := cluster.read(instanceNames[0])
		deadline := time.Now().Add(convergenceTimeout)
		for !served && time.Now().Before(deadline) {
			time.Sleep(firstReadInterval)
			read, served = cluster.read(instanceNames[0])
		}
		for _, write := range acknowledged {
			if err := checkContains(read, write); err != nil {
				t.Fatalf("first read, version %d: %v", read.version, err)
			}
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
		path := filepath.Join(dir, "raft.db")
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
		file, err := os.OpenFile(filepath.Join(dir, "raft.db"), os.O_WRONLY, 0)
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
		{"missing", func(dir string) error { return os.Remove(filepath.Join(dir, "raft.db")) }},
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
	cluster := startFaultCluster(t, instanceNames[:1], fastElection)
	for i := range 60 {
		cluster.write(instanceNames[0], fmt.Sprint("s-", i))
	}
	acknowledged := cluster.history.acknowledged()
	kill(t, cluster.Cluster, instanceNames[0])
	dir := cluster.dataDir(instanceNames[0])
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
	logPath := c.path(instanceNames[0], "log")
	if err := os.Truncate(logPath, 0); err != nil {
		c.t.Fatal(err)
	}
	if err := c.Start(instanceNames[0]); err != nil {
		c.t.Fatal(err)
	}
	defer kill(c.t, c.Cluster, instanceNames[0])
	var read readRecord
	served := false
	c.await("reads or an end", func() bool {
		read, served = c.read(instanceNames[0])
		return served || !c.Running(instanceNames[0])
	})
	if served {
		for _, write := range acknowledged {
			if err := checkContains(read, write); err != nil {
				c.t.Errorf("%s: %v", name, err)
				return
			}
		}
		c.t.Logf("%s: recovered", name)
		return
	}
	text, _ := os.ReadFile(logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := lines[len(lines)-1]
	namesFile := strings.HasPrefix(last, "instance: ") && strings.Contains(last, "raft.db")
	panicked := strings.Contains(string(text), "goroutine ")
	if !namesFile || panicked {
		c.t.Errorf("%s: the instance ended with %q", name, text[:min(len(text), 400)])
		return
	}
	c.t.Logf("%s: %s", name, last)
}

// checkContains returns an error if a read lacks a write.
func checkContains(read readRecord, write writeRecord) error {
	for _, id := range read.ids {
		if id == write.id {
			return nil
		}
	}
	return fmt.Errorf("%s, acknowledged as version %d, is not served", write.id, write.version)
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
