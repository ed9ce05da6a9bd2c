package server_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
)

// fastElection makes an instance that is alone lead soon after its start.
const fastElection = `election_timeout = "100ms"`

// kills is how often TestKilledInAWrite kills an instance.
func killCount() int {
	if os.Getenv(longTestsVariable) != "" {
		return 200
	}
	return 6
}

// TestKilledInAWrite: an instance that is alone, so that what it acknowledged is on its disk or
// lost, is killed at random moments of a burst of writes and started again.
func TestKilledDuringWrites(t *testing.T) {
	lab := startFaultCluster(t, instanceNames[:1], fastElection)
	lab.startClients(8)
	for range killCount() {
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		before := len(lab.history.acknowledged())
		if err := lab.Restart(instanceNames[0]); err != nil {
			t.Fatal(err)
		}
		lab.await("writes after the kill", func() bool { return len(lab.history.acknowledged()) > before+8 })
	}
	if err := lab.stopAndCheck(staleBound); err != nil {
		t.Error(err)
	}
	t.Logf("%d kills, %d writes acknowledged", killCount(), len(lab.history.acknowledged()))
}

// TestHistoryFindsUnsyncedWrites: an instance that acknowledges what it has not written is found
// by the checker after a kill.
func TestHistoryFindsUnsyncedWrites(t *testing.T) {
	lab := startFaultCluster(t, instanceNames[:1], fastElection)
	lab.setFault(instanceNames[0], server.StoreFault{Unsynced: true})
	if !lab.write(instanceNames[0], "unsynced") {
		t.Fatal("not acknowledged")
	}
	lab.setFault(instanceNames[0], server.StoreFault{})
	if err := lab.Restart(instanceNames[0]); err != nil {
		t.Fatal(err)
	}
	lab.await("a leader", func() bool { return lab.leader() != "" })
	if err := lab.stopAndCheck(staleBound); err == nil {
		t.Error("the checker finds nothing")
	}
}

// TestStartServesNothingLess: the first read that a restarted instance answers has all that it
// acknowledged before.
func TestRestartServesAcknowledgedWrites(t *testing.T) {
	lab := startFaultCluster(t, instanceNames[:1], fastElection)
	for i := range 20 {
		lab.write(instanceNames[0], fmt.Sprint("s-", i))
	}
	acked := lab.history.acknowledged()
	for range 10 {
		if err := lab.Restart(instanceNames[0]); err != nil {
			t.Fatal(err)
		}
		read, served := lab.read(instanceNames[0])
		for end := time.Now().Add(convergenceTimeout); !served && time.Now().Before(end); time.Sleep(time.Millisecond) {
			read, served = lab.read(instanceNames[0])
		}
		for _, write := range acked {
			if err := checkContains(read, write); err != nil {
				t.Fatalf("first read, version %d: %v", read.version, err)
			}
		}
	}
}

// damage is something done to a data directory that has acknowledged writes.
type damageCase struct {
	name  string
	apply func(dir string) error
}

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

// tear overwrites the second half of one page with zeros.
func tearPage(page int64) func(string) error {
	return func(dir string) error {
		file, err := os.OpenFile(filepath.Join(dir, "raft.db"), os.O_WRONLY, 0)
		if err != nil {
			return err
		}
		defer file.Close()
		half := int64(os.Getpagesize() / 2)
		_, err = file.WriteAt(make([]byte, half), page*2*half+half)
		return err
	}
}

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

// TestDamagedStore: with its store cut or with a torn page an instance either serves all that it
// acknowledged or refuses to start, with one line that names the file.
func TestDamagedStore(t *testing.T) {
	lab := startFaultCluster(t, instanceNames[:1], fastElection)
	for i := range 60 {
		lab.write(instanceNames[0], fmt.Sprint("s-", i))
	}
	acked := lab.history.acknowledged()
	lab.Kill(instanceNames[0])
	dir := filepath.Join(lab.dir, instanceNames[0])
	saved := filepath.Join(lab.dir, "saved")
	copyDir(t, dir, saved)
	for _, d := range damageCases() {
		copyDir(t, saved, dir)
		if err := d.apply(dir); err != nil {
			t.Fatal(d.name, err)
		}
		lab.checkDamaged(d.name, acked)
	}
}

// checkDamaged starts the instance over a damaged directory.
func (lab *faultCluster) checkDamaged(name string, acked []writeRecord) {
	lab.t.Helper()
	logPath := lab.path(instanceNames[0], "log")
	os.Truncate(logPath, 0)
	if err := lab.Start(instanceNames[0]); err != nil {
		lab.t.Fatal(err)
	}
	defer lab.Kill(instanceNames[0])
	var read readRecord
	served := false
	lab.await("reads or an end", func() bool {
		read, served = lab.read(instanceNames[0])
		return served || !lab.Running(instanceNames[0])
	})
	if served {
		for _, write := range acked {
			if err := checkContains(read, write); err != nil {
				lab.t.Errorf("%s: %v", name, err)
				return
			}
		}
		lab.t.Logf("%s: recovered", name)
		return
	}
	text, _ := os.ReadFile(logPath)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := lines[len(lines)-1]
	if !strings.HasPrefix(last, "instance: ") || !strings.Contains(last, "raft.db") || strings.Contains(string(text), "goroutine ") {
		lab.t.Errorf("%s: refused with %q", name, text[:min(len(text), 400)])
		return
	}
	lab.t.Logf("%s: %s", name, last)
}

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
	os.RemoveAll(to)
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}
