package server

import (
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"
)

// Keys of the stable store.
var (
	// keyCurrentTerm is hashicorp/raft's key for the current term.
	keyCurrentTerm = []byte("CurrentTerm")
	// keyProbe is the key of the value that a repair writes to check that the store works.
	keyProbe = []byte("StoreProbe")
)

// errStoreTimeout is the cause of an outage in which a write hangs.
var errStoreTimeout = errors.New("no response from the disk")

// Store stores an instance's Raft state on disk: the log, the term and the vote. It returns
// raftboltdb.ErrKeyNotFound for a missing key.
type Store interface {
	raft.LogStore
	raft.StableStore
	io.Closer
}

// StoreOperation is the name of a store operation in errors and log lines.
type StoreOperation string

// The values of StoreOperation.
const (
	// OpAppendEntries appends entries to the log.
	OpAppendEntries StoreOperation = "append entries"
	// OpRemoveEntries removes entries from the log.
	OpRemoveEntries StoreOperation = "remove entries"
	// OpReadEntry reads an entry of the log.
	OpReadEntry StoreOperation = "read an entry"
	// OpSaveTerm saves the current term.
	OpSaveTerm StoreOperation = "save the term"
	// OpSaveVote saves the candidate that received the vote.
	OpSaveVote StoreOperation = "save the vote"
	// OpSaveVoteTerm saves the term in which the vote was cast.
	OpSaveVoteTerm StoreOperation = "save the term of the vote"
)

// StoreError reports that a store operation failed, or was not started because an earlier one had
// failed. A write that returns it is not acknowledged.
type StoreError struct {
	Operation StoreOperation
	Err       error // the cause
}

// Error returns the operation and the cause.
func (e *StoreError) Error() string {
	return fmt.Sprintf("store unavailable: %s: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }
