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

// limitFileSize sets how long a running process may make files, in bytes; writes beyond it fail with
// EFBIG. It returns the limit before.
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
	// limitTime is how long TestFileSizeLimit keeps the instances from writing files.
	limitTime = 3 * time.Second
	// limitedWriteInterval is the time between two of its writes meanwhile, which limits their load.
	limitedWriteInterval = 50 * time.Millisecond
)

// putStatus returns the status code of a write at an admin address; 0: there was no response.
func putStatus(admin string) int {
	const body = `{"addr":"127.0.0.1:9","state":"up","weight":1}`
	return request(http.MethodPut, admin+endpoint.ServerPath("limited"), body).code
}

// TestFileSizeLimit: all writes of cmd/discovery to files fail for limitTime, on all instances. No instance
// ends, writes are answered with 503 meanwhile, and are acknowledged afterwards.
func TestFileSizeLimit(t *testing.T) {
	cluster := startCluster(t)
	if putServerAnywhere(cluster, "before") == 0 {
		t.Fatal("no write before the limit")
	}
	limits := map[string]uint64{}
	for _, name := range instanceNames {
		limits[name] = limitFileSize(t, cluster.Pid(name), 0)
	}
	for end := time.Now().Add(limitTime); time.Now().Before(end); time.Sleep(limitedWriteInterval) {
		if code := putStatus(cluster.Addr(instanceNames[0], processtest.AdminPort)); code != http.StatusServiceUnavailable {
			t.Fatalf("a write was answered with %d while no file can be written", code)
		}
	}
	for _, name := range instanceNames {
		if !cluster.Running(name) {
			t.Fatalf("%s has ended", name)
		}
		limitFileSize(t, cluster.Pid(name), limits[name])
	}
	if putServerAnywhere(cluster, "after") == 0 {
		t.Error("no write after the limit")
	}
}

// snapshotLimit is less than the size of a snapshot of TestSnapshotOutage, and more than that of the
// instance's log.
const snapshotLimit = 16 << 10

// TestSnapshotOutage: a snapshot that can't be written leaves the Raft log as it is; a snapshot that
// is written compacts it. A kill after either loses nothing.
func TestSnapshotOutage(t *testing.T) {
	const trailingLogs = 10
	fewLogs := func(file *processtest.DiscoveryFile) { file.TrailingLogs = trailingLogs }
	cluster := startFaultCluster(t, []string{soleInstance}, fastElection, fewLogs)
	for i := range 150 {
		cluster.write(soleInstance, fmt.Sprint("s-", i))
	}
	for _, wantErr := range []bool{true, false} {
		limit := uint64(unix.RLIM_INFINITY)
		if wantErr {
			limit = limitFileSize(t, cluster.Pid(soleInstance), snapshotLimit)
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

// snapshot makes an instance take a snapshot, and returns the line of its log about it.
func (c *faultCluster) snapshot(name string) (line string) {
	c.t.Helper()
	c.await("reads", func() bool {
		_, served := c.read(name)
		return served
	})
	if err := unix.Kill(c.Pid(name), unix.SIGUSR1); err != nil {
		c.t.Fatal(err)
	}
	c.await("the snapshot's line", func() bool {
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
