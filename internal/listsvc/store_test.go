package listsvc

import (
	"errors"
	"log/slog"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"clayproxy.example/clayproxy/internal/cluster"
)

// within bounds every wait of these tests.
const within = 20 * time.Second

// faultyStore is a store whose writes, and with reads too its reads, fail while failing is set;
// with applied a write that fails has happened all the same, as after a sync that failed.
type faultyStore struct {
	Store
	failing, applied, reads atomic.Bool
	calls                   atomic.Int64 // that failed
}

func (f *faultyStore) write(do func() error) error {
	if !f.failing.Load() {
		return do()
	}
	if f.applied.Load() {
		do()
	}
	f.calls.Add(1)
	return syscall.ENOSPC
}

func (f *faultyStore) StoreLogs(entries []*raft.Log) error {
	return f.write(func() error { return f.Store.StoreLogs(entries) })
}

func (f *faultyStore) DeleteRange(first, last uint64) error {
	return f.write(func() error { return f.Store.DeleteRange(first, last) })
}

func (f *faultyStore) Set(key, value []byte) error {
	return f.write(func() error { return f.Store.Set(key, value) })
}

func (f *faultyStore) SetUint64(key []byte, value uint64) error {
	return f.write(func() error { return f.Store.SetUint64(key, value) })
}

func (f *faultyStore) GetLog(index uint64, entry *raft.Log) error {
	if f.reads.Load() && f.failing.Load() {
		f.calls.Add(1)
		return syscall.EIO
	}
	return f.Store.GetLog(index, entry)
}

// openFaulty is a retrying store over a bbolt file whose calls can be made to fail.
func openFaulty(t *testing.T) (*retryingStore, *faultyStore) {
	t.Helper()
	path := filepath.Join(t.TempDir(), storeFile)
	bolt, err := raftboltdb.NewBoltStore(path)
	if err != nil {
		t.Fatal(err)
	}
	faulty := &faultyStore{Store: bolt}
	closed := make(chan struct{})
	store, err := newRetryingStore(faulty, slog.New(slog.DiscardHandler), time.Minute, closed)
	if err != nil {
		t.Fatal(err)
	}
	store.rewrite = func() error { return rewriteMeta(path) }
	t.Cleanup(func() { close(closed); bolt.Close() })
	return store, faulty
}

func entries(term, first, last uint64) (out []*raft.Log) {
	for index := first; index <= last; index++ {
		out = append(out, &raft.Log{Index: index, Term: term, Data: []byte(`{"op":"remove"}`)})
	}
	return out
}

// finish waits for a call that was begun, and fails the test on its error.
func finish(t *testing.T, call <-chan error) {
	t.Helper()
	select {
	case err := <-call:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(within):
		t.Fatal("the call has not returned")
	}
}

// begin runs a call of the store while it fails, and returns once it has failed below.
func begin(t *testing.T, faulty *faultyStore, call func() error) <-chan error {
	t.Helper()
	before, done := faulty.calls.Load(), make(chan error, 1)
	go func() { done <- call() }()
	if err := cluster.Await(within, "a failed call", func() bool { return faulty.calls.Load() > before+1 || len(done) > 0 }); err != nil {
		t.Fatal(err)
	}
	return done
}

// TestStoreWaitsOutAnOutage: what raft would panic for, or forget, waits until the disk works and
// then has happened; a vote is refused at once.
func TestStoreWaitsOutAnOutage(t *testing.T) {
	store, faulty := openFaulty(t)
	if err := store.StoreLogs(entries(1, 1, 3)); err != nil {
		t.Fatal(err)
	}
	var entry raft.Log
	for name, call := range map[string]func() error{
		"term":   func() error { return store.SetUint64(keyCurrentTerm, store.savedTerm.Load()+1) },
		"append": func() error { return store.StoreLogs(entries(1, 4, 6)) },
		"remove": func() error { return store.DeleteRange(1, 1) },
		"read":   func() error { return store.GetLog(2, &entry) },
	} {
		faulty.reads.Store(name == "read")
		faulty.failing.Store(true)
		done := begin(t, faulty, call)
		if len(done) > 0 {
			t.Errorf("%s: returned during the outage", name)
		}
		if err := store.Set([]byte("LastVoteCand"), []byte("n2")); !errors.As(err, new(*StoreError)) || !errors.Is(store.available(), syscall.ENOSPC) && !errors.Is(store.available(), syscall.EIO) {
			t.Errorf("%s: vote %v, available %v in the outage", name, err, store.available())
		}
		faulty.failing.Store(false)
		finish(t, done)
		if err := cluster.Await(within, "the end of the outage", func() bool { return store.available() == nil }); err != nil {
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
	store, faulty := openFaulty(t)
	if err := store.StoreLogs(entries(1, 1, 3)); err != nil {
		t.Fatal(err)
	}
	faulty.applied.Store(true)
	faulty.failing.Store(true)
	if err := store.write("append entries", store.appendEntries(entries(1, 4, 9))); !errors.Is(err, syscall.ENOSPC) {
		t.Fatalf("append: %v", err)
	}
	faulty.failing.Store(false)
	if err := store.StoreLogs(entries(2, 4, 5)); err != nil {
		t.Fatal(err)
	}
	if last, err := store.LastIndex(); last != 5 || err != nil {
		t.Errorf("last entry %d, %v: want 5", last, err)
	}
}

// TestTermNeverGoesBack: an older term that is saved late changes nothing and needs no disk.
func TestTermNeverGoesBack(t *testing.T) {
	store, faulty := openFaulty(t)
	if err := store.SetUint64(keyCurrentTerm, 6); err != nil {
		t.Fatal(err)
	}
	faulty.failing.Store(true)
	done := make(chan error, 1)
	go func() { done <- store.SetUint64(keyCurrentTerm, 5) }()
	finish(t, done)
	if term, err := store.GetUint64(keyCurrentTerm); term != 6 || err != nil {
		t.Errorf("term %d, %v: want 6", term, err)
	}
}

// TestHangingStoreIsUnavailable: a write that neither succeeds nor fails counts as an outage.
func TestHangingStoreIsUnavailable(t *testing.T) {
	store, _ := openFaulty(t)
	store.outageLimit = time.Millisecond
	release, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- store.write("append entries", func() error { <-release; return nil }) }()
	if err := cluster.Await(within, "an outage", func() bool { return errors.Is(store.available(), errSlowStore) }); err != nil {
		t.Fatal(err)
	}
	close(release)
	finish(t, done)
	if err := store.available(); err != nil {
		t.Errorf("after the write: %v", err)
	}
	if store.health.behindSince(time.Now(), time.Minute).IsZero() {
		t.Error("the list does not count as behind after the outage")
	}
}
