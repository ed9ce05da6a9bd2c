package server

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
)

// StoreFault is the fault of a FaultyStore.
type StoreFault struct {
	Log      bool          // writes of the log fail
	Stable   bool          // writes of the term and the vote fail
	Read     bool          // reads of the log fail
	Applied  bool          // a write that fails has reached the file, as after a failed sync
	Unsynced bool          // appends succeed without being written, for the checker to find
	Hang     bool          // a write that would fail waits instead, until the fault changes
	Err      syscall.Errno // the error of the calls that fail
}

// FaultyStore is a store whose calls fail according to a StoreFault.
type FaultyStore struct {
	Store
	// Control is the path of a file with a StoreFault in JSON, which is read at each call; "": the
	// fault is that of the last Fail.
	Control     string
	fault       atomic.Pointer[StoreFault]
	failedCalls atomic.Int64 // that failed

	mu       sync.Mutex
	unsynced map[uint64]raft.Log
}

// Fail sets the fault of the following calls; nil: none.
func (f *FaultyStore) Fail(fault *StoreFault) { f.fault.Store(fault) }

// current returns the present fault.
func (f *FaultyStore) current() (fault StoreFault) {
	if f.Control == "" {
		if set := f.fault.Load(); set != nil {
			return *set
		}
		return fault
	}
	text, err := os.ReadFile(f.Control)
	if err != nil {
		return fault // there is no file before the first fault
	}
	if err := json.Unmarshal(text, &fault); err != nil {
		panic(fmt.Sprintf("%s: %v", f.Control, err))
	}
	return fault
}

// hangPollInterval is the time between two checks of a call that hangs: the control file is read again, as
// its change has no event.
const hangPollInterval = 10 * time.Millisecond

// write runs a write, which fails if the fault says so.
func (f *FaultyStore) write(failing func(StoreFault) bool, do func() error) error {
	fault := f.current()
	for failing(fault) && fault.Hang {
		time.Sleep(hangPollInterval)
		fault = f.current()
	}
	if !failing(fault) {
		return do()
	}
	if fault.Applied {
		_ = do() // the fault's error is returned
	}
	f.failedCalls.Add(1)
	return fault.Err
}

// writeLog runs a write of the log, or fails.
func (f *FaultyStore) writeLog(do func() error) error {
	return f.write(func(fault StoreFault) bool { return fault.Log }, do)
}

// writeStable runs a write of the term or the vote, or fails.
func (f *FaultyStore) writeStable(do func() error) error {
	return f.write(func(fault StoreFault) bool { return fault.Stable }, do)
}

// StoreLogs appends entries, or fails.
func (f *FaultyStore) StoreLogs(entries []*raft.Log) error {
	if f.current().Unsynced {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.unsynced == nil {
			f.unsynced = map[uint64]raft.Log{}
		}
		for _, entry := range entries {
			f.unsynced[entry.Index] = *entry
		}
		return nil
	}
	return f.writeLog(func() error { return f.Store.StoreLogs(entries) })
}

// DeleteRange removes entries, or fails.
func (f *FaultyStore) DeleteRange(first, last uint64) error {
	return f.writeLog(func() error { return f.Store.DeleteRange(first, last) })
}

// Set saves a value, or fails.
func (f *FaultyStore) Set(key, value []byte) error {
	return f.writeStable(func() error { return f.Store.Set(key, value) })
}

// SetUint64 saves a number, or fails.
func (f *FaultyStore) SetUint64(key []byte, value uint64) error {
	return f.writeStable(func() error { return f.Store.SetUint64(key, value) })
}

// GetLog reads an entry, or fails.
func (f *FaultyStore) GetLog(index uint64, entry *raft.Log) error {
	if fault := f.current(); fault.Read {
		f.failedCalls.Add(1)
		return fault.Err
	}
	f.mu.Lock()
	stored, ok := f.unsynced[index]
	f.mu.Unlock()
	if ok {
		*entry = stored
		return nil
	}
	return f.Store.GetLog(index, entry)
}

// Snapshot makes the node take a snapshot now.
func (n *Node) Snapshot() error { return n.raft.Snapshot().Error() }
