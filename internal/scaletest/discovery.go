package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/experiment"
	"fernbeam.example/fernbeam/internal/processtest"
)

// discoveryCluster is a real discovery service. The Raft connections between its instances pass through proxies, so
// that they can be cut.
type discoveryCluster struct {
	*processtest.Cluster
	client       *http.Client
	nextInstance atomic.Uint32 // index of the instance to write to
}

const (
	// writeTimeout is the timeout of one write. It is longer than the time that the service waits for a commit.
	writeTimeout = 6 * time.Second
	// leaderTimeout is how long an election may take on a loaded machine.
	leaderTimeout = 30 * time.Second
	// writeRetryInterval is the pause before a write that failed is sent to the next instance.
	writeRetryInterval = 20 * time.Millisecond
	// maxIdleConnections is the number of idle connections that are kept to each instance.
	maxIdleConnections = 64
	// maxWriteResponse is the number of bytes that are read of the response to a write.
	maxWriteResponse = 1 << 16
)

// startDiscovery starts count instances, each on its own address, and waits until they have a leader.
func startDiscovery(
	ctx context.Context, program, directory string, count int, ip func(i int) string,
) (*discoveryCluster, error) {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("discovery-%d", i+1))
	}
	cluster, err := processtest.New(processtest.Config{
		Binary: program,
		Dir:    directory,
		Names:  names,
		Ports:  processtest.DiscoveryPorts(),
		IP:     func(name string) string { return ip(slices.Index(names, name)) },
		Args: func(c *processtest.Cluster, name string) []string {
			return discoveryArguments(c, name, directory)
		},
	})
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}
	d := &discoveryCluster{Cluster: cluster, client: &http.Client{Timeout: writeTimeout, Transport: transport}}
	for _, name := range names {
		if err := cluster.Start(name); err != nil {
			cluster.Close()
			return nil, err
		}
	}
	if _, err := d.awaitLeader(ctx); err != nil {
		cluster.Close()
		return nil, err
	}
	return d, nil
}

// discoveryArguments writes an instance's configuration file and returns the instance's command-line arguments. If the
// file can't be written, the path is that of a missing file, so that the program fails with an error that names it.
func discoveryArguments(c *processtest.Cluster, name, directory string) []string {
	path := filepath.Join(directory, name+".toml")
	if err := writeDiscoveryConfig(c, name, path); err != nil {
		path = filepath.Join(directory, "none")
	}
	return []string{"serve", "--config", path}
}

// writeDiscoveryConfig writes an instance's configuration file. The instance reaches each of the others through a
// separate proxied connection.
func writeDiscoveryConfig(c *processtest.Cluster, name, path string) error {
	file, err := c.DiscoveryFile(name)
	if err != nil {
		return err
	}
	return file.Write(path)
}

// awaitLeader waits until an instance is the leader, or the context ends.
func (d *discoveryCluster) awaitLeader(ctx context.Context) (leader string, err error) {
	err = processtest.Await(leaderTimeout, "discovery has a leader", func() bool {
		leader = d.leader(ctx)
		return leader != "" || ctx.Err() != nil
	})
	return leader, errors.Join(err, ctx.Err())
}

// leader returns the name of the instance that reports to be the leader, or "" if there is none.
func (d *discoveryCluster) leader(ctx context.Context) string {
	return d.FirstRunning(func(name string) bool {
		status, err := d.status(ctx, name)
		return err == nil && status.State == server.StateLeader
	})
}

// status requests the status of an instance from its admin endpoint.
func (d *discoveryCluster) status(ctx context.Context, name string) (server.Status, error) {
	var status server.Status
	url := "http://" + d.Addr(name, processtest.AdminPort) + endpoint.StatusPath
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return status, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return status, err
	}
	defer func() { _ = response.Body.Close() }() // nothing was written to it
	err = json.NewDecoder(response.Body).Decode(&status)
	return status, err
}

// errRejected is returned for a write that was rejected as invalid, which a retry can't change.
var errRejected = errors.New("rejected")

// putServer writes a server's entry and returns the version of the change.
func (d *discoveryCluster) putServer(ctx context.Context, t endpoint.Endpoint) (uint64, error) {
	return d.putAcknowledged(ctx, endpoint.ServerPath(t.ID), t)
}

// putSettings writes all settings of a service and returns the version of the change.
func (d *discoveryCluster) putSettings(
	ctx context.Context, service string, settings *experiment.ServiceSettings,
) (uint64, error) {
	return d.putAcknowledged(ctx, endpoint.SettingsPath(service), settings)
}

// putAcknowledged puts a value as JSON to the admin endpoint of an instance. It retries at the next instance until the
// write is acknowledged or rejected as invalid, or until ctx ends.
func (d *discoveryCluster) putAcknowledged(ctx context.Context, path string, value any) (uint64, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	for {
		name := d.Names()[int(d.nextInstance.Load())%len(d.Names())]
		version, err := d.put(ctx, "http://"+d.Addr(name, processtest.AdminPort)+path, body)
		if err == nil || errors.Is(err, errRejected) {
			return version, err
		}
		d.nextInstance.Add(1)
		select {
		case <-ctx.Done():
			return 0, errors.Join(ctx.Err(), err)
		case <-time.After(writeRetryInterval):
		}
	}
}

// put sends one write and returns its version.
func (d *discoveryCluster) put(ctx context.Context, url string, body []byte) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	response, err := d.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // nothing was written to it
	text, err := io.ReadAll(io.LimitReader(response.Body, maxWriteResponse))
	if err != nil {
		return 0, err
	}
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		return 0, fmt.Errorf("put: %w: %s", errRejected, bytes.TrimSpace(text))
	default:
		return 0, fmt.Errorf("put: %s: %s", response.Status, bytes.TrimSpace(text))
	}
	var written server.WriteResult
	err = json.Unmarshal(text, &written)
	return written.Version, err
}
