package server

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

// Keys of the stable store.
var (
	// keyCurrentTerm is hashicorp/raft's key of the current term.
	keyCurrentTerm = []byte("CurrentTerm")
	// keyProbe is the key of the value that the repair of a store writes to check it.
	keyProbe = []byte("StoreProbe")
)

// errStoreTimeout is the cause of an outage in which a write neither succeeds nor fails.
var errStoreTimeout = errors.New("no answer from the disk")

// Store is what an instance stores on disk for Raft: the log, the term and the vote. The error for a
// key that it does not have is raftboltdb.ErrKeyNotFound.
type Store interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// StoreOperation names an operation of the store in errors and log lines.
type StoreOperation string

// Operations of the store.
const (
	// AppendEntries appends entries to the log.
	AppendEntries StoreOperation = "append entries"
	// RemoveEntries removes entries from the log.
	RemoveEntries StoreOperation = "remove entries"
	// ReadEntry reads an entry of the log.
	ReadEntry StoreOperation = "read an entry"
	// SaveTerm saves the current term.
	SaveTerm StoreOperation = "save the term"
	// SaveVote saves the candidate that got the vote.
	SaveVote StoreOperation = "save the vote"
	// SaveVoteTerm saves the term of the vote.
	SaveVoteTerm StoreOperation = "save the term of the vote"
)

// StoreError says that an operation of the store failed, or was not begun because an earlier one
// had failed. A write that returns it is not acknowledged.
type StoreError struct {
	Operation StoreOperation
	Err       error // the cause
}

// Error names the operation and the cause.
func (e *StoreError) Error() string {
	return fmt.Sprintf("store unavailable: %s: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }
