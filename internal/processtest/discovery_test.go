package processtest

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// instanceCluster returns a cluster of discovery instances that are not started.
func instanceCluster(t *testing.T, dir string, names ...string) *Cluster {
	t.Helper()
	cluster, err := New(Config{Binary: "unused", Dir: dir, Names: names, Ports: DiscoveryPorts()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// checkDiscoveryFile checks the text that is written for a file.
func checkDiscoveryFile(t *testing.T, file DiscoveryFile, want string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "instance.toml")
	if err := file.Write(path); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

func TestDiscoveryFileOmitsUnsetKeys(t *testing.T) {
	dir := t.TempDir()
	file := instanceCluster(t, dir, "n1").DirectDiscoveryFile("n1")
	want := fmt.Sprintf(`id = "n1"
data_dir = %q
raft_addr = "fd:3"
http_addr = "fd:4"
admin_addr = "fd:5"
bootstrap = true
`, filepath.Join(dir, "n1"))
	checkDiscoveryFile(t, file, want)
	file.MaxStale = time.Second
	file.ElectionTimeout = 100 * time.Millisecond
	file.TrailingLogs = 10
	checkDiscoveryFile(t, file, want+"max_stale = \"1s\"\nelection_timeout = \"100ms\"\ntrailing_logs = 10\n")
}

func TestDiscoveryFileReachesPeersThroughLinks(t *testing.T) {
	dir := t.TempDir()
	cluster := instanceCluster(t, dir, "n1", "n2")
	link, err := cluster.Link("n2", "n1", RaftPort)
	if err != nil {
		t.Fatal(err)
	}
	file, err := cluster.DiscoveryFile("n2")
	if err != nil {
		t.Fatal(err)
	}
	for raft, file := range map[string]DiscoveryFile{
		link.Addr():                  file,
		cluster.Addr("n1", RaftPort): cluster.DirectDiscoveryFile("n2"),
	} {
		checkDiscoveryFile(t, file, fmt.Sprintf(`id = "n2"
data_dir = %q
raft_addr = "fd:3"
http_addr = "fd:4"
admin_addr = "fd:5"
bootstrap = false

[[peers]]
  id = "n1"
  raft = %q
  admin = %q
`, filepath.Join(dir, "n2"), raft, cluster.Addr("n1", AdminPort)))
	}
}
