package server_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"fernbeam.example/fernbeam/internal/discovery/server"
	"fernbeam.example/fernbeam/internal/endpoint"
	"fernbeam.example/fernbeam/internal/processtest"
)

const (
	// maxServedAge is the age that no read may exceed: max_stale, and the time in which a leader without a
	// majority steps down.
	maxServedAge = processMaxStale + 500*time.Millisecond
	// agedWriteInterval is the time between two writes, and agedReadInterval that between two reads of an
	// instance, which do not wait for each other.
	agedWriteInterval, agedReadInterval = 50 * time.Millisecond, 200 * time.Millisecond
	// agedServers is the number of servers that are written and removed in turn.
	agedServers = 20
	// timeBeforeFault and timeAfterFault are the times with reads before and after a fault. The leader of a
	// follower that was cut off sends it entries again only after a backoff of up to 10.24 s.
	timeBeforeFault, timeAfterFault = time.Second, 11 * time.Second
)

// instanceFault is a fault of one instance.
type instanceFault struct {
	name       string
	begin, end func(cluster *processtest.Cluster, instance string) error
}

// instanceFaults returns the faults of TestReadsAreNeverTooOld.
func instanceFaults() []instanceFault {
	cut := func(cluster *processtest.Cluster, instance string) error {
		cluster.Partition([]string{instance}, cluster.Others(instance))
		return nil
	}
	heal := func(cluster *processtest.Cluster, _ string) error {
		cluster.Heal()
		return nil
	}
	return []instanceFault{
		{"cut", cut, heal},
		{"stop", (*processtest.Cluster).Pause, (*processtest.Cluster).Resume},
	}
}

// TestReadsAreNeverTooOld checks, with writes and removals of entries going on, that no instance answers a
// read with a list older than maxServedAge while and after one of them is cut off from the others or its
// process is stopped. Guards against an instance that takes contact with a leader, or its own state as the
// leader, for the completeness of its list.
func TestReadsAreNeverTooOld(t *testing.T) {
	t.Parallel()
	durations := []time.Duration{5 * time.Second, 25 * time.Second}
	if os.Getenv(longTestsVariable) != "" {
		durations = append(durations, 40*time.Second)
	}
	for _, duration := range durations {
		for _, role := range []server.MemberState{server.StateFollower, server.StateLeader} {
			for _, fault := range instanceFaults() {
				t.Run(fmt.Sprintf("%s of a %s for %v", fault.name, role, duration), func(t *testing.T) {
					t.Parallel()
					cluster, leader := startClusterWithLeader(t)
					instance := leader
					if role == server.StateFollower {
						instance = cluster.Others(leader)[0]
					}
					history := startAgedHistory(cluster, instance)
					time.Sleep(timeBeforeFault)
					if err := fault.begin(cluster, instance); err != nil {
						t.Fatal(err)
					}
					time.Sleep(duration)
					if err := fault.end(cluster, instance); err != nil {
						t.Fatal(err)
					}
					ended := history.recorder.now()
					time.Sleep(timeAfterFault)
					history.stopClients()
					if err := history.check(instance, ended); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// agedHistory is the history of a client that writes at all instances but one, and of one that reads at all.
type agedHistory struct {
	recorder *recorder
	cluster  *processtest.Cluster
	client   *http.Client // waits for an instance that is stopped
	stop     chan struct{}
	clients  sync.WaitGroup
}

// startAgedHistory starts the clients. The writes avoid the given instance.
func startAgedHistory(cluster *processtest.Cluster, avoided string) *agedHistory {
	h := &agedHistory{
		recorder: &recorder{start: time.Now()},
		cluster:  cluster,
		client:   &http.Client{Timeout: time.Minute},
		stop:     make(chan struct{}),
	}
	writable := cluster.Others(avoided)
	h.repeat(agedWriteInterval, func(i int) { h.write(writable[i%len(writable)], i) })
	for _, name := range cluster.Names() {
		h.repeat(agedReadInterval, func(int) { h.spawn(func() { h.read(name) }) })
	}
	return h
}

// spawn runs a task in a goroutine that stopClients waits for.
func (h *agedHistory) spawn(task func()) {
	h.clients.Add(1)
	go func() {
		defer h.clients.Done()
		task()
	}()
}

// repeat makes a call at an interval, in its own goroutine, until stopClients is called.
func (h *agedHistory) repeat(interval time.Duration, call func(i int)) {
	h.spawn(func() {
		for i := 0; ; i++ {
			select {
			case <-h.stop:
				return
			case <-time.After(interval):
				call(i)
			}
		}
	})
}

// write writes an entry at an instance, or removes the one that was written before it.
func (h *agedHistory) write(name string, i int) {
	addr := h.cluster.Addr(name, processtest.AdminPort)
	id := fmt.Sprint("s-", i/2%agedServers)
	record := writeRecord{id: fmt.Sprint(id, " of write ", i), started: h.recorder.now()}
	if i%2 == 0 {
		record.version = putServer(addr, id)
	} else {
		record.version = request(http.MethodDelete, addr+endpoint.ServerPath(id), "").version()
	}
	record.ended = h.recorder.now()
	h.recorder.writes.Add(record)
}

// read reads the list at an instance and records it, unless the instance rejects the read.
func (h *agedHistory) read(name string) {
	record := readRecord{instance: name, started: h.recorder.now()}
	// Not canceled at the end of the test: stopClients waits for it.
	resp, err := get(context.Background(), h.client, h.cluster.Addr(name, processtest.HTTPPort)+endpoint.ListPath)
	if err != nil {
		return
	}
	defer closeBody(resp)
	var list endpoint.List
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(&list) == nil {
		record.version = list.Version
		h.recorder.reads.Add(record)
	}
}

// stopClients stops the clients and waits for them.
func (h *agedHistory) stopClients() {
	close(h.stop)
	h.clients.Wait()
}

// check returns an error if a read was too old, if no write was acknowledged, or if the instance served no
// read after its fault had ended. Versions need not be unique: a write that changes nothing, because the one
// before it failed, is acknowledged with the version that the entry has.
func (h *agedHistory) check(instance string, faultEnded time.Duration) error {
	acknowledged := h.recorder.acknowledged()
	var errs []error
	if len(acknowledged) == 0 {
		errs = append(errs, errors.New("no write was acknowledged"))
	}
	servedAfter, tooOld := 0, 0
	for _, read := range h.recorder.reads.All() {
		if read.instance == instance && read.started > faultEnded {
			servedAfter++
		}
		if err := checkFresh(acknowledged, read, maxServedAge); err != nil {
			tooOld++
			if tooOld == 1 {
				errs = append(errs, err)
			}
		}
	}
	if servedAfter == 0 {
		errs = append(errs, fmt.Errorf("%s served no read after its fault", instance))
	}
	if tooOld > 0 {
		errs = append(errs, fmt.Errorf("%d of %d reads too old", tooOld, len(h.recorder.reads.All())))
	}
	return errors.Join(errs...)
}
