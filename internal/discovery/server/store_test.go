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

// waitTimeout bounds each wait in the tests of retryingStore.
const waitTimeout = 20 * time.Second

// openFaultyStore returns a retryingStore on a new bbolt file, and the FaultyStore that it wraps.
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

// logEntries returns the log entries of a term with the indexes first to last.
func logEntries(term, first, last uint64) []*raft.Log {
	var entries []*raft.Log
	for index := first; index <= last; index++ {
		entries = append(entries, &raft.Log{Index: index, Term: term, Data: []byte(`{"op":"remove"}`)})
	}
	return entries
}

// waitForCall waits for the result of a call, and fails the test if it is an error.
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

// startFailingCall starts a call of a store whose underlying store fails. It returns once the call has
// failed repeatedly in the underlying store, or has returned. The channel gets the call's result.
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

// TestStoreRetriesUntilOutageEnds checks that operations are retried until the outage ends, and then
// succeed, if their failure would make raft panic or leave its state inconsistent. Saving a vote must
// fail immediately.
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
		faulty.SetFault(&StoreFault{Log: true, Stable: true, Read: name == "read", Err: syscall.ENOSPC})
		done := startFailingCall(t, faulty, call)
		if len(done) > 0 {
			t.Errorf("%s: returned during the outage", name)
		}
		err := store.Set([]byte("LastVoteCand"), []byte("n2"))
		if !errors.As(err, new(*StoreError)) || !errors.Is(store.available(), syscall.ENOSPC) {
			t.Errorf("%s: saving a vote returned %v, available returned %v during the outage", name, err, store.available())
		}
		faulty.SetFault(nil)
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

// TestFailedAppendLeavesNoEntries makes a leader's append fail although its entries reach the file. It
// checks that these entries are removed before the next append, which is shorter.
func TestFailedAppendLeavesNoEntries(t *testing.T) {
	store, faulty := openFaultyStore(t)
	if err := store.StoreLogs(logEntries(1, 1, 3)); err != nil {
		t.Fatal(err)
	}
	faulty.SetFault(&StoreFault{Log: true, Applied: true, Err: syscall.ENOSPC})
	if err := store.write(OpAppendEntries, store.appendEntries(logEntries(1, 4, 9))); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("append returned %v, want ENOSPC", err)
	}
	faulty.SetFault(nil)
	if err := store.StoreLogs(logEntries(2, 4, 5)); err != nil {
		t.Fatal(err)
	}
	if last, err := store.LastIndex(); last != 5 || err != nil {
		t.Errorf("last index %d (%v), want 5", last, err)
	}
}

// TestTermNeverDecreases checks that saving an older term changes nothing and does not write to the disk.
func TestTermNeverDecreases(t *testing.T) {
	store, faulty := openFaultyStore(t)
	if err := store.SetUint64(keyCurrentTerm, 6); err != nil {
		t.Fatal(err)
	}
	faulty.SetFault(&StoreFault{Log: true, Stable: true, Err: syscall.ENOSPC})
	done := make(chan error, 1)
	go func() { done <- store.SetUint64(keyCurrentTerm, 5) }()
	waitForCall(t, done)
	if term, err := store.GetUint64(keyCurrentTerm); term != 6 || err != nil {
		t.Errorf("term %d (%v), want 6", term, err)
	}
}

// TestHangingWriteMakesStoreUnavailable checks that a write that neither succeeds nor fails counts as an
// outage, and that the list counts as stale after it.
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
		t.Errorf("store unavailable after the write: %v", err)
	}
	if store.health.behindSince(time.Now(), time.Minute).IsZero() {
		t.Error("the list does not count as stale after the outage")
	}
}
