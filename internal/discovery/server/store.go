package server

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// repairPause is the time between two attempts to bring a failing store back.
const repairInterval = 50 * time.Millisecond

// keyCurrentTerm is hashicorp/raft's key of the current term, and keyProbe that of the value by
// which a store that has failed is tried.
var (
	keyCurrentTerm = []byte("CurrentTerm")
	keyProbe       = []byte("StoreProbe")
)

// errSlowStore is the cause of an outage in which the store neither succeeds nor fails.
var errStoreTimeout = errors.New("no answer from the disk")

// Store is what an instance keeps on disk for Raft: the log, and the term and the vote.
type Store interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// StoreError is a write that the store did not carry out; nothing of it is acknowledged.
type StoreError struct {
	Operation string
	Err       error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("store unavailable: %s: %v", e.Operation, e.Err)
}

func (e *StoreError) Unwrap() error { return e.Err }

// retryingStore lets an instance outlive a disk that fails for a while. hashicorp/raft v1.7.3
// panics where the term can't be saved or a committed entry can't be read; it takes an error
// everywhere else, but not always whole. So each operation that fails begins an outage, in which
// no write reaches the disk before a repair has succeeded, and the operation itself
//
//   - waits for the repair and runs again, for the term and for reads of entries (raft would
//     panic), for the removal of entries, and for a follower's append: raft forgets that it has
//     truncated the log where the append after it fails;
//   - returns a StoreError at once, for a vote (it is not given) and for a leader's append (raft
//     fails the writes and steps down, so that others elect a leader).
//
// Close ends the waits for removals and appends, with an error; the other waits never return.
//
// While the store is unavailable gatedTransport keeps the instance out of the cluster: it
// sends and answers nothing.
//
// A commit that failed may still be in the file, since its last step is to sync a page that is
// already written. The repair removes the entries of a failed append, so that none of them is
// left behind shorter ones, and rewrites what the failed sync may have dropped (see rewriteMeta).
type retryingStore struct {
	Store
	log               *slog.Logger
	rewriteLastCommit func() error    // makes the file's last commit durable again; nil: nothing to do
	outageLimit       time.Duration   // a write that lasts longer counts as an outage
	closed            <-chan struct{} // closes when the instance stops
	member            atomic.Pointer[storeMember]
	savedTerm         atomic.Uint64 // the newest term saved
	health            storeHealth
	writeMu           sync.Mutex // held while Store is written
	failedAppend      uint64     // first index of a failed append, 0: none; guarded by writing
}

// storeMember is the Raft member that a store belongs to.
type storeMember struct {
	raft      *raft.Raft
	recovered func(outages int) // called after each outage with the number of outages so far
}

// newRetryingStore wraps a store that works.
func newRetryingStore(store Store, log *slog.Logger, outageLimit time.Duration, closed <-chan struct{}) (*retryingStore, error) {
	s := &retryingStore{Store: store, log: log, outageLimit: outageLimit, closed: closed}
	term, err := store.GetUint64(keyCurrentTerm)
	if err != nil && err.Error() != "not found" { // raft's own test: the interface names no error
		return nil, fmt.Errorf("read the term: %w", err)
	}
	s.savedTerm.Store(term)
	return s, nil
}

// attach tells the store of its member, which starts after it.
func (s *retryingStore) attach(member *storeMember) {
	s.member.Store(member)
	if !s.health.behindSince(time.Now(), s.outageLimit).IsZero() {
		s.recovered(s.health.outageCount())
	}
}

// recovered lets the member catch up after an outage, once there is one.
func (s *retryingStore) recovered(outages int) {
	if member := s.member.Load(); member != nil {
		go member.recovered(outages)
	}
}

// leading tells whether this instance leads.
func (s *retryingStore) leading() bool {
	member := s.member.Load()
	return member != nil && member.raft.State() == raft.Leader
}

// available returns a StoreError while the store fails, or while a write to it has lasted
// longer than the limit.
func (s *retryingStore) available() error { return s.health.check(time.Now(), s.outageLimit) }

// StoreLog appends one entry; see StoreLogs.
func (s *retryingStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs appends entries: a leader learns of a failure at once, a follower waits.
func (s *retryingStore) StoreLogs(entries []*raft.Log) error {
	if s.leading() {
		return s.write("append entries", s.appendEntries(entries))
	}
	return s.writeUntilDone("append entries", s.appendEntries(entries))
}

// appendEntries is one append, for write; it notes what the repair has to remove.
func (s *retryingStore) appendEntries(entries []*raft.Log) func() error {
	return func() error {
		err := s.Store.StoreLogs(entries)
		if err != nil && len(entries) > 0 {
			s.failedAppend = entries[0].Index
		}
		return err
	}
}

// DeleteRange removes entries, however long it takes.
func (s *retryingStore) DeleteRange(first, last uint64) error {
	return s.writeUntilDone("remove entries", func() error { return s.Store.DeleteRange(first, last) })
}

// Set saves the candidate voted for, or fails at once.
func (s *retryingStore) Set(key, value []byte) error {
	return s.write("save the vote", func() error { return s.Store.Set(key, value) })
}

// SetUint64 saves the term, however long it takes, or the term of the vote, or fails at once. A
// term that is not newer than the saved one needs no write, and never replaces it: raft saves
// terms from two goroutines.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	if string(key) != string(keyCurrentTerm) {
		return s.write("save the term of the vote", func() error { return s.Store.SetUint64(key, value) })
	}
	saveTerm := func() error {
		if value <= s.savedTerm.Load() {
			return nil
		}
		if err := s.Store.SetUint64(key, value); err != nil {
			return err
		}
		s.savedTerm.Store(value)
		return nil
	}
	if value > s.savedTerm.Load() && s.writeUntilDone("save the term", saveTerm) != nil {
		select {} // raft would panic; Node.Close does not wait for it
	}
	return nil
}

// GetLog reads an entry, however long it takes; raft.ErrLogNotFound is an answer.
func (s *retryingStore) GetLog(index uint64, entry *raft.Log) error {
	read := func() error {
		err := catchPageFaults(func() error { return s.Store.GetLog(index, entry) })
		if errors.Is(err, raft.ErrLogNotFound) {
			return nil
		}
		return err
	}
	for {
		err := catchPageFaults(func() error { return s.Store.GetLog(index, entry) })
		if err == nil || errors.Is(err, raft.ErrLogNotFound) {
			return err
		}
		s.beginOutage(&StoreError{Operation: "read an entry", Err: err}, read)
		if !s.awaitRecovery() {
			select {} // as for the term
		}
	}
}

// withoutPageFaults runs a read of the mapped file and gives an error where a page can't be read
// (SIGBUS), which would end the process.
func catchPageFaults(read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("page fault: %v", fault)
		}
	}()
	return read()
}

// write carries out one write, or returns a StoreError; the first that fails begins an outage.
func (s *retryingStore) write(operation string, do func() error) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if cause := s.health.failure(); cause != nil {
		return &StoreError{Operation: operation, Err: cause.Err}
	}
	begun := time.Now()
	s.health.beginWrite(operation, begun)
	err := do()
	s.health.endWrite()
	if err != nil {
		failure := &StoreError{Operation: operation, Err: err}
		s.beginOutage(failure, nil)
		return failure
	}
	if time.Since(begun) > s.outageLimit {
		s.log.Warn("store was slow", "operation", operation, "took", time.Since(begun))
		s.recovered(s.health.recordLag(begun))
	}
	return nil
}

// writeUntilDone carries out a write, waiting out every outage; it fails only once the instance
// stops.
func (s *retryingStore) writeUntilDone(operation string, do func() error) error {
	for {
		err := s.write(operation, do)
		if err == nil || !s.awaitRecovery() {
			return err
		}
	}
}

// awaitRecovery waits until the store works, and tells false if the instance stops before.
func (s *retryingStore) awaitRecovery() bool {
	select {
	case <-s.health.working():
		return true
	case <-s.closed:
		return false
	}
}

// beginOutage makes every write fail until the store is repaired and check, if any, succeeds.
func (s *retryingStore) beginOutage(cause *StoreError, check func() error) {
	begun := time.Now()
	if !s.health.beginOutage(cause, begun) {
		return // one is under way
	}
	s.log.Error("store failing", "operation", cause.Operation, "err", cause.Err)
	go s.endOutage(begun, check)
}

// endOutage repairs the store, trying until it works, and then ends the outage.
func (s *retryingStore) endOutage(begun time.Time, check func() error) {
	for attempts := 1; ; attempts++ {
		select {
		case <-time.After(repairInterval):
		case <-s.closed:
			return
		}
		if s.repair(check) != nil {
			continue
		}
		outages := s.health.endOutage()
		s.log.Info("store works again", "after", time.Since(begun), "attempts", attempts)
		s.recovered(outages)
		return
	}
}

// repair brings the store to the state that raft takes it to be in, and tries a write.
func (s *retryingStore) repair(check func() error) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if s.rewriteLastCommit != nil {
		if err := s.rewriteLastCommit(); err != nil {
			return err
		}
	}
	if s.failedAppend != 0 {
		if err := s.Store.DeleteRange(s.failedAppend, math.MaxUint64); err != nil {
			return err
		}
		s.failedAppend = 0
	}
	if err := s.Store.SetUint64(keyProbe, uint64(time.Now().UnixNano())); err != nil {
		return err
	}
	if check == nil {
		return nil
	}
	return check()
}
