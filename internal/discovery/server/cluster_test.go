package server_test

import (
	"encoding/json"
	"net/http"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// instanceNames are the names of the instances that startCluster starts.
var instanceNames = []string{"n1", "n2", "n3"}

// processMaxStale is max_stale of the instances that run as processes.
const processMaxStale = time.Second

// startCluster builds cmd/discovery and starts three instances, whose Raft connections pass through
// the proxies of processtest.
func startCluster(t *testing.T) *processtest.Cluster {
	t.Helper()
	dir := t.TempDir()
	const program = "discovery"
	if err := processtest.Build(t.Context(), dir, program); err != nil {
		t.Fatal(err)
	}
	cluster, err := processtest.New(processtest.Config{
		Binary: filepath.Join(dir, program),
		Dir:    dir,
		Names:  instanceNames,
		Ports:  processtest.DiscoveryPorts(),
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

// startClusterWithLeader is like startCluster, but also waits for a leader and returns its name.
func startClusterWithLeader(t *testing.T) (*processtest.Cluster, string) {
	t.Helper()
	cluster := startCluster(t)
	elected, err := awaitLeader(cluster)
	if err != nil {
		t.Fatal(err)
	}
	return cluster, elected
}

// serveArguments returns a function that writes an instance's configuration file and returns the
// arguments with which cmd/discovery runs the instance.
func serveArguments(t *testing.T, dir string) func(*processtest.Cluster, string) []string {
	t.Helper()
	return func(cluster *processtest.Cluster, name string) []string {
		path := filepath.Join(dir, name+".toml")
		file, err := cluster.DiscoveryFile(name)
		if err != nil {
			t.Error(err)
		}
		file.MaxStale = processMaxStale
		if err := file.Write(path); err != nil {
			t.Error(err)
		}
		return []string{"serve", "--config", path}
	}
}

// leader returns the name of a running instance that is the leader, or "" if there is none.
func leader(cluster *processtest.Cluster) string {
	return cluster.FirstRunning(func(name string) bool {
		return statusAt(cluster.Addr(name, processtest.AdminPort)).State == server.StateLeader
	})
}

// awaitLeader waits until an instance is the leader, and returns its name.
func awaitLeader(cluster *processtest.Cluster) (string, error) {
	name := ""
	isElected := func() bool {
		name = leader(cluster)
		return name != ""
	}
	err := processtest.Await(startTimeout, "a leader", isElected)
	return name, err
}

// kill kills an instance.
func kill(t *testing.T, cluster *processtest.Cluster, name string) {
	t.Helper()
	if err := cluster.Kill(name); err != nil {
		t.Error(err)
	}
}

// killLeader waits for a leader, kills it and returns its name. It fails the test if there is no leader
// within startTimeout.
func killLeader(t *testing.T, cluster *processtest.Cluster) string {
	t.Helper()
	name, err := awaitLeader(cluster)
	if err != nil {
		t.Error(err) // not Fatal, which may only be called from the test's own goroutine
		return ""
	}
	kill(t, cluster, name)
	return name
}

// writeAnywhere tries a write at each instance in turn until one acknowledges it. It returns the
// version of the write, or 0 if none was acknowledged within startTimeout.
func writeAnywhere(cluster *processtest.Cluster, write func(adminAddr string) uint64) uint64 {
	var version uint64
	attempts := 0
	isAcknowledged := func() bool {
		name := instanceNames[attempts%len(instanceNames)]
		attempts++
		version = write(cluster.Addr(name, processtest.AdminPort))
		return version != 0
	}
	// On a timeout the version is 0, which the callers check.
	_ = processtest.AwaitEvery(retryInterval, startTimeout, "an acknowledged write", isAcknowledged)
	return version
}

// putServerAnywhere writes an entry with the given id as putServer does, using writeAnywhere.
func putServerAnywhere(cluster *processtest.Cluster, id string) uint64 {
	return writeAnywhere(cluster, func(adminAddr string) uint64 { return putServer(adminAddr, id) })
}

// putSettingsAnywhere writes the settings of a service, using writeAnywhere.
func putSettingsAnywhere(cluster *processtest.Cluster, service, text string) uint64 {
	return writeAnywhere(cluster, func(adminAddr string) uint64 {
		return putSettings(adminAddr+endpoint.SettingsPath(service), text, "").version()
	})
}

// listsServer reports whether an instance's full list contains the server with the given id.
func listsServer(cluster *processtest.Cluster, name, id string) bool {
	list, _ := fetchList(cluster.Addr(name, processtest.HTTPPort))
	hasID := func(entry endpoint.Endpoint) bool { return entry.ID == id }
	return slices.ContainsFunc(list.Servers, hasID)
}

// commonHistory returns the history of a service's settings if it is the same at all instances, and
// nil otherwise.
func commonHistory(cluster *processtest.Cluster, service string) []server.SettingsVersion {
	var first response
	for i, name := range instanceNames {
		got := request(http.MethodGet, cluster.Addr(name, processtest.AdminPort)+endpoint.SettingsHistoryPath(service), "")
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
