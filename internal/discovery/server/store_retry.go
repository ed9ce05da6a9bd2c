package server

import (
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// retryingStore keeps an instance running while its disk fails. hashicorp/raft v1.7.3 panics if it
// can't save the term or read a committed entry; it handles errors of all other operations, but some
// of these errors leave its state inconsistent. So a failed operation starts an outage, during which
// no write reaches the disk until a repair has succeeded. The operation itself
//
//   - is retried after the repair if it saves the term or reads an entry (because raft would panic on
//     an error), if it removes entries, or if it is a follower's append (because on an error raft would
//     lose track of having truncated the log before the append);
//   - returns a StoreError immediately if it saves a vote (which is then not granted) or is a leader's
//     append (raft fails the writes and steps down, so that the other instances elect a leader).
//
// When the instance is closed, retries of removals and appends return an error; retries of the other
// operations never return.
//
// While the store is unavailable, gatedTransport keeps the instance out of the cluster.
//
// A failed commit may still be in the file, because the last step of a commit is to sync a page that is
// already written. The repair removes the entries of a failed append, so that none of them remains
// after a shorter append, and rewrites the pages that the failed sync may have dropped (see
// rewriteMetaPages).
type retryingStore struct {
	Store
	log *slog.Logger
	// rewriteLastCommit makes the file's last commit durable again; nil: not needed.
	rewriteLastCommit func() error
	// outageLimit is the duration above which a write counts as an outage.
	outageLimit time.Duration
	closed      <-chan struct{} // closed when the instance is closed
	member      atomic.Pointer[storeMember]
	savedTerm   atomic.Uint64 // the newest saved term
	health      storeHealth

	writeMu      sync.Mutex // held while Store is written
	failedAppend uint64     // first index of a failed append, 0: none; guarded by writeMu
}

// storeMember is the Raft member that uses a store.
type storeMember struct {
	raft        *raft.Raft
	onRecovered func(outages int) // called after each outage with the number of outages so far
}

// newRetryingStore wraps a working store. Its goroutines end when closed is closed.
func newRetryingStore(
	store Store, log *slog.Logger, outageLimit time.Duration, closed <-chan struct{},
) (*retryingStore, error) {
	s := &retryingStore{Store: store, log: log, outageLimit: outageLimit, closed: closed}
	term, err := store.GetUint64(keyCurrentTerm)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return nil, fmt.Errorf("read the term: %w", err)
	}
	s.savedTerm.Store(term)
	return s, nil
}

// attach sets the store's member, which is started after the store.
func (s *retryingStore) attach(member *storeMember) {
	s.member.Store(member)
	if !s.behindSince().IsZero() {
		s.notifyRecovered(s.health.outageCount())
	}
}

// notifyRecovered starts the member's catch-up after an outage, if a member is attached.
func (s *retryingStore) notifyRecovered(outages int) {
	if member := s.member.Load(); member != nil {
		go member.onRecovered(outages)
	}
}

// isLeader reports whether this instance leads the cluster.
func (s *retryingStore) isLeader() bool {
	member := s.member.Load()
	return member != nil && member.raft.State() == raft.Leader
}

// available returns a StoreError during an outage, or if the running write has lasted longer than
// outageLimit.
func (s *retryingStore) available() error { return s.health.check(time.Now(), s.outageLimit) }

// behindSince returns when the list began to fall behind (it may lack entries because of an outage or a
// hanging write), or the zero time if the list is up to date.
func (s *retryingStore) behindSince() time.Time {
	return s.health.behindSince(time.Now(), s.outageLimit)
}

// StoreLog appends one entry; see StoreLogs.
func (s *retryingStore) StoreLog(entry *raft.Log) error { return s.StoreLogs([]*raft.Log{entry}) }

// StoreLogs appends entries. A leader's append fails immediately; a follower's is retried.
func (s *retryingStore) StoreLogs(entries []*raft.Log) error {
	if s.isLeader() {
		return s.write(OpAppendEntries, s.appendEntries(entries))
	}
	return s.writeUntilDone(OpAppendEntries, s.appendEntries(entries))
}

// appendEntries returns a function that appends entries, for write to run. If the append fails, the
// function records which entries the repair has to remove.
func (s *retryingStore) appendEntries(entries []*raft.Log) func() error {
	return func() error {
		err := s.Store.StoreLogs(entries)
		if err != nil && len(entries) > 0 {
			s.failedAppend = entries[0].Index
		}
		return err
	}
}

// DeleteRange removes entries, with retries.
func (s *retryingStore) DeleteRange(first, last uint64) error {
	return s.writeUntilDone(OpRemoveEntries, func() error { return s.Store.DeleteRange(first, last) })
}

// Set saves the candidate that received the vote. It is not retried.
func (s *retryingStore) Set(key, value []byte) error {
	return s.write(OpSaveVote, func() error { return s.Store.Set(key, value) })
}

// SetUint64 saves the current term, with retries, or the term of the vote, without retries. A term that
// is not newer than the saved one is not written: raft saves terms from two goroutines, and an older
// term must not replace a newer one.
func (s *retryingStore) SetUint64(key []byte, value uint64) error {
	if string(key) != string(keyCurrentTerm) {
		return s.write(OpSaveVoteTerm, func() error { return s.Store.SetUint64(key, value) })
	}
	if value <= s.savedTerm.Load() {
		return nil
	}
	err := s.writeUntilDone(OpSaveTerm, func() error { return s.saveTerm(value) })
	if err != nil {
		blockForever()
	}
	return nil
}

// saveTerm saves a term if it is newer than the saved one. The caller holds writeMu.
func (s *retryingStore) saveTerm(term uint64) error {
	if term <= s.savedTerm.Load() {
		return nil
	}
	if err := s.Store.SetUint64(keyCurrentTerm, term); err != nil {
		return err
	}
	s.savedTerm.Store(term)
	return nil
}

// blockForever blocks a raft goroutine that would otherwise panic on an error while the instance is
// being closed. Node.Close does not wait for it.
func blockForever() { select {} }

// GetLog reads an entry, with retries. raft.ErrLogNotFound is returned without a retry.
func (s *retryingStore) GetLog(index uint64, entry *raft.Log) error {
	read := func() error {
		return catchPageFaults(func() error { return s.Store.GetLog(index, entry) })
	}
	checkRead := func() error {
		err := read()
		if errors.Is(err, raft.ErrLogNotFound) {
			return nil
		}
		return err
	}
	for {
		err := read()
		if err == nil || errors.Is(err, raft.ErrLogNotFound) {
			return err
		}
		s.beginOutage(&StoreError{Operation: OpReadEntry, Err: err}, checkRead)
		if !s.awaitRecovery() {
			blockForever()
		}
	}
}

// catchPageFaults runs a read of the memory-mapped file and returns an error if a page can't be read.
// Otherwise such a page fault (SIGBUS) would crash the process.
func catchPageFaults(read func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("page fault: %v", fault)
		}
	}()
	return read()
}

// write runs do, which writes to the store. A failure of do starts an outage and is returned as a
// StoreError. During an outage, write returns a StoreError without running do.
func (s *retryingStore) write(operation StoreOperation, do func() error) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if cause := s.health.failure(); cause != nil {
		return &StoreError{Operation: operation, Err: cause.Err}
	}
	startedAt := time.Now()
	s.health.beginWrite(operation, startedAt)
	err := do()
	s.health.endWrite()
	if err != nil {
		failure := &StoreError{Operation: operation, Err: err}
		s.beginOutage(failure, nil)
		return failure
	}
	if duration := time.Since(startedAt); duration > s.outageLimit {
		s.log.Warn("store write was slow", "operation", operation, "duration", duration)
		s.notifyRecovered(s.health.recordLag(startedAt))
	}
	return nil
}

// writeUntilDone runs a write and retries it after each outage. It returns an error only if the instance
// is closed.
func (s *retryingStore) writeUntilDone(operation StoreOperation, do func() error) error {
	for {
		err := s.write(operation, do)
		if err == nil || !s.awaitRecovery() {
			return err
		}
	}
}

// awaitRecovery waits for the end of the outage. It returns false if the instance is closed first.
func (s *retryingStore) awaitRecovery() bool {
	select {
	case <-s.health.working():
		return true
	case <-s.closed:
		return false
	}
}
