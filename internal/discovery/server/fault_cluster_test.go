package server_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// instanceConfig and instanceFault are the environment variables by which this test binary
	// runs as an instance: its configuration, and the control file of its store's faults.
	configVariable = "LISTSVC_TEST_CONFIG"
	faultVariable  = "LISTSVC_TEST_FAULT"
	// longRuns asks for the cases in full length.
	longTestsVariable = "LISTSVC_LONG"
	// settled bounds the time in which instances are the same again after a fault.
	convergenceTimeout = 60 * time.Second
	// logShown is how much of an instance's log a failed test shows.
	maxLogShown = 6000
)

// TestMain runs the tests, or one instance where the environment asks for it.
func TestMain(m *testing.M) {
	if path := os.Getenv(configVariable); path != "" {
		if err := runInstance(path); err != nil {
			fmt.Fprintln(os.Stderr, "instance:", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runInstance is one instance with a FaultyStore until SIGTERM; SIGUSR1 makes it take a snapshot.
func runInstance(path string) error {
	config, err := server.Load(path)
	if err != nil {
		return err
	}
	config.WrapStore = func(store server.Store) server.Store {
		return &server.FaultyStore{Store: store, Control: os.Getenv(faultVariable)}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	node, err := server.Start(config, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1)
	for received := range signals {
		if received == syscall.SIGTERM {
			return node.Close()
		}
		log.Info("snapshot", "err", node.Snapshot())
	}
	return nil
}

// diskLab is a cluster of instances of this test binary, clients that write and read all the
// while, and their history.
type faultCluster struct {
	*processtest.Cluster
	t        *testing.T
	dir      string
	history  *history
	stop     chan struct{}
	stopOnce sync.Once // closes stop
	clients  sync.WaitGroup
}

// startDiskLab starts the instances and waits for a leader; program nil: this test binary.
func startFaultCluster(t *testing.T, instances []string, extra string) *faultCluster {
	t.Helper()
	binary, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	lab := &faultCluster{t: t, dir: t.TempDir(), history: newHistory(), stop: make(chan struct{})}
	lab.Cluster, err = processtest.New(processtest.Config{Binary: binary, Dir: lab.dir, Names: instances,
		Ports: []string{"raft", "http", "admin"},
		Env: func(name string) []string {
			return []string{configVariable + "=" + lab.path(name, "toml"), faultVariable + "=" + lab.path(name, "fault")}
		}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lab.Close)
	t.Cleanup(lab.stopClients)
	for _, name := range instances {
		lab.writeConfig(name, extra)
		if err := lab.Start(name); err != nil {
			t.Fatal(err)
		}
	}
	lab.await("a leader", func() bool { return lab.leader() != "" })
	return lab
}

func (lab *faultCluster) path(name, extension string) string {
	return filepath.Join(lab.dir, name+"."+extension)
}

func (lab *faultCluster) storePath(name string) string {
	return filepath.Join(lab.dir, name, "raft.db")
}

func (lab *faultCluster) writeConfig(name, extra string) {
	var text strings.Builder
	fmt.Fprintf(&text, "id = %q\ndata_dir = %q\nraft_addr = \"fd:3\"\nhttp_addr = \"fd:4\"\nadmin_addr = \"fd:5\"\n"+
		"bootstrap = %v\nmax_stale = \"1s\"\n%s\n", name, filepath.Join(lab.dir, name), name == lab.Names()[0], extra)
	for _, peer := range lab.Names() {
		if peer != name {
			fmt.Fprintf(&text, "[[peers]]\nid = %q\nraft = %q\nadmin = %q\n", peer, lab.Addr(peer, "raft"), lab.Addr(peer, "admin"))
		}
	}
	if err := os.WriteFile(lab.path(name, "toml"), []byte(text.String()), 0o644); err != nil {
		lab.t.Fatal(err)
	}
}

func (lab *faultCluster) await(what string, condition func() bool) {
	lab.t.Helper()
	if err := processtest.Await(convergenceTimeout, what, condition); err != nil {
		lab.showLogs()
		lab.t.Fatal(err)
	}
}

// showLogs tells the test's log how each instance's own ends.
func (lab *faultCluster) showLogs() {
	for _, name := range lab.Names() {
		text, _ := os.ReadFile(lab.path(name, "log"))
		lab.t.Logf("%s, status %+v; its log ends:\n%s", name, statusAt(lab.Addr(name, "admin")), text[max(0, len(text)-maxLogShown):])
	}
}

func (lab *faultCluster) leader() string {
	for _, name := range lab.Names() {
		if lab.Running(name) && statusAt(lab.Addr(name, "admin")).State == "Leader" {
			return name
		}
	}
	return ""
}

// pids are the running instances' process ids.
func (lab *faultCluster) pids() map[string]int {
	out := map[string]int{}
	for _, name := range lab.Names() {
		out[name] = lab.Pid(name)
	}
	return out
}

// fail sets an instance's fault, until it is set again; it replaces the file whole.
func (lab *faultCluster) setFault(name string, fault server.StoreFault) {
	text, _ := json.Marshal(fault)
	path := lab.path(name, "fault")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		lab.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		lab.t.Fatal(err)
	}
}

// run starts writers, each at instances in turn, and a reader of each instance.
func (lab *faultCluster) startClients(writers int) {
	for w := range writers {
		lab.repeat(func(i int) {
			lab.write(lab.Names()[(w+i)%len(lab.Names())], fmt.Sprintf("s-%d-%d", w, i))
			time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
		})
	}
	for _, name := range lab.Names() {
		lab.repeat(func(int) {
			if read, ok := lab.read(name); ok {
				lab.history.recordRead(read)
			}
			time.Sleep(250 * time.Millisecond)
		})
	}
}

// client repeats a call until finish.
func (lab *faultCluster) repeat(call func(i int)) {
	lab.clients.Add(1)
	go func() {
		defer lab.clients.Done()
		for i := 0; ; i++ {
			select {
			case <-lab.stop:
				return
			default:
				call(i)
			}
		}
	}()
}

// write makes one write and records it; it tells whether it was acknowledged.
func (lab *faultCluster) write(name, id string) bool {
	record := writeRecord{id: id, started: lab.history.now()}
	record.version = putServer(lab.Addr(name, "admin"), id)
	record.ended = lab.history.now()
	lab.history.recordWrite(record)
	return record.version != 0
}

// read is an instance's whole list; false where it gives none.
func (lab *faultCluster) read(name string) (readRecord, bool) {
	record := readRecord{instance: name, started: lab.history.now()}
	resp, err := writeClient.Get("http://" + lab.Addr(name, "http") + "/api/targets")
	if err != nil {
		return record, false
	}
	defer resp.Body.Close()
	var list endpoint.List
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&list) != nil {
		return record, false
	}
	record.version = list.Version
	for _, server := range list.Servers {
		record.ids = append(record.ids, server.ID)
	}
	return record, true
}

// stopClients ends the clients that run started.
func (lab *faultCluster) stopClients() {
	lab.stopOnce.Do(func() { close(lab.stop) })
	lab.clients.Wait()
}

// finish stops the clients, waits until every instance has the last acknowledged write, and
// checks the history.
func (lab *faultCluster) stopAndCheck(stale time.Duration) error {
	lab.stopClients()
	lab.await("a write after it all", func() bool { return lab.write(lab.Names()[0], fmt.Sprint("last-", rand.Int())) })
	acked := lab.history.acknowledged()
	last := acked[len(acked)-1].version
	processtest.Await(convergenceTimeout, "every instance at the last write", func() bool {
		lab.history.final = nil
		for _, name := range lab.Names() {
			if read, ok := lab.read(name); ok && read.version >= last {
				lab.history.final = append(lab.history.final, read)
			}
		}
		return len(lab.history.final) == len(lab.Names())
	})
	if len(lab.history.final) < len(lab.Names()) {
		lab.showLogs()
		return fmt.Errorf("%d of %d instances came to version %d", len(lab.history.final), len(lab.Names()), last)
	}
	return lab.history.check(stale)
}
