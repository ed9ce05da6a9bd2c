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
	// storeFile is the file of the data directory that has Raft's log, term and vote.
	storeFile = "raft.db"
	// createdFile says that a store was created in the data directory: from then on one that is
	// missing or empty is damage.
	createdFile = "raft.db.created"
)

// StoreDamage is why a start refuses a data directory: what it would serve may lack what was
// acknowledged.
type StoreDamageError struct {
	Path string // the file
	Err  error
}

func (d *StoreDamageError) Error() string { return fmt.Sprintf("damaged file %s: %v", d.Path, d.Err) }

func (d *StoreDamageError) Unwrap() error { return d.Err }

// openBolt opens the data directory's store, or creates it in a new directory. A file that was
// cut, or that has pages that can't be read, is refused as StoreDamage. bbolt sums up only its two
// meta pages: of the rest its structure, and of the entries their encoding, is checked. One meta
// page that is unreadable counts as a write that a kill cut off: the other one is used.
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
	case wasCreated(dir):
		return nil, &StoreDamageError{Path: path, Err: errors.New("missing or empty, and this directory had one")}
	}
	store, err := raftboltdb.NewBoltStore(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := markCreated(dir); err != nil {
		log.Warn("store not marked as created", "err", err)
	}
	return store, nil
}

// wasCreated tells whether the directory has had a store.
func wasCreated(dir string) bool {
	if _, err := os.Stat(filepath.Join(dir, createdFile)); err == nil {
		return true
	}
	snapshots, _ := filepath.Glob(filepath.Join(dir, "snapshots", "*", "meta.json")) // the pattern is well-formed
	return len(snapshots) > 0
}

func markCreated(dir string) error {
	file, err := os.OpenFile(filepath.Join(dir, createdFile), os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// checkFile reads the whole database and returns an error for what can't be right.
func checkFile(path string, size int64) error {
	return catchPageFaults(func() error {
		if err := viewDatabase(path, true, func(tx *bbolt.Tx) error { return checkSize(tx, size) }); err != nil {
			return err
		}
		return viewDatabase(path, false, checkPages)
	})
}

// viewDatabase opens the database for one look. Opened for reading only it does not load the
// list of free pages, which may be cut off.
func viewDatabase(path string, readOnly bool, look func(*bbolt.Tx) error) error {
	database, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: readOnly})
	if err != nil {
		return err
	}
	tx, err := database.Begin(false)
	if err != nil {
		return errors.Join(err, database.Close())
	}
	err = look(tx)
	return errors.Join(err, tx.Rollback(), database.Close())
}

func checkSize(tx *bbolt.Tx, size int64) error {
	if size < tx.Size() {
		return fmt.Errorf("cut to %d bytes of %d", size, tx.Size())
	}
	return nil
}

// checkPages visits every key and value, and then has bbolt check its pages: in that order, since
// bbolt does so in a goroutine whose panics can't be caught.
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

// checkKeys wants the keys of a bucket in ascending order.
func checkKeys(bucket *bbolt.Bucket) error {
	var last []byte
	return bucket.ForEach(func(key, _ []byte) error {
		if last != nil && bytes.Compare(last, key) >= 0 {
			return fmt.Errorf("key %x stands after %x", key, last)
		}
		last = bytes.Clone(key)
		return nil
	})
}

// checkLog wants every entry after the newest readable snapshot to be there and whole, and the
// saved term to be no older than theirs.
func checkLog(store Store, snapshots raft.SnapshotStore) error {
	last, err := store.LastIndex()
	if err != nil {
		return err
	}
	from, err := newestSnapshot(snapshots)
	if err != nil {
		return err
	}
	var term uint64
	for index := from + 1; index <= last; index++ {
		var entry raft.Log
		if err := store.GetLog(index, &entry); err != nil {
			return fmt.Errorf("entry %d after the newest readable snapshot (%d): %w", index, from, err)
		}
		if err := checkEntry(&entry, index, term); err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
		term = entry.Term
	}
	return checkTerm(store, term)
}

// newestSnapshot is the last index of the newest snapshot that can be read, 0 without one.
func newestSnapshot(snapshots raft.SnapshotStore) (uint64, error) {
	listed, err := snapshots.List()
	if err != nil {
		return 0, err
	}
	for _, snapshot := range listed {
		if _, content, err := snapshots.Open(snapshot.ID); err == nil {
			content.Close()
			return snapshot.Index, nil
		}
	}
	return 0, nil
}

func checkEntry(entry *raft.Log, index, termBefore uint64) error {
	switch {
	case entry.Index != index:
		return fmt.Errorf("says that it is entry %d", entry.Index)
	case entry.Term < termBefore:
		return fmt.Errorf("term %d after %d", entry.Term, termBefore)
	case entry.Type == raft.LogCommand && !json.Valid(entry.Data):
		return errors.New("not a command")
	}
	return nil
}

func checkTerm(store Store, ofLog uint64) error {
	saved, err := store.Get(keyCurrentTerm)
	if err != nil && err.Error() != "not found" {
		return err
	}
	if len(saved) != 0 && len(saved) != 8 {
		return fmt.Errorf("a term of %d bytes", len(saved))
	}
	var term uint64
	if len(saved) == 8 {
		term = binary.BigEndian.Uint64(saved)
	}
	if term < ofLog {
		return fmt.Errorf("term %d is saved, the log has %d", term, ofLog)
	}
	return nil
}
