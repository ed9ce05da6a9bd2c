package server

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

const (
	// storeFile is the file in the data directory that contains Raft's log, term and vote.
	storeFile = "raft.db"
	// createdFile marks that a store was created in the data directory. If it exists, a missing or
	// empty store counts as damaged.
	createdFile = "raft.db.created"
	// storeFileMode is the permissions of the store's file.
	storeFileMode = 0o600
	// termBytes is the length of a saved term.
	termBytes = 8
)

// StoreDamageError reports a damaged file in the data directory. The instance does not start with such
// a file, because it might serve a list that lacks acknowledged writes.
type StoreDamageError struct {
	Path string // of the file
	Err  error  // what is wrong with it
}

// Error returns the file and what is wrong with it, on one line.
func (d *StoreDamageError) Error() string { return fmt.Sprintf("damaged file %s: %v", d.Path, d.Err) }

// Unwrap returns what is wrong with the file.
func (d *StoreDamageError) Unwrap() error { return d.Err }

// openBolt opens the data directory's store, or creates it in a new directory. It returns a
// StoreDamageError for a file that is truncated or has unreadable pages. bbolt has checksums only for
// its two meta pages. Of the other pages the structure is checked, and of the log entries the encoding.
// If only one meta page is invalid, a kill is assumed to have interrupted the write of that page, and
// the other meta page is used.
func openBolt(dir string, log *slog.Logger) (*raftboltdb.BoltStore, error) {
	path := filepath.Join(dir, storeFile)
	info, err := os.Stat(path)
	switch {
	case err == nil && info.Size() > 0:
		if err := checkFile(path, info.Size()); err != nil {
			return nil, &StoreDamageError{Path: path, Err: err}
		}
	case err != nil && !errors.Is(err, os.ErrNotExist):
		return nil, err
	case storeWasCreated(dir):
		return nil, &StoreDamageError{Path: path, Err: errors.New("missing or empty, but the directory had a store")}
	}
	store, err := raftboltdb.NewBoltStore(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := markStoreCreated(dir); err != nil {
		log.Warn("marking the store as created failed", "err", err)
	}
	return store, nil
}

// storeWasCreated reports whether the directory has had a store.
func storeWasCreated(dir string) bool {
	if _, err := os.Stat(filepath.Join(dir, createdFile)); err == nil {
		return true
	}
	snapshots, _ := filepath.Glob(filepath.Join(dir, "snapshots", "*", "meta.json")) // the pattern is well-formed
	return len(snapshots) > 0
}

// markStoreCreated records that the directory has a store.
func markStoreCreated(dir string) error {
	file, err := os.OpenFile(filepath.Join(dir, createdFile), os.O_CREATE|os.O_WRONLY, dataFileMode)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// checkFile reads all pages of the database and returns an error if one is invalid.
func checkFile(path string, size int64) error {
	return catchPageFaults(func() error {
		// Open the file read-only, because bbolt then does not load the list of free pages, which may be
		// missing from a truncated file.
		readOnly := &bbolt.Options{ReadOnly: true}
		err := viewDatabase(path, readOnly, func(tx *bbolt.Tx) error { return checkSize(tx, size) })
		if err != nil {
			return err
		}
		return viewDatabase(path, &bbolt.Options{}, checkPages)
	})
}

// viewDatabase opens the database and runs one read transaction.
func viewDatabase(path string, options *bbolt.Options, view func(*bbolt.Tx) error) error {
	database, err := bbolt.Open(path, storeFileMode, options)
	if err != nil {
		return err
	}
	tx, err := database.Begin(false)
	if err != nil {
		return errors.Join(err, database.Close())
	}
	err = view(tx)
	return errors.Join(err, tx.Rollback(), database.Close())
}

// checkSize returns an error if the file is shorter than the database's pages.
func checkSize(tx *bbolt.Tx, size int64) error {
	if size < tx.Size() {
		return fmt.Errorf("truncated to %d of %d bytes", size, tx.Size())
	}
	return nil
}

// checkPages reads every key and value and then runs bbolt's own check. The reads come first because
// bbolt's check runs in a goroutine, whose panics can't be recovered here.
func checkPages(tx *bbolt.Tx) error {
	err := tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error { return checkKeys(bucket) })
	if err != nil {
		return err
	}
	for failure := range tx.Check() {
		err = errors.Join(err, failure)
	}
	return err
}

// checkKeys returns an error if the keys of a bucket are not in ascending order.
func checkKeys(bucket *bbolt.Bucket) error {
	var last []byte
	return bucket.ForEach(func(key, _ []byte) error {
		if last != nil && bytes.Compare(last, key) >= 0 {
			return fmt.Errorf("key %x is out of order after %x", key, last)
		}
		last = bytes.Clone(key)
		return nil
	})
}

// checkLog returns an error if an entry after the newest readable snapshot is missing or invalid, or
// if the saved term is older than the entries' terms.
func checkLog(store Store, snapshots raft.SnapshotStore) error {
	last, err := store.LastIndex()
	if err != nil {
		return err
	}
	snapshotIndex, err := newestSnapshotIndex(snapshots)
	if err != nil {
		return err
	}
	var term uint64
	for index := snapshotIndex + 1; index <= last; index++ {
		var entry raft.Log
		if err := store.GetLog(index, &entry); err != nil {
			return fmt.Errorf("entry %d after the newest readable snapshot (%d): %w", index, snapshotIndex, err)
		}
		if err := checkEntry(&entry, index, term); err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
		term = entry.Term
	}
	return checkTerm(store, term)
}

// newestSnapshotIndex returns the last index of the newest readable snapshot, or 0 if there is none.
func newestSnapshotIndex(snapshots raft.SnapshotStore) (uint64, error) {
	listed, err := snapshots.List()
	if err != nil {
		return 0, err
	}
	for _, snapshot := range listed {
		_, content, err := snapshots.Open(snapshot.ID)
		if err != nil {
			continue // raft also falls back to an older snapshot
		}
		_ = content.Close() // nothing was written
		return snapshot.Index, nil
	}
	return 0, nil
}

// checkEntry returns an error if the entry read at an index is invalid, or if its term is older than
// that of the entry before it.
func checkEntry(entry *raft.Log, index, previousTerm uint64) error {
	switch {
	case entry.Index != index:
		return fmt.Errorf("stored with index %d", entry.Index)
	case entry.Term < previousTerm:
		return fmt.Errorf("term %d after term %d", entry.Term, previousTerm)
	case entry.Type == raft.LogCommand && !json.Valid(entry.Data):
		return errors.New("not a command")
	}
	return nil
}

// checkTerm returns an error if the saved term is invalid, or older than the term of the last entry.
func checkTerm(store Store, lastTerm uint64) error {
	saved, err := store.Get(keyCurrentTerm)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return err
	}
	if len(saved) != 0 && len(saved) != termBytes {
		return fmt.Errorf("saved term has %d bytes", len(saved))
	}
	var term uint64
	if len(saved) == termBytes {
		term = binary.BigEndian.Uint64(saved)
	}
	if term < lastTerm {
		return fmt.Errorf("saved term %d is older than the log's term %d", term, lastTerm)
	}
	return nil
}
