// Package requestids remembers the ids of requests that may have executed and whose clients left without a response, so
// that such a request is not executed again if its id comes again. Processes of the same agent may share a table, as
// during an upgrade.
package requestids

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"fernbeam.example/fernbeam/internal/agent/keyhash"
)

const (
	// lifetimeSeconds is how long an id is remembered, in seconds. It is several times the longest request timeout.
	lifetimeSeconds = 30
	// slotCount is the number of ids that a table may hold: a power of two. If two ids have the same slot, the later one
	// replaces the earlier one.
	slotCount = 8192
	slotBytes = 8
	// timeBits is the number of bits of a slot that hold the time, in seconds; the others hold bits of the id's hash.
	timeBits = 20
	timeMask = 1<<timeBits - 1
)

// Table is a set of ids of a fixed size, which forgets ids after some time. Its methods are safe for concurrent use, also by
// several processes.
type Table struct {
	slots []uint64 // accessed atomically; 0: empty
}

// New returns an empty table of this process.
func New() *Table { return &Table{slots: make([]uint64, slotCount)} }

// Open returns the table in the file at path, which all processes that open it share. It creates the file if necessary.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("request ids: %w", err)
	}
	defer func() { _ = file.Close() }() // the mapping stays
	if err := file.Truncate(slotCount * slotBytes); err != nil {
		return nil, fmt.Errorf("request ids: %w", err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, slotCount*slotBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("request ids: map %s: %w", path, err)
	}
	if len(mapped) != slotCount*slotBytes {
		return nil, errors.New("request ids: the mapping is too short")
	}
	// A mapping begins at a page, so that its words are aligned.
	return &Table{slots: unsafe.Slice((*uint64)(unsafe.Pointer(&mapped[0])), slotCount)}, nil
}

// Add remembers an id from now on.
func (t *Table) Add(id string, now time.Time) {
	slot, tag := t.locate(id)
	atomic.StoreUint64(slot, tag|secondsOf(now))
}

// Remove forgets an id.
func (t *Table) Remove(id string) {
	slot, tag := t.locate(id)
	if word := atomic.LoadUint64(slot); word&^timeMask == tag {
		atomic.CompareAndSwapUint64(slot, word, 0)
	}
}

// Contains reports whether an id was added within the lifetime and not removed or replaced since.
func (t *Table) Contains(id string, now time.Time) bool {
	slot, tag := t.locate(id)
	word := atomic.LoadUint64(slot)
	if word == 0 || word&^timeMask != tag {
		return false
	}
	age := (secondsOf(now) - word) & timeMask
	return age <= lifetimeSeconds
}

// locate returns the slot of an id and the bits of its hash that the slot holds.
func (t *Table) locate(id string) (slot *uint64, tag uint64) {
	hash := keyhash.Mix(keyhash.Sum(id))
	return &t.slots[hash%slotCount], hash &^ timeMask
}

// secondsOf returns a time in seconds, modulo the range of a slot's time.
func secondsOf(at time.Time) uint64 { return uint64(at.Unix()) & timeMask }
