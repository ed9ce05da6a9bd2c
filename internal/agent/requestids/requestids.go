// Package requestids remembers the ids of requests that may have executed and whose clients left without a response, so
// that such a request is not executed again if its id comes again. Processes of the same agent may share a registry, as
// during an upgrade. It then has the ids of the requests in progress too, as one process may get a request again before
// the other one has noticed that its client left.
package requestids

import (
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

// Registry has the ids of an agent's requests that must not execute twice. Its methods are safe for concurrent use,
// also by several processes.
type Registry struct {
	abandoned table
	inFlight  table // empty unless processes share the registry
}

// New returns an empty registry of this process.
func New() *Registry { return &Registry{abandoned: make(table, slotCount)} }

// sharedBytes is the size of the file of a registry, which has the slots of both tables.
const sharedBytes = 2 * slotCount * slotBytes

// Open returns the registry in the file at path, which all processes that open it share. It creates the file if
// necessary.
func Open(path string) (*Registry, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("request ids: %w", err)
	}
	defer func() { _ = file.Close() }() // the mapping stays
	if err := file.Truncate(sharedBytes); err != nil {
		return nil, fmt.Errorf("request ids: %w", err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, sharedBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("request ids: map %s: %w", path, err)
	}
	// A mapping begins at a page, so that its words are aligned.
	slots := unsafe.Slice((*uint64)(unsafe.Pointer(&mapped[0])), sharedBytes/slotBytes)
	return &Registry{abandoned: slots[:slotCount], inFlight: slots[slotCount:]}, nil
}

// Begin records that a request with the given id is in progress at this process.
func (r *Registry) Begin(id string, now time.Time) {
	if len(r.inFlight) > 0 {
		r.inFlight.add(id, now)
	}
}

// End records that the request is no longer in progress.
func (r *Registry) End(id string) {
	if len(r.inFlight) > 0 {
		r.inFlight.remove(id)
	}
}

// IsInFlight reports whether a request with the given id is in progress at a process that shares the registry.
func (r *Registry) IsInFlight(id string, now time.Time) bool {
	return len(r.inFlight) > 0 && r.inFlight.contains(id, now)
}

// Abandon remembers an id whose client has left. It is called before End.
func (r *Registry) Abandon(id string, now time.Time) { r.abandoned.add(id, now) }

// Forget forgets an id that Abandon was called for.
func (r *Registry) Forget(id string) { r.abandoned.remove(id) }

// IsAbandoned reports whether an id was abandoned within its lifetime.
func (r *Registry) IsAbandoned(id string, now time.Time) bool { return r.abandoned.contains(id, now) }

// table is a set of ids of a fixed size, which forgets ids after some time. Its slots are accessed atomically; those
// that are 0 are empty.
type table []uint64

// add remembers an id from now on.
func (t table) add(id string, now time.Time) {
	slot, tag := t.locate(id)
	atomic.StoreUint64(slot, tag|secondsOf(now))
}

// remove forgets an id.
func (t table) remove(id string) {
	slot, tag := t.locate(id)
	if word := atomic.LoadUint64(slot); word&^timeMask == tag {
		atomic.CompareAndSwapUint64(slot, word, 0)
	}
}

// contains reports whether an id was added within the lifetime and not removed or replaced since.
func (t table) contains(id string, now time.Time) bool {
	slot, tag := t.locate(id)
	word := atomic.LoadUint64(slot)
	if word == 0 || word&^timeMask != tag {
		return false
	}
	age := (secondsOf(now) - word) & timeMask
	return age <= lifetimeSeconds
}

// locate returns the slot of an id and the bits of its hash that the slot holds.
func (t table) locate(id string) (slot *uint64, tag uint64) {
	hash := keyhash.Mix(keyhash.Sum(id))
	return &t[hash%slotCount], hash &^ timeMask
}

// secondsOf returns a time in seconds, modulo the range of a slot's time.
func secondsOf(at time.Time) uint64 { return uint64(at.Unix()) & timeMask }
