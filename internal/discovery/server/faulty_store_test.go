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

// StoreFault describes which calls of a FaultyStore fail, and how.
type StoreFault struct {
	Log      bool          // log writes fail
	Stable   bool          // writes of the term and the vote fail
	Read     bool          // log reads fail
	Applied  bool          // failing writes reach the file, as after a failed sync
	Unsynced bool          // appends succeed without reaching the file; the history check must find this
	Hang     bool          // failing writes block instead, until the fault changes
	Err      syscall.Errno // returned by failing calls
}

// FaultyStore wraps a Store and makes its calls fail as described by a StoreFault.
type FaultyStore struct {
	Store
	// ControlFile is the path of a file with a StoreFault in JSON, which is read at each call. If it is
	// empty, the fault is the one set with SetFault.
	ControlFile string
	fault       atomic.Pointer[StoreFault]
	failedCalls atomic.Int64 // number of calls that failed

	mu       sync.Mutex
	unsynced map[uint64]raft.Log // entries appended while StoreFault.Unsynced was set, by index
}

// SetFault sets the fault of the following calls; nil means no fault.
func (f *FaultyStore) SetFault(fault *StoreFault) { f.fault.Store(fault) }

// currentFault returns the fault that applies now.
func (f *FaultyStore) currentFault() (fault StoreFault) {
	if f.ControlFile == "" {
		if set := f.fault.Load(); set != nil {
			return *set
		}
		return fault
	}
	text, err := os.ReadFile(f.ControlFile)
	if err != nil {
		return fault // the file does not exist before the first fault is set
	}
	if err := json.Unmarshal(text, &fault); err != nil {
		panic(fmt.Sprintf("%s: %v", f.ControlFile, err))
	}
	return fault
}

// hangPollInterval is the time between two checks whether a hanging call may continue. The control file
// is polled because there is no notification of its changes.
const hangPollInterval = 10 * time.Millisecond

// write runs a write, which fails if failing returns true for the current fault.
func (f *FaultyStore) write(failing func(StoreFault) bool, do func() error) error {
	fault := f.currentFault()
	for failing(fault) && fault.Hang {
		time.Sleep(hangPollInterval)
		fault = f.currentFault()
	}
	if !failing(fault) {
		return do()
	}
	if fault.Applied {
		_ = do() // the fault's error is returned instead
	}
	f.failedCalls.Add(1)
	return fault.Err
}

// writeLog runs a log write, which fails if StoreFault.Log is set.
func (f *FaultyStore) writeLog(do func() error) error {
	return f.write(func(fault StoreFault) bool { return fault.Log }, do)
}

// writeStable runs a write of the term or the vote, which fails if StoreFault.Stable is set.
func (f *FaultyStore) writeStable(do func() error) error {
	return f.write(func(fault StoreFault) bool { return fault.Stable }, do)
}

// StoreLogs appends entries to the log, or fails.
func (f *FaultyStore) StoreLogs(entries []*raft.Log) error {
	if f.currentFault().Unsynced {
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

// DeleteRange removes entries from the log, or fails.
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

// GetLog reads an entry of the log, or fails.
func (f *FaultyStore) GetLog(index uint64, entry *raft.Log) error {
	if fault := f.currentFault(); fault.Read {
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

// Snapshot takes a snapshot of the state machine immediately.
func (n *Node) Snapshot() error { return n.raft.Snapshot().Error() }
