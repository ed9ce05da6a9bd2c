package server_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// limitFileSize sets how long a running process may make files, in bytes: writes beyond it fail
// with EFBIG. It gives the limit that was there.
func limitFileSize(t *testing.T, pid int, limit uint64) uint64 {
	t.Helper()
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &old); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: limit, Max: old.Max}, nil); err != nil {
		t.Fatal(err)
	}
	return old.Cur
}

// putStatus is the status of a write at an admin address, 0 without an answer.
func putStatus(admin string) int {
	body := strings.NewReader(`{"addr":"127.0.0.1:9","state":"up","weight":1}`)
	req, _ := http.NewRequest(http.MethodPut, "http://"+admin+"/v1/servers/limited", body)
	resp, err := writeClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// TestFileSizeLimit: every write of the real program to a file fails for 3 s, on all instances:
// none ends, writes are answered 503, and are acknowledged again after it.
func TestFileSizeLimit(t *testing.T) {
	c := startCluster(t)
	if putServerAnywhere(c, "before") == 0 {
		t.Fatal("no write before the limit")
	}
	old := map[string]uint64{}
	for _, name := range instanceNames {
		old[name] = limitFileSize(t, c.Pid(name), 0)
	}
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if code := putStatus(c.Addr(instanceNames[0], "admin")); code != http.StatusServiceUnavailable {
			t.Fatalf("a write was answered with %d while no file can be written", code)
		}
	}
	for _, name := range instanceNames {
		if !c.Running(name) {
			t.Fatalf("%s has ended", name)
		}
		limitFileSize(t, c.Pid(name), old[name])
	}
	if putServerAnywhere(c, "after") == 0 {
		t.Error("no write after the limit")
	}
}

// snapshotLimit is under what a snapshot of TestSnapshotOutage takes, and above what logs do.
const snapshotLimit = 16 << 10

// TestSnapshotOutage: a snapshot that can't be written leaves the log as it is; one that can
// shortens it, and a kill after either loses nothing.
func TestSnapshotOutage(t *testing.T) {
	lab := startFaultCluster(t, instanceNames[:1], fastElection+"\ntrailing_logs = 10")
	for i := range 150 {
		lab.write(instanceNames[0], fmt.Sprint("s-", i))
	}
	for _, wantErr := range []bool{true, false} {
		old := uint64(unix.RLIM_INFINITY)
		if wantErr {
			old = limitFileSize(t, lab.Pid(instanceNames[0]), snapshotLimit)
		}
		if line := lab.snapshot(instanceNames[0]); strings.Contains(line, "err=<nil>") == wantErr {
			t.Errorf("snapshot: %s", line)
		}
		if wantErr {
			limitFileSize(t, lab.Pid(instanceNames[0]), old)
		}
		if err := lab.Restart(instanceNames[0]); err != nil {
			t.Fatal(err)
		}
	}
	if err := lab.stopAndCheck(staleBound); err != nil {
		t.Error(err)
	}
}

// snapshot makes an instance take a snapshot, and gives the line of its log about it.
func (lab *faultCluster) snapshot(name string) (line string) {
	lab.await("reads", func() bool { _, served := lab.read(name); return served })
	unix.Kill(lab.Pid(name), unix.SIGUSR1)
	lab.await("the snapshot's line", func() bool {
		text, _ := os.ReadFile(lab.path(name, "log"))
		_, after, found := strings.Cut(string(text), "msg=snapshot ")
		line, _, _ = strings.Cut(after, "\n")
		return found
	})
	os.Truncate(lab.path(name, "log"), 0)
	return line
}
