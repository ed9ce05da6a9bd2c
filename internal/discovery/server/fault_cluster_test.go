package server_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// longTestsVariable is the environment variable that makes tests run at full length.
	longTestsVariable = "DISCOVERY_LONG_TESTS"
	// convergenceTimeout bounds the wait for a condition during and after a fault.
	convergenceTimeout = 60 * time.Second
	// maxWritePause bounds the random pause between two writes of a client, which keeps the clients from
	// writing in step.
	maxWritePause = 40 * time.Millisecond
	// readPause is the pause between two reads of a client. It limits the length of the history.
	readPause = 250 * time.Millisecond
	// maxLogBytesShown is the number of bytes of an instance's log that a failed test shows.
	maxLogBytesShown = 6000
)

// Extensions of an instance's files in the directory of its cluster.
const (
	configExtension = "toml"
	faultExtension  = "fault" // the FaultyStore's control file
	logExtension    = "log"   // written by processtest
)

// soleInstance is the name of the instance of a single-instance cluster.
const soleInstance = "n1"

// faultCluster is a cluster of instances with a FaultyStore each, which run this test binary as
// processes. It includes clients that write and read, and records their history.
type faultCluster struct {
	*processtest.Cluster
	t        *testing.T
	dir      string
	recorder *recorder
	stop     chan struct{} // closed by stopClients
	stopOnce sync.Once
	clients  sync.WaitGroup
}

// configOption changes an instance's configuration file.
type configOption func(*processtest.DiscoveryFile)

// startFaultCluster starts the named instances, each configured with the options, and waits for a
// leader.
func startFaultCluster(t *testing.T, instances []string, options ...configOption) *faultCluster {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cluster := &faultCluster{t: t, dir: t.TempDir(), recorder: &recorder{start: time.Now()}, stop: make(chan struct{})}
	environment := func(name string) []string {
		return []string{
			configVariable + "=" + cluster.path(name, configExtension),
			faultVariable + "=" + cluster.path(name, faultExtension),
		}
	}
	cluster.Cluster, err = processtest.New(processtest.Config{
		Binary: binary,
		Dir:    cluster.dir,
		Names:  instances,
		Ports:  processtest.DiscoveryPorts(),
		Env:    environment,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	t.Cleanup(cluster.stopClients)
	for _, name := range instances {
		cluster.writeConfig(name, options)
		if err := cluster.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	cluster.await("a leader", func() bool { return cluster.leader() != "" })
	return cluster
}

// path returns the path of an instance's file with the given extension.
func (c *faultCluster) path(name, extension string) string {
	return filepath.Join(c.dir, name+"."+extension)
}

// dataDir returns the data directory of an instance.
func (c *faultCluster) dataDir(name string) string { return filepath.Join(c.dir, name) }

// writeConfig writes the configuration file of an instance that connects to its peers directly.
func (c *faultCluster) writeConfig(name string, options []configOption) {
	c.t.Helper()
	file := c.DirectDiscoveryFile(name)
	file.MaxStale = processMaxStale
	for _, option := range options {
		option(&file)
	}
	if err := file.Write(c.path(name, configExtension)); err != nil {
		c.t.Fatal(err)
	}
}

// await waits for a condition, and fails the test if it is not met within convergenceTimeout.
func (c *faultCluster) await(what string, condition func() bool) {
	c.t.Helper()
	if err := processtest.Await(convergenceTimeout, what, condition); err != nil {
		c.showLogs()
		c.t.Fatal(err)
	}
}

// showLogs logs the status and the end of the log of each instance.
func (c *faultCluster) showLogs() {
	c.t.Helper()
	for _, name := range c.Names() {
		text, _ := os.ReadFile(c.path(name, logExtension)) // a missing log is shown as empty
		end := text[max(0, len(text)-maxLogBytesShown):]
		c.t.Logf("%s: status %+v, end of the log:\n%s", name, statusAt(c.Addr(name, processtest.AdminPort)), end)
	}
}

// leader returns the name of a running instance that is the leader, or "" if there is none.
func (c *faultCluster) leader() string { return leader(c.Cluster) }

// followers returns the names of the instances that are not the leader.
func (c *faultCluster) followers() []string { return c.Others(c.leader()) }

// pids returns the process IDs of the instances, by name.
func (c *faultCluster) pids() map[string]int {
	pids := map[string]int{}
	for _, name := range c.Names() {
		pids[name] = c.Pid(name)
	}
	return pids
}

// setFault sets the fault of an instance's store, which lasts until the next call of setFault. It
// replaces the control file atomically.
func (c *faultCluster) setFault(name string, fault server.StoreFault) {
	c.t.Helper()
	text, err := json.Marshal(fault)
	if err != nil {
		c.t.Fatal(err)
	}
	path := c.path(name, faultExtension)
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		c.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		c.t.Fatal(err)
	}
}

// startClients starts the given number of writers, each of which writes to all instances in turn, and
// one reader per instance.
func (c *faultCluster) startClients(writers int) {
	for writer := range writers {
		c.repeat(func(i int) {
			name := c.Names()[(writer+i)%len(c.Names())]
			c.write(name, fmt.Sprintf("s-%d-%d", writer, i))
			time.Sleep(randomBelow(maxWritePause))
		})
	}
	for _, name := range c.Names() {
		c.repeat(func(int) {
			if read, ok := c.read(name); ok {
				c.recorder.reads.Add(read)
			}
			time.Sleep(readPause)
		})
	}
}

// randomBelow returns a random duration below limit, in whole milliseconds.
func randomBelow(limit time.Duration) time.Duration {
	return time.Duration(rand.Int64N(limit.Milliseconds())) * time.Millisecond
}

// repeat runs a call in a loop, in its own goroutine, until stopClients is called.
func (c *faultCluster) repeat(call func(i int)) {
	c.clients.Add(1)
	go func() {
		defer c.clients.Done()
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			default:
				call(i)
			}
		}
	}()
}

// write writes an entry at an instance, records the write and reports whether it was acknowledged.
func (c *faultCluster) write(name, id string) bool {
	record := writeRecord{id: id, started: c.recorder.now()}
	record.version = putServer(c.Addr(name, processtest.AdminPort), id)
	record.ended = c.recorder.now()
	c.recorder.writes.Add(record)
	return record.version != 0
}

// read reads the full list of an instance and reports whether the instance served it.
func (c *faultCluster) read(name string) (readRecord, bool) {
	record := readRecord{instance: name, started: c.recorder.now()}
	list, served := fetchList(c.Addr(name, processtest.HTTPPort))
	if !served {
		return record, false
	}
	record.version = list.Version
	for _, entry := range list.Servers {
		record.ids = append(record.ids, entry.ID)
	}
	return record, true
}

// stopClients stops the clients that startClients started, and waits until they have ended.
func (c *faultCluster) stopClients() {
	c.stopOnce.Do(func() { close(c.stop) })
	c.clients.Wait()
}

// stopAndCheck stops the clients, makes a last write, waits until each instance has it, and returns an
// error if the history is inconsistent.
func (c *faultCluster) stopAndCheck() error {
	c.t.Helper()
	c.stopClients()
	lastID := func() string { return fmt.Sprint("last-", rand.Int()) }
	c.await("a last write", func() bool { return c.write(c.Names()[0], lastID()) })
	acknowledged := c.recorder.acknowledged()
	last := acknowledged[len(acknowledged)-1].version
	var final []readRecord
	allHaveLast := func() bool {
		final = nil
		for _, name := range c.Names() {
			if read, ok := c.read(name); ok && read.version >= last {
				final = append(final, read)
			}
		}
		return len(final) == len(c.Names())
	}
	if err := processtest.Await(convergenceTimeout, "the last write at each instance", allHaveLast); err != nil {
		c.showLogs()
		return fmt.Errorf("%d of %d instances have version %d: %w", len(final), len(c.Names()), last, err)
	}
	clientHistory := history{writes: c.recorder.writes.All(), reads: c.recorder.reads.All(), final: final}
	return clientHistory.check(maxReadAge)
}
