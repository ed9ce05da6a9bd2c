package server_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// limitFileSize limits the size in bytes of the files that a running process writes; writes beyond the
// limit fail with EFBIG. It returns the previous limit.
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

const (
	// limitDuration is how long the instances can't write files in TestFileSizeLimit.
	limitDuration = 3 * time.Second
	// limitedWriteInterval is the time between two write requests during limitDuration, which limits
	// their load.
	limitedWriteInterval = 50 * time.Millisecond
)

// putStatus writes an entry and returns the status code of the response, or 0 if there was none.
func putStatus(adminAddr string) int {
	const body = `{"addr":"127.0.0.1:9","state":"up","weight":1}`
	return request(http.MethodPut, adminAddr+endpoint.ServerPath("limited"), body).code
}

// TestFileSizeLimit makes all file writes of all instances fail for limitDuration. It checks that no
// instance exits, that write requests get 503 during that time and that they are acknowledged after it.
func TestFileSizeLimit(t *testing.T) {
	cluster := startCluster(t)
	if putServerAnywhere(cluster, "before") == 0 {
		t.Fatal("no write acknowledged before the limit")
	}
	limits := map[string]uint64{}
	for _, name := range instanceNames {
		limits[name] = limitFileSize(t, cluster.Pid(name), 0)
	}
	for end := time.Now().Add(limitDuration); time.Now().Before(end); time.Sleep(limitedWriteInterval) {
		if code := putStatus(cluster.Addr(instanceNames[0], processtest.AdminPort)); code != http.StatusServiceUnavailable {
			t.Fatalf("status %d for a write while no file can be written, want 503", code)
		}
	}
	for _, name := range instanceNames {
		if !cluster.Running(name) {
			t.Fatalf("instance %s exited", name)
		}
		limitFileSize(t, cluster.Pid(name), limits[name])
	}
	if putServerAnywhere(cluster, "after") == 0 {
		t.Error("no write acknowledged after the limit")
	}
}

// snapshotSizeLimit is a file size in bytes that is smaller than a snapshot in TestFailedSnapshotKeepsLog
// and larger than the instance's log file.
const snapshotSizeLimit = 16 << 10

// TestFailedSnapshotKeepsLog checks that no acknowledged write is lost if an instance is killed after a
// snapshot: neither after one that can't be written, which must leave the Raft log unchanged, nor after
// one that is written, which compacts the log.
func TestFailedSnapshotKeepsLog(t *testing.T) {
	const trailingLogs = 10
	fewTrailingLogs := func(file *processtest.DiscoveryFile) { file.TrailingLogs = trailingLogs }
	cluster := startFaultCluster(t, []string{soleInstance}, fastElection, fewTrailingLogs)
	for i := range 150 {
		cluster.write(soleInstance, fmt.Sprint("s-", i))
	}
	for _, wantErr := range []bool{true, false} {
		limit := uint64(unix.RLIM_INFINITY)
		if wantErr {
			limit = limitFileSize(t, cluster.Pid(soleInstance), snapshotSizeLimit)
		}
		if line := cluster.snapshot(soleInstance); strings.Contains(line, "err=<nil>") == wantErr {
			t.Errorf("snapshot: %s", line)
		}
		if wantErr {
			limitFileSize(t, cluster.Pid(soleInstance), limit)
		}
		if err := cluster.Restart(soleInstance); err != nil {
			t.Fatal(err)
		}
	}
	if err := cluster.stopAndCheck(); err != nil {
		t.Error(err)
	}
}

// snapshot makes an instance take a snapshot, and returns the attributes of its log line about it.
func (c *faultCluster) snapshot(name string) (line string) {
	c.t.Helper()
	c.await("reads", func() bool {
		_, served := c.read(name)
		return served
	})
	if err := unix.Kill(c.Pid(name), unix.SIGUSR1); err != nil {
		c.t.Fatal(err)
	}
	c.await("the log line about the snapshot", func() bool {
		text, _ := os.ReadFile(c.path(name, logExtension))
		_, after, found := strings.Cut(string(text), "msg=snapshot ")
		line, _, _ = strings.Cut(after, "\n")
		return found
	})
	if err := os.Truncate(c.path(name, logExtension), 0); err != nil {
		c.t.Fatal(err)
	}
	return line
}
