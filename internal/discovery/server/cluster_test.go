package server_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// Names of an instance's ports in a processtest.Cluster.
const (
	raftPort  = "raft"
	httpPort  = "http"
	adminPort = "admin"
)

// instanceNames are the instances of the tests' clusters of processes.
var instanceNames = []string{"n1", "n2", "n3"}

// instancePorts are the ports of an instance, in the order of their file descriptors.
func instancePorts() []string { return []string{raftPort, httpPort, adminPort} }

// startCluster builds cmd/discovery and starts three instances whose Raft connections pass through
// the proxies of processtest.
func startCluster(t *testing.T) *processtest.Cluster {
	t.Helper()
	dir := t.TempDir()
	binary := filepath.Join(dir, "discovery")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../../cmd/discovery")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	cluster, err := processtest.New(processtest.Config{
		Binary: binary,
		Dir:    dir,
		Names:  instanceNames,
		Ports:  instancePorts(),
		Args:   serveArguments(t, dir),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	for _, name := range instanceNames {
		if err := cluster.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	return cluster
}

// startClusterWithLeader starts a cluster as startCluster does, and returns its leader too.
func startClusterWithLeader(t *testing.T) (*processtest.Cluster, string) {
	t.Helper()
	cluster := startCluster(t)
	elected := ""
	hasLeader := func() bool {
		elected = leader(cluster)
		return elected != ""
	}
	mustAwait(t, "a leader", hasLeader)
	return cluster, elected
}

// serveArguments returns a function that writes an instance's configuration and returns the
// arguments by which cmd/discovery runs it.
func serveArguments(t *testing.T, dir string) func(*processtest.Cluster, string) []string {
	t.Helper()
	return func(cluster *processtest.Cluster, name string) []string {
		path := filepath.Join(dir, name+".toml")
		linkTo := func(peer string) string {
			link, err := cluster.Link(name, peer, raftPort)
			if err != nil {
				t.Error(err)
				return ""
			}
			return link.Addr()
		}
		text := configText(cluster, filepath.Join(dir, name), name, linkTo, "")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Error(err)
		}
		return []string{"serve", "--config", path}
	}
}

// configText returns the configuration of an instance, whose listeners are inherited. raftAddress
// returns the address by which it reaches a peer; extra are more lines.
func configText(
	cluster *processtest.Cluster, dataDir, name string, raftAddress func(peer string) string, extra string,
) string {
	names := cluster.Names()
	var text strings.Builder
	fmt.Fprintf(&text, "id = %q\ndata_dir = %q\n", name, dataDir)
	text.WriteString("raft_addr = \"fd:3\"\nhttp_addr = \"fd:4\"\nadmin_addr = \"fd:5\"\n")
	fmt.Fprintf(&text, "bootstrap = %v\nmax_stale = \"1s\"\n%s\n", name == names[0], extra)
	for _, peer := range names {
		if peer == name {
			continue
		}
		fmt.Fprintf(&text, "[[peers]]\nid = %q\nraft = %q\nadmin = %q\n",
			peer, raftAddress(peer), cluster.Addr(peer, adminPort))
	}
	return text.String()
}

// leader returns the name of a running instance that leads, or "".
func leader(cluster *processtest.Cluster) string {
	for _, name := range cluster.Names() {
		if cluster.Running(name) && statusAt(cluster.Addr(name, adminPort)).State == server.StateLeader {
			return name
		}
	}
	return ""
}

// kill kills an instance.
func kill(t *testing.T, cluster *processtest.Cluster, name string) {
	t.Helper()
	if err := cluster.Kill(name); err != nil {
		t.Error(err)
	}
}

// killLeader kills the leader, once there is one, and returns its name. It fails the test if there is
// none within startTimeout.
func killLeader(t *testing.T, cluster *processtest.Cluster) string {
	t.Helper()
	name := ""
	isElected := func() bool {
		name = leader(cluster)
		return name != ""
	}
	if err := processtest.Await(startTimeout, "a leader", isElected); err != nil {
		t.Error(err) // not Fatal, as this may be a goroutine of the test
		return ""
	}
	kill(t, cluster, name)
	return name
}

// writeAnywhere tries a write at each instance in turn until one acknowledges it. It returns the
// version of the write, or 0 if none was acknowledged within startTimeout.
func writeAnywhere(cluster *processtest.Cluster, write func(admin string) uint64) uint64 {
	deadline := time.Now().Add(startTimeout)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		name := instanceNames[attempt%len(instanceNames)]
		if version := write(cluster.Addr(name, adminPort)); version != 0 {
			return version
		}
		time.Sleep(retryInterval)
	}
	return 0
}

// putServerAnywhere writes an entry under an id as writeAnywhere does.
func putServerAnywhere(cluster *processtest.Cluster, id string) uint64 {
	return writeAnywhere(cluster, func(admin string) uint64 { return putServer(admin, id) })
}

// putSettingsAnywhere writes the settings of a service as writeAnywhere does.
func putSettingsAnywhere(cluster *processtest.Cluster, service, text string) uint64 {
	return writeAnywhere(cluster, func(admin string) uint64 {
		return putSettings(admin+endpoint.SettingsPath(service), text, "").version()
	})
}

// listsServer reports whether an instance's full list has an id.
func listsServer(cluster *processtest.Cluster, name, id string) bool {
	list, _ := fetchList(cluster.Addr(name, httpPort))
	hasID := func(entry endpoint.Endpoint) bool { return entry.ID == id }
	return slices.ContainsFunc(list.Servers, hasID)
}

// commonHistory returns the history of a service's settings if it is the same at all instances, or
// nil.
func commonHistory(cluster *processtest.Cluster, service string) []server.SettingsVersion {
	var first response
	for i, name := range instanceNames {
		got := request(http.MethodGet, cluster.Addr(name, adminPort)+endpoint.SettingsHistoryPath(service), "")
		if i == 0 {
			first = got
		}
		if got.code != http.StatusOK || got != first {
			return nil
		}
	}
	var history []server.SettingsVersion
	if json.Unmarshal([]byte(first.body), &history) != nil {
		return nil
	}
	return history
}
