package server

import (
	"encoding/json"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
)

// StoreFault is what a FaultyStore does wrong.
type StoreFault struct {
	Log, Stable, Read bool // which calls fail: writes of the log, of term and vote, reads of the log
	Applied           bool // a write that fails has happened all the same, as after a sync that failed
	Unsynced          bool // appends succeed without being written: the bug that a checker has to find
	Hang              bool // a write that would fail waits instead, until the fault is another
	Err               syscall.Errno
}

// FaultyStore is a store whose calls fail as a StoreFault says.
type FaultyStore struct {
	Store
	Control     string // path of a file with a StoreFault in JSON, read at each call; "": Fail sets it
	fault       atomic.Pointer[StoreFault]
	failedCalls atomic.Int64 // that failed

	mu       sync.Mutex
	unsynced map[uint64]raft.Log
}

// Fail sets the fault of the calls to come; nil: none.
func (f *FaultyStore) Fail(fault *StoreFault) { f.fault.Store(fault) }

func (f *FaultyStore) current() (fault StoreFault) {
	if f.Control == "" {
		if set := f.fault.Load(); set != nil {
			return *set
		}
		return fault
	}
	if text, err := os.ReadFile(f.Control); err == nil {
		json.Unmarshal(text, &fault)
	}
	return fault
}

// hangPause is the time between two looks whether a call hangs on.
const hangPollInterval = 10 * time.Millisecond

// write carries out a write that fails where the fault says so.
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
		do()
	}
	f.failedCalls.Add(1)
	return fault.Err
}

func (f *FaultyStore) writeLog(do func() error) error {
	return f.write(func(fault StoreFault) bool { return fault.Log }, do)
}

func (f *FaultyStore) writeStable(do func() error) error {
	return f.write(func(fault StoreFault) bool { return fault.Stable }, do)
}

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

func (f *FaultyStore) DeleteRange(first, last uint64) error {
	return f.writeLog(func() error { return f.Store.DeleteRange(first, last) })
}

func (f *FaultyStore) Set(key, value []byte) error {
	return f.writeStable(func() error { return f.Store.Set(key, value) })
}

func (f *FaultyStore) SetUint64(key []byte, value uint64) error {
	return f.writeStable(func() error { return f.Store.SetUint64(key, value) })
}

func (f *FaultyStore) GetLog(index uint64, entry *raft.Log) error {
	if fault := f.current(); fault.Read {
		f.failedCalls.Add(1)
		return fault.Err
	}
	f.mu.Lock()
	kept, ok := f.unsynced[index]
	f.mu.Unlock()
	if ok {
		*entry = kept
		return nil
	}
	return f.Store.GetLog(index, entry)
}

// Snapshot makes the node take a snapshot now.
func (n *Node) Snapshot() error { return n.raft.Snapshot().Error() }
