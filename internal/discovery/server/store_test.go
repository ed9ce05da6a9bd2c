package server

import (
	"errors"
	"log/slog"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"fernbeam.example/fernbeam/internal/processtest"
)

// waitTimeout bounds each wait of these tests.
const waitTimeout = 20 * time.Second

// openFaultyStore returns a retrying store on a new bbolt file, and the store below it, whose calls
// can be made to fail.
func openFaultyStore(t *testing.T) (*retryingStore, *FaultyStore) {
	t.Helper()
	path := filepath.Join(t.TempDir(), storeFile)
	bolt, err := raftboltdb.NewBoltStore(path)
	if err != nil {
		t.Fatal(err)
	}
	faulty := &FaultyStore{Store: bolt}
	closed := make(chan struct{})
	store, err := newRetryingStore(faulty, slog.New(slog.DiscardHandler), time.Minute, closed)
	if err != nil {
		t.Fatal(err)
	}
	store.rewriteLastCommit = func() error { return rewriteMetaPages(path) }
	t.Cleanup(func() {
		close(closed)
		if err := bolt.Close(); err != nil {
			t.Error(err)
		}
	})
	return store, faulty
}

// logEntries returns log entries with the indexes from first to last.
func logEntries(term, first, last uint64) []*raft.Log {
	var entries []*raft.Log
	for index := first; index <= last; index++ {
		entries = append(entries, &raft.Log{Index: index, Term: term, Data: []byte(`{"op":"remove"}`)})
	}
	return entries
}

// waitForCall waits for a call that was started, and fails the test on its error.
func waitForCall(t *testing.T, call <-chan error) {
	t.Helper()
	select {
	case err := <-call:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the call has not returned")
	}
}

// startFailingCall starts a call of a store that fails, and returns once the call has failed below
// or has returned.
func startFailingCall(t *testing.T, faulty *FaultyStore, call func() error) <-chan error {
	t.Helper()
	before := faulty.failedCalls.Load()
	done := make(chan error, 1)
	go func() { done <- call() }()
	hasFailed := func() bool { return faulty.failedCalls.Load() > before+1 || len(done) > 0 }
	if err := processtest.Await(waitTimeout, "a failed call", hasFailed); err != nil {
		t.Fatal(err)
	}
	return done
}

// TestStoreRetriesUntilOutageEnds: operations whose failure would make raft panic, or would leave its
// state inconsistent, return once the disk works and have succeeded then. A vote fails at once.
func TestStoreRetriesUntilOutageEnds(t *testing.T) {
	store, faulty := openFaultyStore(t)
	if err := store.StoreLogs(logEntries(1, 1, 3)); err != nil {
		t.Fatal(err)
	}
	var entry raft.Log
	for name, call := range map[string]func() error{
		"term":   func() error { return store.SetUint64(keyCurrentTerm, store.savedTerm.Load()+1) },
		"append": func() error { return store.StoreLogs(logEntries(1, 4, 6)) },
		"remove": func() error { return store.DeleteRange(1, 1) },
		"read":   func() error { return store.GetLog(2, &entry) },
	} {
		faulty.Fail(&StoreFault{Log: true, Stable: true, Read: name == "read", Err: syscall.ENOSPC})
		done := startFailingCall(t, faulty, call)
		if len(done) > 0 {
			t.Errorf("%s: returned during the outage", name)
		}
		err := store.Set([]byte("LastVoteCand"), []byte("n2"))
		if !errors.As(err, new(*StoreError)) || !errors.Is(store.available(), syscall.ENOSPC) {
			t.Errorf("%s: vote %v, available %v in the outage", name, err, store.available())
		}
		faulty.Fail(nil)
		waitForCall(t, done)
		isAvailable := func() bool { return store.available() == nil }
		if err := processtest.Await(waitTimeout, "the end of the outage", isAvailable); err != nil {
			t.Fatal(name, err)
		}
	}
	first, _ := store.FirstIndex()
	last, _ := store.LastIndex()
	term, _ := store.GetUint64(keyCurrentTerm)
	if first != 2 || last != 6 || term != 1 || entry.Index != 2 {
		t.Errorf("entries %d to %d, term %d, entry %d: want 2 to 6, 1, 2", first, last, term, entry.Index)
	}
}

// TestFailedAppendLeavesNoEntries: the entries of a leader's append that failed but reached the file
// are removed before a shorter append.
func TestFailedAppendLeavesNoEntries(t *testing.T) {
	store, faulty := openFaultyStore(t)
	if err := store.StoreLogs(logEntries(1, 1, 3)); err != nil {
		t.Fatal(err)
	}
	faulty.Fail(&StoreFault{Log: true, Applied: true, Err: syscall.ENOSPC})
	if err := store.write(OpAppendEntries, store.appendEntries(logEntries(1, 4, 9))); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("append: %v", err)
	}
	faulty.Fail(nil)
	if err := store.StoreLogs(logEntries(2, 4, 5)); err != nil {
		t.Fatal(err)
	}
	if last, err := store.LastIndex(); last != 5 || err != nil {
		t.Errorf("last entry %d, %v: want 5", last, err)
	}
}

// TestTermNeverDecreases: saving an older term changes nothing and does not use the disk.
func TestTermNeverDecreases(t *testing.T) {
	store, faulty := openFaultyStore(t)
	if err := store.SetUint64(keyCurrentTerm, 6); err != nil {
		t.Fatal(err)
	}
	faulty.Fail(&StoreFault{Log: true, Stable: true, Err: syscall.ENOSPC})
	done := make(chan error, 1)
	go func() { done <- store.SetUint64(keyCurrentTerm, 5) }()
	waitForCall(t, done)
	if term, err := store.GetUint64(keyCurrentTerm); term != 6 || err != nil {
		t.Errorf("term %d, %v: want 6", term, err)
	}
}

// TestHangingWriteMakesStoreUnavailable: a write that neither succeeds nor fails counts as an outage.
func TestHangingWriteMakesStoreUnavailable(t *testing.T) {
	store, _ := openFaultyStore(t)
	store.outageLimit = time.Millisecond
	release := make(chan error)
	hang := func() error { return <-release }
	done := make(chan error, 1)
	go func() { done <- store.write(OpAppendEntries, hang) }()
	isUnavailable := func() bool { return errors.Is(store.available(), errStoreTimeout) }
	if err := processtest.Await(waitTimeout, "an outage", isUnavailable); err != nil {
		t.Fatal(err)
	}
	close(release)
	waitForCall(t, done)
	if err := store.available(); err != nil {
		t.Errorf("after the write: %v", err)
	}
	if store.health.behindSince(time.Now(), time.Minute).IsZero() {
		t.Error("the list does not count as stale after the outage")
	}
}
