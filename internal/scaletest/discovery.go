package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

// lists is the real list service: instances whose Raft links pass through proxies that can be cut.
type discoveryCluster struct {
	*processtest.Cluster
	client       *http.Client
	nextInstance atomic.Uint32 // the instance that is written to
}

const (
	// writeTime is how long one write may take: longer than the service waits for a commit.
	writeTimeout = 6 * time.Second
	// leaderTime is how long an election may take on a full machine.
	leaderTimeout = 30 * time.Second
	// retryEvery is how often a write that failed is tried again.
	writeRetryInterval = 20 * time.Millisecond
)

// startLists starts so many instances, each on an address of its own, and waits until one leads.
func startDiscovery(program, dir string, count int, ip func(i int) string) (*discoveryCluster, error) {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("list-%d", i+1))
	}
	c, err := processtest.New(processtest.Config{Binary: program, Dir: dir, Names: names, Ports: []string{"raft", "http", "admin"},
		IP: func(name string) string { return ip(slices.Index(names, name)) },
		Args: func(c *processtest.Cluster, name string) []string {
			path := filepath.Join(dir, name+".toml")
			if err := writeDiscoveryConfig(c, name, dir, path); err != nil {
				return []string{"serve", "--config", filepath.Join(dir, "none")} // it then says that it can't
			}
			return []string{"serve", "--config", path}
		}})
	if err != nil {
		return nil, err
	}
	l := &discoveryCluster{Cluster: c, client: &http.Client{Timeout: writeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for _, n := range names {
		if err := c.Start(n); err != nil {
			c.Close()
			return nil, err
		}
	}
	if _, err := l.awaitLeader(); err != nil {
		c.Close()
		return nil, err
	}
	return l, nil
}

// awaitLeader waits until an instance leads.
func (l *discoveryCluster) awaitLeader() (lead string, err error) {
	err = processtest.Await(leaderTimeout, "the list service has a leader", func() bool {
		lead = l.leader()
		return lead != ""
	})
	return lead, err
}

// writeListConfig writes an instance's configuration: it reaches the others by links of its own.
func writeDiscoveryConfig(c *processtest.Cluster, name, dir, path string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "id = %q\ndata_dir = %q\nraft_addr = \"fd:3\"\nhttp_addr = \"fd:4\"\nadmin_addr = \"fd:5\"\nbootstrap = %v\n",
		name, filepath.Join(dir, name), name == c.Names()[0])
	for _, p := range c.Names() {
		if p == name {
			continue
		}
		l, err := c.Link(name, p, "raft")
		if err != nil {
			return err
		}
		fmt.Fprintf(&b, "[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", p, l.Addr(), c.Addr(p, "admin"))
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// status is what an instance tells of itself.
func (l *discoveryCluster) status(name string) (st server.Status, err error) {
	resp, err := l.client.Get("http://" + l.Addr(name, "admin") + "/v1/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// leader is the instance that leads, or "" while none is known to.
func (l *discoveryCluster) leader() string {
	for _, n := range l.Names() {
		if !l.Running(n) {
			continue
		}
		if st, err := l.status(n); err == nil && st.State == "Leader" {
			return n
		}
	}
	return ""
}

// errRefused ends a write that no other try can make good.
var errRejected = errors.New("refused")

// put sets a server's entry; it gives the change's version.
func (l *discoveryCluster) putServer(ctx context.Context, t endpoint.Target) (version uint64, err error) {
	return l.putAcknowledged(ctx, "/v1/servers/"+t.ID, t)
}

// putSettings sets a service's settings whole; it gives the change's version.
func (l *discoveryCluster) putSettings(ctx context.Context, service string, settings map[string]any) (version uint64, err error) {
	return l.putAcknowledged(ctx, "/v1/settings/"+service, settings)
}

// persist puts a value as JSON through any instance's admin door, again at the next one where it
// fails, until it is acknowledged or refused as wrong, or ctx ends.
func (l *discoveryCluster) putAcknowledged(ctx context.Context, path string, value any) (version uint64, err error) {
	body, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	for {
		name := l.Names()[int(l.nextInstance.Load())%len(l.Names())]
		version, err := l.put(ctx, "http://"+l.Addr(name, "admin")+path, body)
		if err == nil || errors.Is(err, errRejected) {
			return version, err
		}
		l.nextInstance.Add(1)
		select {
		case <-ctx.Done():
			return 0, errors.Join(ctx.Err(), err)
		case <-time.After(writeRetryInterval):
		}
	}
}

func (l *discoveryCluster) put(ctx context.Context, url string, body []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode == http.StatusBadRequest {
		return 0, fmt.Errorf("put: %w: %s", errRejected, bytes.TrimSpace(text))
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("put: %s: %s", resp.Status, bytes.TrimSpace(text))
	}
	var v struct{ Version uint64 }
	return v.Version, json.Unmarshal(text, &v)
}
