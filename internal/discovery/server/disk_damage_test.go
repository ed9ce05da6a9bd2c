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
func kills() int {
	if os.Getenv(longRuns) != "" {
		return 200
	}
	return 6
}

// TestKilledInAWrite: an instance that is alone, so that what it acknowledged is on its disk or
// lost, is killed at random moments of a burst of writes and started again.
func TestKilledInAWrite(t *testing.T) {
	lab := startDiskLab(t, names[:1], fastElection)
	lab.run(8)
	for range kills() {
		time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
		before := len(lab.history.acknowledged())
		if err := lab.Restart(names[0]); err != nil {
			t.Fatal(err)
		}
		lab.await("writes after the kill", func() bool { return len(lab.history.acknowledged()) > before+8 })
	}
	if err := lab.finish(staleBound); err != nil {
		t.Error(err)
	}
	t.Logf("%d kills, %d writes acknowledged", kills(), len(lab.history.acknowledged()))
}

// TestHistoryFindsUnsyncedWrites: an instance that acknowledges what it has not written is found
// by the checker after a kill.
func TestHistoryFindsUnsyncedWrites(t *testing.T) {
	lab := startDiskLab(t, names[:1], fastElection)
	lab.fail(names[0], server.StoreFault{Unsynced: true})
	if !lab.write(names[0], "unsynced") {
		t.Fatal("not acknowledged")
	}
	lab.fail(names[0], server.StoreFault{})
	if err := lab.Restart(names[0]); err != nil {
		t.Fatal(err)
	}
	lab.await("a leader", func() bool { return lab.leader() != "" })
	if err := lab.finish(staleBound); err == nil {
		t.Error("the checker finds nothing")
	}
}

// TestStartServesNothingLess: the first read that a restarted instance answers has all that it
// acknowledged before.
func TestStartServesNothingLess(t *testing.T) {
	lab := startDiskLab(t, names[:1], fastElection)
	for i := range 20 {
		lab.write(names[0], fmt.Sprint("s-", i))
	}
	acked := lab.history.acknowledged()
	for range 10 {
		if err := lab.Restart(names[0]); err != nil {
			t.Fatal(err)
		}
		read, served := lab.read(names[0])
		for end := time.Now().Add(settled); !served && time.Now().Before(end); time.Sleep(time.Millisecond) {
			read, served = lab.read(names[0])
		}
		for _, write := range acked {
			if err := checkHolds(read, write); err != nil {
				t.Fatalf("first read, version %d: %v", read.version, err)
			}
		}
	}
}

// damage is something done to a data directory that has acknowledged writes.
type damage struct {
	name string
	do   func(dir string) error
}

func cutTo(size func(int64) int64) func(string) error {
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
func tear(page int64) func(string) error {
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

func damages() []damage {
	page := int64(os.Getpagesize())
	out := []damage{
		{"missing", func(dir string) error { return os.Remove(filepath.Join(dir, "raft.db")) }},
		{"empty", cutTo(func(int64) int64 { return 0 })},
		{"a byte short", cutTo(func(size int64) int64 { return size - 1 })},
		{"half", cutTo(func(size int64) int64 { return size / 2 })},
		{"two pages", cutTo(func(int64) int64 { return 2 * page })},
		{"six pages", cutTo(func(int64) int64 { return 6 * page })},
	}
	for i := range int64(16) {
		out = append(out, damage{fmt.Sprintf("page %d torn", i), tear(i)})
	}
	return out
}

// TestDamagedStore: with its store cut or with a torn page an instance either serves all that it
// acknowledged or refuses to start, with one line that names the file.
func TestDamagedStore(t *testing.T) {
	lab := startDiskLab(t, names[:1], fastElection)
	for i := range 60 {
		lab.write(names[0], fmt.Sprint("s-", i))
	}
	acked := lab.history.acknowledged()
	lab.Kill(names[0])
	dir := filepath.Join(lab.dir, names[0])
	saved := filepath.Join(lab.dir, "saved")
	copyDir(t, dir, saved)
	for _, d := range damages() {
		copyDir(t, saved, dir)
		if err := d.do(dir); err != nil {
			t.Fatal(d.name, err)
		}
		lab.checkDamaged(d.name, acked)
	}
}

// checkDamaged starts the instance over a damaged directory.
func (lab *diskLab) checkDamaged(name string, acked []writeRecord) {
	lab.t.Helper()
	logPath := lab.path(names[0], "log")
	os.Truncate(logPath, 0)
	if err := lab.Start(names[0]); err != nil {
		lab.t.Fatal(err)
	}
	defer lab.Kill(names[0])
	var read readRecord
	served := false
	lab.await("reads or an end", func() bool {
		read, served = lab.read(names[0])
		return served || !lab.Running(names[0])
	})
	if served {
		for _, write := range acked {
			if err := checkHolds(read, write); err != nil {
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

func checkHolds(read readRecord, write writeRecord) error {
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
