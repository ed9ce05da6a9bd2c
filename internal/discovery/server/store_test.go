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

// within bounds every wait of these tests.
const waitTimeout = 20 * time.Second

// openFaulty is a retrying store over a bbolt file whose calls can be made to fail.
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
	t.Cleanup(func() { close(closed); bolt.Close() })
	return store, faulty
}

func logEntries(term, first, last uint64) (out []*raft.Log) {
	for index := first; index <= last; index++ {
		out = append(out, &raft.Log{Index: index, Term: term, Data: []byte(`{"op":"remove"}`)})
	}
	return out
}

// finish waits for a call that was begun, and fails the test on its error.
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

// begin runs a call of the store while it fails, and returns once it has failed below.
func startFailingCall(t *testing.T, faulty *FaultyStore, call func() error) <-chan error {
	t.Helper()
	before, done := faulty.failedCalls.Load(), make(chan error, 1)
	go func() { done <- call() }()
	if err := processtest.Await(waitTimeout, "a failed call", func() bool { return faulty.failedCalls.Load() > before+1 || len(done) > 0 }); err != nil {
		t.Fatal(err)
	}
	return done
}

// TestStoreWaitsOutAnOutage: what raft would panic for, or forget, waits until the disk works and
// then has happened; a vote is refused at once.
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
		if err := store.Set([]byte("LastVoteCand"), []byte("n2")); !errors.As(err, new(*StoreError)) || !errors.Is(store.available(), syscall.ENOSPC) {
			t.Errorf("%s: vote %v, available %v in the outage", name, err, store.available())
		}
		faulty.Fail(nil)
		waitForCall(t, done)
		if err := processtest.Await(waitTimeout, "the end of the outage", func() bool { return store.available() == nil }); err != nil {
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

// TestFailedAppendLeavesNoEntries: an append of a leader that failed but reached the file is
// removed before another, shorter one follows it.
func TestFailedAppendLeavesNoEntries(t *testing.T) {
	store, faulty := openFaultyStore(t)
	if err := store.StoreLogs(logEntries(1, 1, 3)); err != nil {
		t.Fatal(err)
	}
	faulty.Fail(&StoreFault{Log: true, Applied: true, Err: syscall.ENOSPC})
	if err := store.write("append entries", store.appendEntries(logEntries(1, 4, 9))); !errors.Is(err, syscall.ENOSPC) {
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

// TestTermNeverGoesBack: an older term that is saved late changes nothing and needs no disk.
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

// TestHangingStoreIsUnavailable: a write that neither succeeds nor fails counts as an outage.
func TestHangingWriteMakesStoreUnavailable(t *testing.T) {
	store, _ := openFaultyStore(t)
	store.outageLimit = time.Millisecond
	release, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- store.write("append entries", func() error { <-release; return nil }) }()
	if err := processtest.Await(waitTimeout, "an outage", func() bool { return errors.Is(store.available(), errStoreTimeout) }); err != nil {
		t.Fatal(err)
	}
	close(release)
	waitForCall(t, done)
	if err := store.available(); err != nil {
		t.Errorf("after the write: %v", err)
	}
	if store.health.behindSince(time.Now(), time.Minute).IsZero() {
		t.Error("the list does not count as behind after the outage")
	}
}
